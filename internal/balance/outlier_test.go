package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"coveferry/internal/load"
)

// reportAll sends n rounds of reports, a second apart, in which the slow endpoints complete a fifth
// of the others' requests.
func reportAll(p *Pool, now time.Time, n, endpoints, slow int) time.Time {
	for range n {
		now = now.Add(time.Second)
		for i := range endpoints {
			r := load.Report{Seq: uint64(now.Unix()), Slots: 4, Running: [load.MaxTiers]int{2}, DrainPerSecond: 10}
			if i < slow {
				r.DrainPerSecond = 2
			}
			p.Report(now, fmt.Sprintf("e%d", i), r)
		}
	}
	return now
}

func ejectedCount(p *Pool, now time.Time, n int) int {
	count := 0
	for i := range n {
		v := p.Views(now, namedEndpoints(fmt.Sprintf("e%d", i)))[0]
		if v.Weight == 0 {
			count++
		}
	}
	return count
}

func TestSlowEndpointIsEjectedAndReturnsGradually(t *testing.T) {
	g := gomega.NewWithT(t)
	p := NewPool(Config{})
	ejectedCount(p, epoch, 6) // adds the endpoints to the pool
	now := reportAll(p, epoch, 12, 6, 1)
	weight := func(at time.Time) float64 { return p.Views(at, namedEndpoints("e0"))[0].Weight }
	g.Expect(weight(now)).To(gomega.BeZero())
	g.Expect(ejectedCount(p, now, 6)).To(gomega.Equal(1))
	back := now.Add(defaultEjectFor)
	g.Expect(weight(back)).To(gomega.BeNumerically("~", initialSlowStartWeight, 0.15))
	g.Expect(weight(back.Add(defaultSlowStart / 2))).To(gomega.BeNumerically("~", 0.5, 0.15))
	g.Expect(weight(back.Add(defaultSlowStart))).To(gomega.Equal(1.0))
}

func TestEjectedShareIsLimited(t *testing.T) {
	g := gomega.NewWithT(t)
	p := NewPool(Config{Outlier: Outlier{MaxShare: 0.25}})
	ejectedCount(p, epoch, 10)
	now := reportAll(p, epoch, 15, 10, 4)
	g.Expect(ejectedCount(p, now, 10)).To(gomega.Equal(2))
}

func TestFailingEndpointIsEjectedAtOnceAndLongerNextTime(t *testing.T) {
	g := gomega.NewWithT(t)
	p := NewPool(Config{})
	list := namedEndpoints("e0", "e1", "e2")
	p.Views(epoch, list)
	fail := func(now time.Time) {
		for range 4 {
			p.Done(now, "e0", ResultFailed, 0)
		}
	}
	weight := func(at time.Time) float64 { return p.Views(at, list)[0].Weight }
	fail(epoch)
	g.Expect(weight(epoch)).To(gomega.BeZero())
	back := epoch.Add(defaultEjectFor)
	g.Expect(weight(back)).To(gomega.BeNumerically(">", 0))
	fail(back)
	g.Expect(weight(back.Add(defaultEjectFor))).To(gomega.BeZero())
	g.Expect(weight(back.Add(2 * defaultEjectFor))).To(gomega.BeNumerically(">", 0))
	// An ejected endpoint is chosen if there is no other.
	e, err := p.Choose(back, Request{}, list[:1], nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(e.Name).To(gomega.Equal("e0"))
}
