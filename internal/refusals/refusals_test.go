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

// Guards against refusals of full endpoints, or of endpoints that state no load, being taken for
// contradictions.
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

// Guards against an endpoint that was full for half a second losing its share.
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

// Guards against distrust of an endpoint that was full for 250 ms, where peers report its refusals
// late, or again after a pause.
func TestMomentarilyFullEndpointIsNotDistrustedForLateReports(t *testing.T) {
	for name, reported := range map[string][]int{
		"500 ms late":                  {0, 0, 0, 6, 12, 12, 12, 12, 6, 0, 0},
		"pause of all peers":           {0, 6, 12, -1, -1, -1, -1, -1, 12, 6, 0},
		"pause of one peer":            {0, 6, 12, 12, 12, 12, 6, 12, 12, 6, 0},
		"first report after a restart": {-1, -1, -1, -1, -1, -1, 12, 12, 6, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			e := refusals.New()
			for ms := 0; ms <= 2500; ms += 50 {
				if ms <= 250 {
					e.Contradicted(at(ms))
				}
				if n := reported[ms/250]; ms%250 == 0 && n >= 0 {
					e.Report(at(ms), refusals.Counts{Contradicted: n, Reporters: min(n, 3)})
				}
				g.Expect(e.Update(at(ms))).To(Equal(refusals.Unchanged), "at %d ms", ms)
			}
		})
	}
}

// Guards against distrust of an endpoint that serves most requests.
func TestRareContradictionsDoNotCauseDistrust(t *testing.T) {
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

// Guards against an endpoint that gets less than its share although it serves all requests again.
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

// Guards against an endpoint that refuses half of its requests getting only probes, or its full share.
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

// Guards against probes that grow with the number of routers: those that distrust an endpoint and
// exchange reports send it about one probe a second in all. Each has 10 requests a second.
func TestProbesDoNotGrowWithTheNumberOfRouters(t *testing.T) {
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

// Guards against distrust adopted from a single peer.
func TestDistrustOfOnePeerIsNotAdopted(t *testing.T) {
	g := NewWithT(t)
	e := refusals.New()
	e.Report(at(0), refusals.Counts{Routers: 1})
	g.Expect(e.Update(at(0))).To(Equal(refusals.Unchanged))
	e.Report(at(250), refusals.Counts{Routers: 2})
	g.Expect(e.Update(at(250))).To(Equal(refusals.Begins))
}

// Guards against distrust of an endpoint that serves everything because a single peer reports
// contradictions there.
func TestOnePeerThatReportsContradictionsIsNotBelievedBesideServedRequests(t *testing.T) {
	for name, interval := range map[string]int{"many own requests": 50, "few own requests": 700} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			e := refusals.New()
			for ms := 0; ms < 20000; ms += 50 {
				if ms%interval == 0 {
					e.Served(at(ms))
				}
				if ms%250 == 0 {
					e.Report(at(ms), refusals.Counts{Contradicted: 40 + ms/250%20, Reporters: 1, Routers: 1})
				}
				g.Expect(e.Update(at(ms))).To(Equal(refusals.Unchanged))
			}
		})
	}
}

// Guards against distrust after a single own contradiction, which may be a race, beside a peer
// whose counts outweigh the requests served here.
func TestOwnServedRequestsOutweighPeers(t *testing.T) {
	g := NewWithT(t)
	e := refusals.New()
	for ms := 0; ms < 20000; ms += 50 {
		if ms%2000 == 1000 {
			e.Contradicted(at(ms))
		} else {
			e.Served(at(ms))
		}
		if ms >= 1000 && ms%250 == 0 {
			e.Report(at(ms), refusals.Counts{Contradicted: 40 + ms/250%20, Reporters: 1, Routers: 3})
		}
		g.Expect(e.Update(at(ms))).To(Equal(refusals.Unchanged))
	}
}

// Guards against shares out of range for counts of a peer, which are untrusted input.
func TestNonsensicalReportsAreBounded(t *testing.T) {
	g := NewWithT(t)
	e := refusing(g)
	e.Report(at(1100), refusals.Counts{Contradicted: -5, Served: -1 << 62, Routers: 1 << 62})
	g.Expect(e.Share(at(1100), 6)).To(BeNumerically(">=", 0))
	e.Report(at(1200), refusals.Counts{Contradicted: 1 << 62, Served: 1 << 62, Routers: 1 << 62})
	g.Expect(e.Share(at(1200), 6)).To(BeNumerically("<=", 1))
}

// Guards against routers that distrust an endpoint only since others did, and keep each other from
// forgetting it.
func TestAdoptedDistrustIsNotReported(t *testing.T) {
	g := NewWithT(t)
	e := refusals.New()
	e.Report(at(0), refusals.Counts{Routers: 2})
	g.Expect(e.Update(at(0))).To(Equal(refusals.Begins))
	g.Expect(e.Own(at(0))).To(Equal(refusals.Counts{}))
	e.Contradicted(at(100))
	g.Expect(e.Own(at(100))).To(Equal(refusals.Counts{Contradicted: 1, Reporters: 1, Routers: 1}))
}

// Guards against distrust, with a log line each time, that begins again after each end while peers
// report the same.
func TestAdoptedDistrustDoesNotBeginAgainWithTheSameReports(t *testing.T) {
	g := NewWithT(t)
	e := refusals.New()
	var changes []refusals.Change
	report := func(from, to, routers int) {
		for ms := from; ms < to; ms += 250 {
			g.Expect(e.Over(at(ms))).To(Equal(ms == 0))
			e.Report(at(ms), refusals.Counts{Routers: routers})
			if c := e.Update(at(ms)); c != refusals.Unchanged {
				changes = append(changes, c)
			}
		}
	}
	report(0, 60000, 2)
	g.Expect(changes).To(Equal([]refusals.Change{refusals.Begins, refusals.Ends}))
	report(60000, 61000, 1)
	report(61000, 62000, 2)
	g.Expect(changes).To(Equal([]refusals.Change{refusals.Begins, refusals.Ends, refusals.Begins}), "reports that changed")
}

// Guards against distrust that never ends for lack of requests.
func TestDistrustEndsWithoutOutcomes(t *testing.T) {
	g := NewWithT(t)
	e := refusing(g)
	g.Expect(e.Update(at(10900))).To(Equal(refusals.Unchanged))
	g.Expect(e.Update(at(11100))).To(Equal(refusals.Ends))
	g.Expect(e.Over(at(11100))).To(BeTrue())
}
