package refusals_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/load"
	"coveferry/internal/refusals"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func stated(running, queued, slots int) *load.Report {
	r := &load.Report{Slots: slots}
	r.Running[0], r.Queued[0] = running, queued
	return r
}

func TestOnlyStatementsWithRoomContradictRefusals(t *testing.T) {
	g := NewWithT(t)
	for _, c := range []struct {
		stated *load.Report
		slots  int
		want   refusals.Kind
	}{
		{stated(1, 0, 6), 0, refusals.Contradicting},
		{stated(6, 0, 6), 0, refusals.Consistent},
		{stated(1, 1, 6), 0, refusals.Consistent},
		{stated(1, 0, 0), 6, refusals.Contradicting},
		{stated(1, 0, 0), 0, refusals.Consistent},
		{nil, 6, refusals.Unstated},
	} {
		g.Expect(refusals.KindOf(c.stated, c.slots)).To(Equal(c.want))
	}
}

// refusing returns the evidence of an endpoint that refused everything for a second, to at(1000).
func refusing(g *WithT) *refusals.Evidence {
	e := refusals.New()
	for ms := 0; ms <= 1000; ms += 250 {
		e.Contradicted(at(ms))
		e.Update(at(ms))
	}
	g.Expect(e.Distrusted()).To(BeTrue())
	return e
}

func TestMomentarilyFullEndpointIsNotDistrusted(t *testing.T) {
	g := NewWithT(t)
	e := refusals.New()
	for ms := 0; ms < 500; ms += 10 {
		e.Contradicted(at(ms))
		g.Expect(e.Update(at(ms))).To(Equal(refusals.Unchanged))
	}
	for ms := 500; ms < 3000; ms += 100 {
		e.Served(at(ms))
		g.Expect(e.Update(at(ms))).To(Equal(refusals.Unchanged))
	}
}

func TestRareContradictionsDoNotMatter(t *testing.T) {
	g := NewWithT(t)
	e := refusals.New()
	for ms := 0; ms < 20000; ms += 100 {
		if ms%500 == 0 {
			e.Contradicted(at(ms))
		} else {
			e.Served(at(ms))
		}
		g.Expect(e.Update(at(ms))).To(Equal(refusals.Unchanged), "a fifth is refused")
	}
}

func TestEndpointThatServesAgainIsBackWithinTwoSeconds(t *testing.T) {
	g := NewWithT(t)
	e := refusing(g)
	g.Expect(e.Share(at(1000), 6)).To(BeNumerically("<=", 0.4/6), "probes")
	for ms := 1300; ms <= 3300; ms += 250 {
		e.Served(at(ms))
	}
	g.Expect(e.Share(at(3300), 6)).To(BeNumerically("~", 1.0/6), "an even share")
	g.Expect(e.Update(at(3300))).To(Equal(refusals.Ends))
}

func TestShareFollowsWhatIsServed(t *testing.T) {
	g := NewWithT(t)
	e := refusing(g)
	for ms := 1100; ms <= 6000; ms += 100 {
		if ms%200 == 0 {
			e.Contradicted(at(ms))
		} else {
			e.Served(at(ms))
		}
		g.Expect(e.Update(at(ms))).To(Equal(refusals.Unchanged))
	}
	g.Expect(e.Share(at(6000), 6)).To(BeNumerically("~", 0.5/6, 0.1/6))
}

// Routers that distrust an endpoint and tell each other send it about one probe a second in all. Each
// has 10 requests a second.
func TestProbesOfRoutersAddUp(t *testing.T) {
	g := NewWithT(t)
	for _, peers := range []int{0, 8, 25, 32} {
		e := refusing(g)
		probes := 0.0
		for ms := 1000; ms < 11000; ms += 100 {
			if ms%250 == 0 {
				e.Report(at(ms), refusals.Counts{Contradicted: 2, Routers: peers})
			}
			share := e.Share(at(ms), 6)
			if ms >= 6000 {
				probes += share
			}
		}
		perSecond := probes / 5 * float64(peers+1)
		t.Logf("%d routers: %.2f probes a second", peers+1, perSecond)
		g.Expect(perSecond).To(BeNumerically("<", 1.2))
		g.Expect(perSecond).To(BeNumerically(">", 0.6))
	}
}

func TestOnePeerAloneIsNotBelieved(t *testing.T) {
	g := NewWithT(t)
	e := refusals.New()
	e.Report(at(0), refusals.Counts{Routers: 1})
	g.Expect(e.Update(at(0))).To(Equal(refusals.Unchanged))
	e.Report(at(250), refusals.Counts{Routers: 2})
	g.Expect(e.Update(at(250))).To(Equal(refusals.Begins))
}

// A peer's counts are untrusted input.
func TestNonsensicalReportsAreBounded(t *testing.T) {
	g := NewWithT(t)
	e := refusing(g)
	e.Report(at(1100), refusals.Counts{Contradicted: -5, Served: -1 << 62, Routers: 1 << 62})
	g.Expect(e.Share(at(1100), 6)).To(BeNumerically(">=", 0))
	e.Report(at(1200), refusals.Counts{Contradicted: 1 << 62, Served: 1 << 62, Routers: 1 << 62})
	g.Expect(e.Share(at(1200), 6)).To(BeNumerically("<=", 1))
}

// Two routers that distrust an endpoint only since others did must not keep each other from
// forgetting.
func TestRoutersThatFollowPeersDoNotTellSo(t *testing.T) {
	g := NewWithT(t)
	e := refusals.New()
	e.Report(at(0), refusals.Counts{Routers: 2})
	g.Expect(e.Update(at(0))).To(Equal(refusals.Begins))
	g.Expect(e.Own(at(0))).To(Equal(refusals.Counts{}))
	e.Contradicted(at(100))
	g.Expect(e.Own(at(100))).To(Equal(refusals.Counts{Contradicted: 1, Routers: 1}))
}

func TestDistrustEndsWithoutOutcomes(t *testing.T) {
	g := NewWithT(t)
	e := refusing(g)
	g.Expect(e.Update(at(10900))).To(Equal(refusals.Unchanged))
	g.Expect(e.Update(at(11100))).To(Equal(refusals.Ends))
	g.Expect(e.Over(at(11100))).To(BeTrue())
}
