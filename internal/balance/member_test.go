package balance

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"coveferry/internal/load"
)

func TestSuspectEndpointIsChosenOnlyAsLastResort(t *testing.T) {
	g := gomega.NewWithT(t)
	p := NewPool(Config{Seed: 1})
	list := namedEndpoints("a", "b")
	p.SetSuspect("a", true)
	for range 50 {
		e, err := p.Choose(epoch, Request{}, list, nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(e.Name).To(gomega.Equal("b"))
	}
	e, err := p.Choose(epoch, Request{}, list[:1], nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(e.Name).To(gomega.Equal("a"))
}

func TestReturnIsGradualAndIgnoresOlderReports(t *testing.T) {
	g := gomega.NewWithT(t)
	p := NewPool(Config{})
	list := namedEndpoints("a", "b")
	p.Report(epoch, "a", load.Report{Seq: 5, Leaving: true})
	p.SetSuspect("a", true)
	p.Return(epoch, "a")
	p.Report(epoch, "a", load.Report{Seq: 4, Leaving: true})
	weights := []float64{}
	for _, after := range []time.Duration{0, defaultSlowStart / 2, defaultSlowStart} {
		v := p.Views(epoch.Add(after), list)[0]
		weights = append(weights, v.Weight)
	}
	g.Expect(weights).To(gomega.Equal([]float64{initialSlowStartWeight, (1 + initialSlowStartWeight) / 2, 1}))
	e, err := p.Choose(epoch, Request{}, list[:1], nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(e.Name).To(gomega.Equal("a"))
}
