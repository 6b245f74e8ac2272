package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"coveferry/internal/load"
)

func tierCounts(n ...int) (c [load.MaxTiers]int) {
	copy(c[:], n)
	return c
}

func reportedView(name string, queued, running [load.MaxTiers]int) View {
	return View{
		Endpoint: name, FailureDomain: name, Weight: 1, ReportedAt: epoch,
		Load: load.Report{Slots: 4, Queued: queued, Running: running},
	}
}

// firstViewShare returns the share of 1000 choices that fell on the first view.
func firstViewShare(l LoadAware, now time.Time, req Request, views ...View) float64 {
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

func TestOnlyOwnAndHigherTiersCountAsAhead(t *testing.T) {
	g := gomega.NewWithT(t)
	low := reportedView("low", tierCounts(0, 20), tierCounts(4))
	high := reportedView("high", tierCounts(4), tierCounts(4))
	g.Expect(firstViewShare(LoadAware{}, epoch, Request{Tier: 0}, low, high)).To(gomega.BeNumerically(">", 0.9))
	g.Expect(firstViewShare(LoadAware{}, epoch, Request{Tier: 1}, low, high)).To(gomega.BeNumerically("<", 0.1))
}

func TestWeightOfReportDecaysWithAge(t *testing.T) {
	g := gomega.NewWithT(t)
	old := reportedView("old", tierCounts(), tierCounts())
	fresh := reportedView("fresh", tierCounts(), tierCounts(2))
	later := epoch.Add(time.Minute)
	fresh.ReportedAt = later
	g.Expect(firstViewShare(LoadAware{}, epoch, Request{}, old, fresh)).To(gomega.BeNumerically(">", 0.9))
	old.OwnUnreported = 2
	g.Expect(firstViewShare(LoadAware{}, later, Request{}, old, fresh)).To(gomega.BeNumerically("<", 0.1))
}

func TestPrefixAffinityYieldsToLongWaits(t *testing.T) {
	g := gomega.NewWithT(t)
	views := []View{reportedView("a", tierCounts(), tierCounts(1)), reportedView("b", tierCounts(), tierCounts())}
	req := Request{}
	for preferred := -1; preferred != 0; { // a prefix that prefers the busier endpoint
		req.Prefix++
		preferred, _ = preferredForPrefix(req.Prefix, views)
	}
	g.Expect(firstViewShare(LoadAware{}, epoch, req, views...)).To(gomega.Equal(1.0))
	g.Expect(firstViewShare(LoadAware{PrefixSaving: -1}, epoch, req, views...)).To(gomega.BeNumerically("<", 0.1))
	views[0].Load.Queued = tierCounts(4)
	views[0].Load.Running = tierCounts(4)
	g.Expect(firstViewShare(LoadAware{}, epoch, req, views...)).To(gomega.BeNumerically("<", 0.1))
}

func TestSlowEndpointCostsMore(t *testing.T) {
	g := gomega.NewWithT(t)
	slow := reportedView("slow", tierCounts(), tierCounts(1))
	slow.SlotTime = 10 * time.Second
	fast := reportedView("fast", tierCounts(), tierCounts(3))
	fast.SlotTime = 2 * time.Second
	g.Expect(firstViewShare(LoadAware{}, epoch, Request{}, slow, fast)).To(gomega.BeNumerically("<", 0.1))
}

func TestSamplesAreSpreadOverFailureDomains(t *testing.T) {
	g := gomega.NewWithT(t)
	views := []View{reportedView("a", tierCounts(), tierCounts()), reportedView("b", tierCounts(), tierCounts()), reportedView("c", tierCounts(), tierCounts())}
	views[1].FailureDomain = "a"
	rnd := rand.New(rand.NewPCG(3, 4))
	otherDomain := 0
	for range 3000 {
		if drawAvoidingDomain(views, 0, rnd) == 2 {
			otherDomain++
		}
	}
	// 1/3 of the first samples, and 1/3 of the second ones, which 2/3 of the choices need.
	g.Expect(float64(otherDomain) / 3000).To(gomega.BeNumerically("~", 1.0/3+2.0/9, 0.03))
}

func TestMayRejectOnlyWithoutPreemptableLowerTier(t *testing.T) {
	g := gomega.NewWithT(t)
	p := NewPool(Config{})
	list := namedEndpoints("a", "b")
	full := load.Report{Seq: 1, Slots: 4, Queued: tierCounts(3), Running: tierCounts(2, 2)}
	p.Report(epoch, "a", full)
	g.Expect(p.MayReject(epoch, 1, list)).To(gomega.BeFalse(), "b is unknown")
	p.Report(epoch, "b", full)
	g.Expect(p.MayReject(epoch, 1, list)).To(gomega.BeTrue())
	g.Expect(p.MayReject(epoch, 0, list)).To(gomega.BeFalse(), "tier 1 runs below")
	g.Expect(p.MayReject(epoch.Add(time.Minute), 1, list)).To(gomega.BeFalse(), "reports are old")
	p.Report(epoch, "b", load.Report{Seq: 2, Slots: 4, Running: tierCounts(3)})
	g.Expect(p.MayReject(epoch, 1, list)).To(gomega.BeFalse(), "b has room")
	p.SetLeaving("b", true)
	g.Expect(p.MayReject(epoch, 1, list)).To(gomega.BeTrue(), "b is leaving")
}

func TestPairHasSecondEndpointOnlyIfFirstIsBusy(t *testing.T) {
	g := gomega.NewWithT(t)
	p := NewPool(Config{})
	list := namedEndpoints("a", "b")
	busy := load.Report{Seq: 1, Slots: 4, Running: tierCounts(3)}
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
