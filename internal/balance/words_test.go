package balance

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/load"
)

func loaded(running, queued int) load.Report {
	r := load.Report{Slots: 64}
	r.Running[0], r.Queued[0] = running, queued
	return r
}

// viewOf is what a pool knows of one of the endpoints.
func viewOf(p *Pool, now time.Time, i int) View { return p.Views(now, engines(i+1))[i] }

func TestTheNewestReportCountsWhoeverReceivedIt(t *testing.T) {
	g := NewWithT(t)
	p := NewPool(Config{})
	viewOf(p, epoch, 1) // the pool has been asked about both
	p.Report(epoch, "e0", loaded(10, 0))
	at := epoch.Add(time.Second)
	p.HearLoads(at, []LoadWord{{Endpoint: "e0", Running: 50, Queued: 7, AgeMillis: 100}, {Endpoint: "e9", Running: 3}})
	v := viewOf(p, at, 0)
	g.Expect(v.Load.TotalRunning()).To(Equal(50))
	g.Expect(v.Load.TotalQueued()).To(Equal(7))
	g.Expect(v.Load.Slots).To(Equal(64))
	g.Expect(v.ReportedAt).To(Equal(at.Add(-100 * time.Millisecond)))
	p.HearLoads(at, []LoadWord{{Endpoint: "e0", Running: 1, AgeMillis: 400}})
	g.Expect(viewOf(p, at, 0).Load.TotalRunning()).To(Equal(50), "an older report says nothing new")
	g.Expect(p.LoadWords(at, time.Minute, 10, false)).To(HaveLen(1), "an endpoint that was never asked about isn't known")
}

func TestAReportFromOthersCountsOnlyWhatWasSentBeforeIt(t *testing.T) {
	g := NewWithT(t)
	p := NewPool(Config{})
	for i := range 5 {
		p.Sent(epoch.Add(time.Duration(i)*100*time.Millisecond), "e0")
	}
	now := epoch.Add(500 * time.Millisecond)
	p.HearLoads(now, []LoadWord{{Endpoint: "e0", Running: 3, AgeMillis: 250}}) // at 250 ms
	g.Expect(viewOf(p, now, 0).SinceReport).To(Equal(2))
	own := loaded(5, 0)
	own.Seq = 1
	p.Report(now, "e0", own)
	g.Expect(viewOf(p, now, 0).SinceReport).To(BeZero())
}

func TestRoutersTellTheNewestReportsThatTheyReceived(t *testing.T) {
	g := NewWithT(t)
	p := NewPool(Config{})
	viewOf(p, epoch, 3)
	for i, name := range []string{"e0", "e1", "e2"} {
		p.Report(epoch.Add(time.Duration(i)*100*time.Millisecond), name, loaded(i, 0))
	}
	now := epoch.Add(300 * time.Millisecond)
	p.HearLoads(now, []LoadWord{{Endpoint: "e3", Running: 9, AgeMillis: 1}})
	words := p.LoadWords(now, 250*time.Millisecond, 10, true)
	g.Expect(words).To(Equal([]LoadWord{{Endpoint: "e2", Running: 2, AgeMillis: 100}, {Endpoint: "e1", Running: 1, AgeMillis: 200}}))
	words = p.LoadWords(now, time.Second, 2, false)
	g.Expect(words).To(HaveLen(2))
	g.Expect(words[0].Endpoint).To(Equal("e3"))
}

func TestOwnRequestsSinceAReportStandForThoseOfAllRouters(t *testing.T) {
	g := NewWithT(t)
	// This router has 2 of 100 requests in flight; what it just sent to the
	// emptier endpoint others will have sent there as well.
	views := []View{
		{Endpoint: "full", Inflight: 1, Load: loaded(60, 0), Weight: 1},
		{Endpoint: "empty", Inflight: 1, SinceReport: 1, Load: loaded(38, 0), Weight: 1},
	}
	countOthers(views, 1, 1)
	g.Expect(views[1].Since).To(BeNumerically("~", 33, 2), "for the one request of its own")
	g.Expect(views[1].requests()).To(BeNumerically(">", views[0].requests()))
}

// Where endpoints tell no load, a router's requests stand for those of all routers, the
// less the fewer they are.
func TestWhatEndpointsDoNotTellIsExpected(t *testing.T) {
	g := NewWithT(t)
	many := []View{{Inflight: 30}, {Inflight: 10}}
	countOthers(many, 0.2, 1)
	g.Expect(many[0].Expected).To(BeNumerically("~", 150, 8))
	g.Expect(many[1].Expected).To(BeNumerically("~", 50, 8))
	few := []View{{Inflight: 2}, {}, {}, {}, {}}
	countOthers(few, 0.05, 1)
	g.Expect(few[0].Expected).To(BeNumerically("<", 20))
	told := []View{{Inflight: 30, ReportedAt: epoch}}
	countOthers(told, 0.2, 1)
	g.Expect(told[0].Expected).To(BeZero())
}
