package balance

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/load"
)

func loadReport(running, queued int) load.Report {
	r := load.Report{Slots: 64}
	r.Running[0], r.Queued[0] = running, queued
	return r
}

// viewOf is the pool's view of the i-th endpoint.
func viewOf(p *Pool, now time.Time, i int) View { return p.Views(now, newEndpoints(i+1))[i] }

func TestNewestLoadReportWins(t *testing.T) {
	g := NewWithT(t)
	p := NewPool(Config{})
	viewOf(p, epoch, 1) // adds both endpoints to the pool
	p.Report(epoch, "e0", loadReport(10, 0))
	at := epoch.Add(time.Second)
	p.ApplyPeerLoads(at, []LoadSummary{{Endpoint: "e0", Running: 50, Queued: 7, AgeMillis: 100}, {Endpoint: "e9", Running: 3}})
	v := viewOf(p, at, 0)
	g.Expect(v.Load.TotalRunning()).To(Equal(50))
	g.Expect(v.Load.TotalQueued()).To(Equal(7))
	g.Expect(v.Load.Slots).To(Equal(64))
	g.Expect(v.ReportedAt).To(Equal(at.Add(-100 * time.Millisecond)))
	p.ApplyPeerLoads(at, []LoadSummary{{Endpoint: "e0", Running: 1, AgeMillis: 400}})
	g.Expect(viewOf(p, at, 0).Load.TotalRunning()).To(Equal(50), "an older report changes nothing")
	g.Expect(p.RecentLoads(at, time.Minute, 10, false)).To(HaveLen(1), "the pool doesn't know an endpoint it wasn't asked about")
}

func TestPeerReportIncludesOnlyRequestsSentBeforeIt(t *testing.T) {
	g := NewWithT(t)
	p := NewPool(Config{})
	for i := range 5 {
		p.Sent(epoch.Add(time.Duration(i)*100*time.Millisecond), "e0")
	}
	now := epoch.Add(500 * time.Millisecond)
	p.ApplyPeerLoads(now, []LoadSummary{{Endpoint: "e0", Running: 3, AgeMillis: 250}}) // at 250 ms
	g.Expect(viewOf(p, now, 0).OwnUnreported).To(Equal(2))
	own := loadReport(5, 0)
	own.Seq = 1
	p.Report(now, "e0", own)
	g.Expect(viewOf(p, now, 0).OwnUnreported).To(BeZero())
}

func TestRoutersReportTheNewestLoads(t *testing.T) {
	g := NewWithT(t)
	p := NewPool(Config{})
	viewOf(p, epoch, 3)
	for i, name := range []string{"e0", "e1", "e2"} {
		p.Report(epoch.Add(time.Duration(i)*100*time.Millisecond), name, loadReport(i, 0))
	}
	now := epoch.Add(300 * time.Millisecond)
	p.ApplyPeerLoads(now, []LoadSummary{{Endpoint: "e3", Running: 9, AgeMillis: 1}})
	loads := p.RecentLoads(now, 250*time.Millisecond, 10, true)
	g.Expect(loads).To(Equal([]LoadSummary{{Endpoint: "e2", Running: 2, AgeMillis: 100}, {Endpoint: "e1", Running: 1, AgeMillis: 200}}))
	loads = p.RecentLoads(now, time.Second, 2, false)
	g.Expect(loads).To(HaveLen(2))
	g.Expect(loads[0].Endpoint).To(Equal("e3"))
}

func TestRequestsOfAllRoutersAreExtrapolatedFromOwn(t *testing.T) {
	g := NewWithT(t)
	// This router has 2 of 100 requests in flight. Other routers will also have sent requests to
	// the emptier endpoint.
	views := []View{
		{Endpoint: "full", Inflight: 1, Load: loadReport(60, 0), Weight: 1},
		{Endpoint: "empty", Inflight: 1, OwnUnreported: 1, Load: loadReport(38, 0), Weight: 1},
	}
	estimateOtherRouters(views, 1, 1)
	g.Expect(views[1].EstimatedUnreported).To(BeNumerically("~", 33, 2), "extrapolated from one own request")
	g.Expect(views[1].estimatedRequests()).To(BeNumerically(">", views[0].estimatedRequests()))
}

// Without load reports, the requests of all routers are extrapolated from this router's, with less
// weight the fewer they are.
func TestUnreportedLoadIsExtrapolated(t *testing.T) {
	g := NewWithT(t)
	heavy := []View{{Inflight: 30}, {Inflight: 10}}
	estimateOtherRouters(heavy, 0.2, 1)
	g.Expect(heavy[0].EstimatedInflight).To(BeNumerically("~", 150, 8))
	g.Expect(heavy[1].EstimatedInflight).To(BeNumerically("~", 50, 8))
	light := []View{{Inflight: 2}, {}, {}, {}, {}}
	estimateOtherRouters(light, 0.05, 1)
	g.Expect(light[0].EstimatedInflight).To(BeNumerically("<", 20))
	reported := []View{{Inflight: 30, ReportedAt: epoch}}
	estimateOtherRouters(reported, 0.2, 1)
	g.Expect(reported[0].EstimatedInflight).To(BeZero())
}

// Guards against a percentage that is lost, or replaced by a malformed one, when a peer reports the load:
// peers of the previous version state none.
func TestPeerReportWithoutAPercentageKeepsTheKnownOne(t *testing.T) {
	g := NewWithT(t)
	p := NewPool(Config{})
	viewOf(p, epoch, 1)
	report := loadReport(3, 0)
	report.WorkPercent = 170
	p.Report(epoch, "e0", report)
	for n, percent := range []int{0, -1, 5, 1 << 40} {
		now := epoch.Add(time.Duration(n+1) * 100 * time.Millisecond)
		p.ApplyPeerLoads(now, []LoadSummary{{Endpoint: "e0", Running: 9, WorkPercent: percent, AgeMillis: 1}})
		v := viewOf(p, now, 0)
		g.Expect(v.Load.TotalRunning()).To(Equal(9))
		g.Expect(v.Load.WorkPercent).To(Equal(170.0), "%d", percent)
	}
	p.ApplyPeerLoads(epoch.Add(time.Second), []LoadSummary{{Endpoint: "e0", WorkPercent: 70, AgeMillis: 1}})
	g.Expect(viewOf(p, epoch.Add(time.Second), 0).Load.WorkPercent).To(Equal(70.0))
}
