package balance

import (
	"encoding/json"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// contradict has an endpoint refuse a request each 100 ms for two seconds, with one of its slots
// stated as taken, and returns the time after that.
func contradict(p *Pool, endpoint string, now time.Time) time.Time {
	for range 20 {
		r := loadReport(1, 0)
		r.Slots = 64
		a := p.Track(now, endpoint, Work{Service: "s"})
		p.Report(now, endpoint, r)
		a.Release()
		a.Refused(now)
		a.ContradictedLoad(now, &r, 0)
		a.Done(now, ResultRefused)
		now = now.Add(100 * time.Millisecond)
	}
	return now
}

// The state belongs to one life of an endpoint: a new process must not get probes for what the old
// one refused.
func TestRefusalsOfOneProcessDoNotCountForTheNext(t *testing.T) {
	for name, end := range map[string]func(*Pool, time.Time){
		"restart": func(p *Pool, now time.Time) { p.Restart(now, "e0") },
		"forget":  func(p *Pool, _ time.Time) { p.Forget("e0") },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			p := NewPool(Config{Policy: NewPromptAware()})
			old := p.Track(epoch, "e0", Work{})
			now := contradict(p, "e0", epoch)
			g.Expect(p.Refusals().Endpoints).To(Equal(1))
			end(p, now)
			g.Expect(p.Refusals().Endpoints).To(BeZero())
			r := loadReport(1, 0)
			r.Slots = 64
			old.ContradictedLoad(now, &r, 0)
			g.Expect(p.RecentFailures(now, 32)).To(BeEmpty())
			if name == "restart" {
				p.ApplyPeerFailures(now, []FailureSummary{{Endpoint: "e0", Contradicted: 20, Distrusting: 5}})
				g.Expect(p.Refusals().Endpoints).To(BeZero(), "peers' reports about the old process")
			}
		})
	}
}

func TestRefusalEventsComeOncePerChange(t *testing.T) {
	g := NewWithT(t)
	var events []RefusalEvent
	p := NewPool(Config{Policy: NewPromptAware(), OnRefusals: func(e RefusalEvent) { events = append(events, e) }})
	now := contradict(p, "e0", epoch)
	g.Expect(events).To(Equal([]RefusalEvent{{"e0", true}}))
	for range 30 {
		now = now.Add(100 * time.Millisecond)
		a := p.Track(now, "e0", Work{Service: "s"})
		a.Release()
		a.Done(now, ResultOK)
	}
	g.Expect(events).To(Equal([]RefusalEvent{{"e0", true}, {"e0", false}}))
}

// Without refusals that contradict a load, choices are the same with and without the part.
func TestChoicesWithoutContradictionsAreTheSame(t *testing.T) {
	g := NewWithT(t)
	for _, routers := range []int{3, 27} {
		on := newRefusalsSim(refusalsPlay{routers: routers}).run()
		off := newRefusalsSim(refusalsPlay{routers: routers, off: true}).run()
		for i := range on.engines {
			g.Expect(on.engines[i].arrived).To(Equal(off.engines[i].arrived))
		}
	}
}

// An endpoint that is full and says so keeps its share, however long it is.
func TestEndpointThatStatesThatItIsFullIsNotDistrusted(t *testing.T) {
	g := NewWithT(t)
	p := NewPool(Config{Policy: NewPromptAware()})
	for i := range 30 {
		now := epoch.Add(time.Duration(i) * 100 * time.Millisecond)
		r := loadReport(6, 24)
		a := p.Track(now, "e0", Work{})
		p.Report(now, "e0", r)
		a.Refused(now)
		a.ContradictedLoad(now, &r, 6)
		a.Done(now, ResultRefused)
	}
	g.Expect(p.Refusals()).To(Equal(RefusalTotals{}))
}

// What a cold or leaving endpoint or one in the ramp after a backoff refuses isn't held against it,
// also if only a health check said so.
func TestRefusalsOfColdAndLeavingEndpointsDoNotCount(t *testing.T) {
	for name, set := range map[string]func(*Pool){
		"cold":    func(p *Pool) { p.SetCold(epoch, "e0", time.Minute) },
		"leaving": func(p *Pool) { p.SetLeaving("e0", true) },
		"backoff": func(p *Pool) { p.askForBackoff(epoch, "e0", time.Minute) },
	} {
		g := NewWithT(t)
		p := NewPool(Config{Policy: NewPromptAware()})
		set(p)
		contradict(p, "e0", epoch)
		g.Expect(p.Refusals()).To(Equal(RefusalTotals{}), name)
	}
}

// The report to peers must stay small: each of up to 32 endpoints takes a few bytes more.
func TestReportOfRefusalsIsSmall(t *testing.T) {
	g := NewWithT(t)
	size := func(s FailureSummary) int {
		b, err := json.Marshal(s)
		g.Expect(err).NotTo(HaveOccurred())
		return len(b)
	}
	with := size(FailureSummary{Endpoint: "i-model-004", Contradicted: 12, Served: 3, Distrusting: 1})
	without := size(FailureSummary{Endpoint: "i-model-004"})
	t.Logf("%d bytes, %d more than without", with, with-without)
	g.Expect(with).To(BeNumerically("<=", 80))
}
