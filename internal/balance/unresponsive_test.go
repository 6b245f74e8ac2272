package balance

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestEndpointIsUnresponsiveOnlyWithOpenRequests(t *testing.T) {
	g := NewWithT(t)
	p := NewPool(Config{Policy: NewPromptAware()})
	at := func(d time.Duration) time.Time { return epoch.Add(d) }
	unresponsive := func(d time.Duration) []string { return p.CheckUnresponsive(at(d), time.Second) }
	a := p.Track(at(0), "e", Work{})
	p.Track(at(900*time.Millisecond), "e", Work{})
	g.Expect(unresponsive(time.Second)).To(BeEmpty())
	g.Expect(unresponsive(1001 * time.Millisecond)).To(Equal([]string{"e"}))
	a.DataReceived(at(1500 * time.Millisecond))
	g.Expect(unresponsive(2500 * time.Millisecond)).To(BeEmpty())
	g.Expect(unresponsive(2501 * time.Millisecond)).To(Equal([]string{"e"}))
	p.Done(at(2600*time.Millisecond), "e", ResultOK, 0)
	p.Done(at(2600*time.Millisecond), "e", ResultOK, 0)
	g.Expect(unresponsive(time.Minute)).To(BeEmpty())
	p.Track(at(time.Minute), "e", Work{})
	g.Expect(unresponsive(time.Minute + time.Second)).To(BeEmpty())
}

// learnResponseGaps has endpoints of a model respond often enough for their usual response gap to be
// known.
func learnResponseGaps(p *Pool, endpoints int) {
	all := newEndpoints(endpoints)
	p.Views(epoch, all)
	for _, e := range all {
		p.Report(epoch, e.Name, loadReport(1, 0))
		a := p.Track(epoch, e.Name, Work{Service: "llm"})
		for i := range 3 * minSamples {
			a.DataReceived(epoch.Add(time.Duration(20*i) * time.Millisecond))
		}
	}
}

// A response gap counts if it is unusual in its group. If this router itself may be cut off, or
// most endpoints are as slow, only gaps longer than UnresponsiveTimeout count.
func TestResponseGapIsComparedInGroup(t *testing.T) {
	g := NewWithT(t)
	last := epoch.Add(20 * (3*minSamples - 1) * time.Millisecond)
	// unresponsive has the first n of six endpoints respond, and lists the unresponsive ones.
	unresponsive := func(n int, after time.Duration) []string {
		p := NewPool(Config{Policy: NewPromptAware()})
		learnResponseGaps(p, 6)
		for _, e := range newEndpoints(n) {
			p.Track(last, e.Name, Work{Service: "llm"}).DataReceived(last.Add(after))
		}
		return p.CheckUnresponsive(last.Add(after), UnresponsiveTimeout)
	}
	g.Expect(unresponsive(5, minResponseGap)).To(BeEmpty())
	g.Expect(unresponsive(5, 600*time.Millisecond)).To(Equal([]string{"e5"}))
	g.Expect(unresponsive(4, 600*time.Millisecond)).To(Equal([]string{"e4", "e5"}))
	g.Expect(unresponsive(2, 600*time.Millisecond)).To(BeEmpty(), "most endpoints have the same gap")
	g.Expect(unresponsive(0, 600*time.Millisecond)).To(BeEmpty(), "all endpoints have the same gap")
	g.Expect(unresponsive(2, UnresponsiveTimeout+time.Millisecond)).To(HaveLen(4), "a gap above the limit always counts")
}

func TestNoEndpointIsUnresponsiveIfNoOtherResponds(t *testing.T) {
	g := NewWithT(t)
	p := NewPool(Config{Policy: NewPromptAware()})
	learnResponseGaps(p, 1)
	p.Views(epoch, newEndpoints(6)) // the others have no requests
	now := epoch.Add(20*3*minSamples*time.Millisecond + 600*time.Millisecond)
	g.Expect(p.CheckUnresponsive(now, UnresponsiveTimeout)).To(BeEmpty())
}

func TestPeerUnresponsiveReportIsContradictedByNewerResponse(t *testing.T) {
	g := NewWithT(t)
	p := NewPool(Config{Policy: NewPromptAware()})
	all := newEndpoints(6)
	avoided := func(now time.Time) bool { return p.Views(now, all)[0].Weight == 0 }
	avoided(epoch)
	one := []FailureSummary{{Endpoint: "e0", Unresponsive: 1, UnresponsiveMillis: 300}}
	p.ApplyPeerFailures(epoch, one)
	g.Expect(avoided(epoch)).To(BeFalse(), "one reporter, and no load reports")
	p.ApplyPeerFailures(epoch, []FailureSummary{{Endpoint: "e0", Unresponsive: 2, UnresponsiveMillis: 300}})
	g.Expect(avoided(epoch)).To(BeTrue())
	now := epoch.Add(2 * time.Second)
	g.Expect(avoided(now)).To(BeFalse(), "the report has expired")
	earlier := loadReport(1, 0)
	earlier.Seq = 1
	p.Report(now.Add(-time.Second), "e0", earlier)
	p.ApplyPeerFailures(now, one)
	g.Expect(avoided(now)).To(BeTrue(), "its last load report is older")
	now = now.Add(2 * time.Second)
	later := loadReport(1, 0)
	later.Seq = 2
	p.Report(now.Add(-100*time.Millisecond), "e0", later)
	p.ApplyPeerFailures(now, one)
	g.Expect(avoided(now)).To(BeFalse(), "its load report is newer")
	many := []FailureSummary{}
	for _, e := range all[1:5] {
		many = append(many, FailureSummary{Endpoint: e.Name, Unresponsive: 3, UnresponsiveMillis: 300})
	}
	p.ApplyPeerFailures(now, many)
	g.Expect(p.Views(now, all)[1].Weight).To(Equal(1.0), "most of a group can't be unresponsive at once")
}
