package balance

// A failure domain with 19 of 56 endpoints stopped responding. Each router avoided an endpoint there
// only after one of its own requests had waited for a second, and then used the next one: of 249
// urgent requests in five seconds 27 got no response, the last of them sent 2.3 s after the outage
// began.

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/bundle"
)

// domainHarness is a router with endpoints in three failure domains. It checks for unresponsive
// endpoints at each interval, and has a request open at each endpoint, which responds unless it is
// silent.
type domainHarness struct {
	p    *Pool
	now  time.Time
	all  []*bundle.Endpoint
	open []*TrackedRequest
}

// newDomainHarness has two endpoints in each failure domain.
func newDomainHarness() *domainHarness { return newDomainHarnessOf(6) }

func newDomainHarnessOf(endpoints int) *domainHarness {
	l := &domainHarness{p: NewPool(Config{Policy: NewPromptAware()}), now: epoch, all: newEndpoints(endpoints)}
	l.p.Views(epoch, l.all)
	for _, e := range l.all {
		l.p.Report(epoch, e.Name, loadReport(1, 0))
		l.open = append(l.open, l.p.Track(epoch, e.Name, Work{Service: "llm"}))
	}
	l.run(2 * time.Second)
	return l
}

// run lets time pass, in which all endpoints but the silent ones respond.
func (l *domainHarness) run(d time.Duration, silent ...int) {
	const (
		interval = 20 * time.Millisecond
		// Checks fall between two responses, or there would be no gap to learn from.
		offset = 7 * time.Millisecond
	)
	for end := l.now.Add(d); l.now.Before(end); {
		l.now = l.now.Add(interval)
		for i, a := range l.open {
			if a != nil && !slices.Contains(silent, i) {
				a.DataReceived(l.now)
			}
		}
		if l.now.Sub(epoch)%UnresponsiveCheckInterval == 0 {
			l.p.CheckUnresponsive(l.now.Add(offset), UnresponsiveTimeout)
		}
	}
}

// avoided lists the endpoints that get no new requests.
func (l *domainHarness) avoided() []string {
	var names []string
	for _, v := range l.p.Views(l.now, l.all) {
		if v.Weight == 0 {
			names = append(names, v.Endpoint)
		}
	}
	return names
}

func TestUnresponsiveFailureDomainIsAvoidedAsAWhole(t *testing.T) {
	g := NewWithT(t)
	l := newDomainHarness()
	var events []DomainEvent
	l.p.cfg.OnDomainEvent = func(e DomainEvent) { events = append(events, e) }
	l.run(200*time.Millisecond, 0, 3)
	g.Expect(l.avoided()).To(BeEmpty())
	l.run(160*time.Millisecond, 0, 3)
	g.Expect(l.avoided()).To(Equal([]string{"e0", "e3"}), "before either endpoint alone is found unresponsive")
	g.Expect(l.p.UnresponsiveDomainCount()).To(Equal(1))
	l.run(time.Second)
	g.Expect(l.avoided()).To(BeEmpty(), "it responds again")
	g.Expect(events).To(Equal([]DomainEvent{
		{Group: "service llm", FailureDomain: "0", Endpoints: 2, Unresponsive: true},
		{Group: "service llm", FailureDomain: "0"},
	}))
}

func TestFailureDomainRespondsIfOneEndpointDoes(t *testing.T) {
	g := NewWithT(t)
	l := newDomainHarness()
	l.run(500*time.Millisecond, 3)
	g.Expect(l.avoided()).NotTo(ContainElement("e0"))
}

func TestNoFailureDomainIsAvoidedIfMostDoNotRespond(t *testing.T) {
	g := NewWithT(t)
	l := newDomainHarness()
	l.run(500*time.Millisecond, 0, 1, 3, 4)
	g.Expect(l.avoided()).To(BeEmpty(), "this router may be cut off from two thirds of all")
	l = newDomainHarness()
	l.run(500*time.Millisecond, 0, 1, 2, 3, 4, 5)
	g.Expect(l.avoided()).To(BeEmpty(), "none responds")
}

// The router avoids two of three failure domains if several endpoints of each don't respond while
// the third domain does, whichever side is cut off. When it avoided none, 276 of 408 urgent
// requests got no response.
func TestTwoOfThreeFailureDomainsAreAvoidedBySeveralEndpointsEach(t *testing.T) {
	g := NewWithT(t)
	l := newDomainHarnessOf(9)
	l.run(500*time.Millisecond, 0, 1, 3, 4, 6, 7)
	g.Expect(l.avoided()).To(Equal([]string{"e0", "e1", "e3", "e4", "e6", "e7"}))
	l = newDomainHarnessOf(9)
	l.run(500*time.Millisecond, 0, 1, 3, 4, 6)
	g.Expect(l.avoided()).To(Equal([]string{"e0", "e3", "e6"}), "one endpoint of the other domain responds")
	l = newDomainHarnessOf(9)
	l.run(500*time.Millisecond, 0, 1, 2, 3, 4, 5, 6, 7, 8)
	g.Expect(l.avoided()).To(BeEmpty(), "no other endpoint responds")
}

// A router that uses the endpoints of one failure domain only may itself be cut off.
func TestFailureDomainIsNotAvoidedIfOthersDoNotRespond(t *testing.T) {
	g := NewWithT(t)
	l := newDomainHarness()
	for _, i := range []int{1, 2, 4, 5} {
		l.open[i].Done(l.now, ResultOK)
		l.open[i] = nil
	}
	l.run(300 * time.Millisecond)
	l.run(600*time.Millisecond, 0, 3)
	g.Expect(l.p.UnresponsiveDomainCount()).To(BeZero())
}

// After a pause the router has read the responses of some endpoints and not yet of others.
func TestPausedRouterAvoidsNoFailureDomain(t *testing.T) {
	g := NewWithT(t)
	l := newDomainHarness()
	l.now = l.now.Add(900 * time.Millisecond)
	l.run(200*time.Millisecond, 0, 3)
	g.Expect(l.avoided()).To(BeEmpty())
}

// A router without requests in the failure domain relies on reports from peers until an endpoint
// there responds or reports to any router.
func TestFailureDomainIsAvoidedByPeerReports(t *testing.T) {
	g := NewWithT(t)
	peerReports := func(endpoints ...string) []FailureSummary {
		var reports []FailureSummary
		for _, e := range endpoints {
			reports = append(reports, FailureSummary{Endpoint: e, Unresponsive: 2, UnresponsiveMillis: 600})
		}
		return reports
	}
	idle := func() *domainHarness {
		l := newDomainHarness()
		for _, i := range []int{0, 3} {
			l.open[i].Done(l.now, ResultOK)
			l.open[i] = nil
		}
		l.run(600 * time.Millisecond)
		return l
	}
	l := idle()
	l.p.ApplyPeerFailures(l.now, peerReports("e0", "e3"))
	l.run(UnresponsiveCheckInterval)
	g.Expect(l.avoided()).To(Equal([]string{"e0", "e3"}))
	g.Expect(l.p.UnresponsiveDomainCount()).To(Equal(1))
	l = idle()
	l.p.ApplyPeerFailures(l.now, peerReports("e3"))
	l.run(UnresponsiveCheckInterval)
	g.Expect(l.p.UnresponsiveDomainCount()).To(BeZero(), "one endpoint may have ended alone")
	l = idle()
	l.p.ApplyPeerFailures(l.now, peerReports("e0", "e3"))
	l.p.ApplyPeerLoads(l.now, []LoadSummary{{Endpoint: "e0"}})
	l.run(UnresponsiveCheckInterval)
	g.Expect(l.p.UnresponsiveDomainCount()).To(BeZero(), "it reported its load since")
}

func TestEndpointIsPresumedDownAfterASecondOfUnresponsiveDomain(t *testing.T) {
	g := NewWithT(t)
	l := newDomainHarnessOf(9)
	l.run(900*time.Millisecond, 0, 3, 6)
	g.Expect(l.avoided()).To(Equal([]string{"e0", "e3", "e6"}))
	g.Expect(l.p.PresumedDown()).To(BeEmpty())
	l.run(200*time.Millisecond, 0, 3, 6)
	g.Expect(l.p.PresumedDown()).To(ConsistOf("e0", "e3", "e6"))
	g.Expect(l.p.Usable(l.now, "e0")).To(BeFalse())
	g.Expect(l.p.Usable(l.now, "e1")).To(BeTrue())
	l.run(200 * time.Millisecond)
	g.Expect(l.p.PresumedDown()).To(BeEmpty())
	l.run(2*time.Second, 0, 3)
	g.Expect(l.p.PresumedDown()).To(BeEmpty(), "the third endpoint responds")
	l = newDomainHarness()
	l.run(2*time.Second, 0, 3)
	g.Expect(l.p.UnresponsiveDomainCount()).To(Equal(1))
	g.Expect(l.p.PresumedDown()).To(BeEmpty(), "two endpoints may be slow at once")
}
