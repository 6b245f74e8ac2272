package slopes

import (
	"context"
	"math"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/onsi/gomega"

	defaults "coveferry/examples/capacity"
	"coveferry/internal/capacity"
)

func TestFitFindsAKnownLine(t *testing.T) {
	g := gomega.NewWithT(t)
	line := Fit([]int{1, 2, 3, 4}, []float64{5, 7, 9, 11})
	g.Expect(line.Slope).To(gomega.BeNumerically("~", 2, 1e-9))
	g.Expect(line.Intercept).To(gomega.BeNumerically("~", 3, 1e-9))
	g.Expect(line.Residual).To(gomega.BeNumerically("~", 0, 1e-9))
}

func TestResidualIsRelativeToTheMean(t *testing.T) {
	g := gomega.NewWithT(t)
	// Each point has distance 1 from the line y = 10.
	line := Fit([]int{1, 2, 3, 4}, []float64{9, 11, 11, 9})
	g.Expect(line.Slope).To(gomega.BeNumerically("~", 0, 1e-9))
	g.Expect(line.Residual).To(gomega.BeNumerically("~", 0.1, 1e-9))
}

func TestSummaryHoldsMedianAndRange(t *testing.T) {
	g := gomega.NewWithT(t)
	s := summarize(capacity.Slope{}, []int{1, 2, 3, 4}, []Line{{Slope: 5, Intercept: 1}, {Slope: 2}, {Slope: 3, Intercept: 7}})
	g.Expect(s.Value).To(gomega.Equal(3.0))
	g.Expect(s.Intercept).To(gomega.Equal(7.0), "of the same run as the slope")
	g.Expect(s.Spread).To(gomega.Equal(capacity.Spread{Min: 2, Max: 5, Runs: 3}))
}

func TestShrunkSizesStayDistinct(t *testing.T) {
	gomega.NewWithT(t).Expect(shrinkSizes([]int{10, 20, 40, 80}, 40)).To(gomega.Equal([]int{1, 2, 3, 4}))
}

// TestProbesMeasureAllSlopesOfTheModel takes one reading of each probe at a tiny
// size. It checks that all readings exist, not their values.
func TestProbesMeasureAllSlopesOfTheModel(t *testing.T) {
	g := gomega.NewWithT(t)
	const tiny = 4
	var run capacity.Run
	seen := make(map[capacity.SlopeID]bool)
	for _, p := range probes() {
		readings, err := p.measure(t.Context(), tiny)
		g.Expect(err).NotTo(gomega.HaveOccurred(), p.name)
		g.Expect(readings).To(gomega.HaveLen(len(p.series)), p.name)
		g.Expect(len(p.sizes)).To(gomega.BeNumerically(">=", 4), p.name)
		for i, s := range p.series {
			g.Expect(math.IsNaN(readings[i])).To(gomega.BeFalse(), string(s.ID))
			g.Expect(s.Unit).NotTo(gomega.BeEmpty(), string(s.ID))
			g.Expect(seen[s.ID]).To(gomega.BeFalse(), "measured twice: "+string(s.ID))
			seen[s.ID] = true
		}
		run.Slopes = append(run.Slopes, p.series...)
	}
	sizes, err := capacity.DecodeSizes("size.jsonc", defaults.Size)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	settings, err := capacity.DecodeSettings("settings.jsonc", defaults.Settings)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = capacity.Build(capacity.Inputs{
		Size: sizes[0], Settings: settings, Slopes: capacity.Slopes{Runs: []capacity.Run{run}},
	})
	g.Expect(err).NotTo(gomega.HaveOccurred())
}

func TestMeasureStopsWithItsContext(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	// This probe ignores the context.
	_, err := Measure(ctx, Options{Shrink: 1000, Only: []string{"pool"}})
	g.Expect(errors.Is(err, ErrMeasure)).To(gomega.BeTrue())
	g.Expect(errors.Is(err, context.Canceled)).To(gomega.BeTrue())
}
