package plot_test

import (
	"bytes"
	"image/png"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/onsi/gomega"

	"coveferry/internal/bench/measure"
	"coveferry/internal/bench/plot"
	"coveferry/internal/bench/report"
)

func renderPNG(t *testing.T, attainment float64) []byte {
	groups := []measure.Group{
		{Class: "queries", Measures: measure.Measures{Attainment: attainment, Goodput: 3}},
		{Tier: "gold", Measures: measure.Measures{Attainment: attainment}},
	}
	var out bytes.Buffer
	result := report.Result{Policies: []report.Policy{{Policy: "product", Groups: groups}, {Policy: "baseline"}}}
	gomega.NewWithT(t).Expect(plot.WritePNG(&out, result)).To(gomega.Succeed())
	return out.Bytes()
}

func TestPlotDependsOnlyOnTheFigures(t *testing.T) {
	g := gomega.NewWithT(t)
	half := renderPNG(t, 0.5)
	img, err := png.Decode(bytes.NewReader(half))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(img.Bounds().Dx()).To(gomega.BeNumerically(">", 1000))
	g.Expect(renderPNG(t, 0.5)).To(gomega.Equal(half))
	g.Expect(renderPNG(t, 0.9)).NotTo(gomega.Equal(half))
}

func TestNothingToPlot(t *testing.T) {
	err := plot.WritePNG(&bytes.Buffer{}, report.Result{})
	gomega.NewWithT(t).Expect(errors.Is(err, plot.ErrEmpty)).To(gomega.BeTrue())
}
