package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"coveferry/internal/load"
)

func counts(n ...int) (c [load.MaxTiers]int) {
	copy(c[:], n)
	return c
}

func reported(name string, queued, running [load.MaxTiers]int) View {
	return View{
		Endpoint: name, FailureDomain: name, Weight: 1, ReportedAt: epoch,
		Load: load.Report{Slots: 4, Queued: queued, Running: running},
	}
}

// share is the part of 1000 choices that fell on the first view.
func share(l LoadAware, now time.Time, req Request, views ...View) float64 {
	rnd := rand.New(rand.NewPCG(1, 2))
	first := 0
	for range 1000 {
		i, _ := l.Choose(now, req, views, rnd)
		if i == 0 {
			first++
		}
	}
	return float64(first) / 1000
}

func TestOnlyOwnTierAndAboveCountsAsAhead(t *testing.T) {
	g := gomega.NewWithT(t)
	low := reported("low", counts(0, 20), counts(4))
	high := reported("high", counts(4), counts(4))
	g.Expect(share(LoadAware{}, epoch, Request{Tier: 0}, low, high)).To(gomega.BeNumerically(">", 0.9))
	g.Expect(share(LoadAware{}, epoch, Request{Tier: 1}, low, high)).To(gomega.BeNumerically("<", 0.1))
}

func TestOldReportDecaysTowardTheUnknown(t *testing.T) {
	g := gomega.NewWithT(t)
	old := reported("old", counts(), counts())
	fresh := reported("fresh", counts(), counts(2))
	later := epoch.Add(time.Minute)
	fresh.ReportedAt = later
	g.Expect(share(LoadAware{}, epoch, Request{}, old, fresh)).To(gomega.BeNumerically(">", 0.9))
	old.SinceReport = 2
	g.Expect(share(LoadAware{}, later, Request{}, old, fresh)).To(gomega.BeNumerically("<", 0.1))
}

func TestPrefixHomeIsLeftWhenWaitingCostsMoreThanItSaves(t *testing.T) {
	g := gomega.NewWithT(t)
	views := []View{reported("a", counts(), counts(1)), reported("b", counts(), counts())}
	req := Request{}
	for home := -1; home != 0; { // a prefix whose home is the busier endpoint
		req.Prefix++
		home, _ = preferredForPrefix(req.Prefix, views)
	}
	g.Expect(share(LoadAware{}, epoch, req, views...)).To(gomega.Equal(1.0))
	g.Expect(share(LoadAware{PrefixSaving: -1}, epoch, req, views...)).To(gomega.BeNumerically("<", 0.1))
	views[0].Load.Queued = counts(4)
	views[0].Load.Running = counts(4)
	g.Expect(share(LoadAware{}, epoch, req, views...)).To(gomega.BeNumerically("<", 0.1))
}

func TestSlowEndpointCostsMore(t *testing.T) {
	g := gomega.NewWithT(t)
	slow := reported("slow", counts(), counts(1))
	slow.Service = 10 * time.Second
	fast := reported("fast", counts(), counts(3))
	fast.Service = 2 * time.Second
	g.Expect(share(LoadAware{}, epoch, Request{}, slow, fast)).To(gomega.BeNumerically("<", 0.1))
}

func TestDrawsAreSpreadOverFailureDomains(t *testing.T) {
	g := gomega.NewWithT(t)
	views := []View{reported("a", counts(), counts()), reported("b", counts(), counts()), reported("c", counts(), counts())}
	views[1].FailureDomain = "a"
	rnd := rand.New(rand.NewPCG(3, 4))
	apart := 0
	for range 3000 {
		if drawOtherDomain(views, 0, rnd) == 2 {
			apart++
		}
	}
	// 1/3 of the first draws, and 1/3 of the second ones that 2/3 call for.
	g.Expect(float64(apart) / 3000).To(gomega.BeNumerically("~", 1.0/3+2.0/9, 0.03))
}

func TestMayRefuseOnlyWhereNoLowerTierCanGiveWay(t *testing.T) {
	g := gomega.NewWithT(t)
	p := NewPool(Config{})
	list := endpoints("a", "b")
	full := load.Report{Seq: 1, Slots: 4, Queued: counts(3), Running: counts(2, 2)}
	p.Report(epoch, "a", full)
	g.Expect(p.MayRefuse(epoch, 1, list)).To(gomega.BeFalse(), "b is unknown")
	p.Report(epoch, "b", full)
	g.Expect(p.MayRefuse(epoch, 1, list)).To(gomega.BeTrue())
	g.Expect(p.MayRefuse(epoch, 0, list)).To(gomega.BeFalse(), "tier 1 runs below")
	g.Expect(p.MayRefuse(epoch.Add(time.Minute), 1, list)).To(gomega.BeFalse(), "reports are old")
	p.Report(epoch, "b", load.Report{Seq: 2, Slots: 4, Running: counts(3)})
	g.Expect(p.MayRefuse(epoch, 1, list)).To(gomega.BeFalse(), "b has room")
	p.SetLeaving("b", true)
	g.Expect(p.MayRefuse(epoch, 1, list)).To(gomega.BeTrue(), "b leaves")
}

func TestPairNamesASecondOnlyWhereTheFirstIsBusy(t *testing.T) {
	g := gomega.NewWithT(t)
	p := NewPool(Config{})
	list := endpoints("a", "b")
	busy := load.Report{Seq: 1, Slots: 4, Running: counts(3)}
	p.Report(epoch, "a", busy)
	p.Report(epoch, "b", busy)
	for range 50 {
		pair, err := p.ChoosePair(epoch, Request{}, list, nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(pair.Second).NotTo(gomega.BeNil())
		g.Expect(pair.Second).NotTo(gomega.Equal(pair.First))
	}
	idle := load.Report{Seq: 2, Slots: 4}
	p.Report(epoch, "a", idle)
	p.Report(epoch, "b", idle)
	pair, _ := p.ChoosePair(epoch, Request{}, list, nil)
	g.Expect(pair.Second).To(gomega.BeNil())
}
