package balance

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/load"
	"coveferry/internal/upstream"
)

func ownsAll(string) bool { return true }

// poolWithIdleEndpoint returns a pool with three endpoints of which the first two have stated their
// pace until the given time. The third one gets no work.
func poolWithIdleEndpoint(percent float64, until time.Time) *Pool {
	all := newEndpoints(3)
	p := NewPool(Config{Policy: NewPromptAware()})
	p.Views(epoch, all)
	seq := uint64(0)
	for now := epoch; !now.After(until); now = now.Add(250 * time.Millisecond) {
		seq++
		for _, e := range all[:2] {
			p.Report(now, e.Name, load.Report{Seq: seq, Slots: 8, WorkPercent: percent})
		}
	}
	return p
}

// Guards against an idle endpoint that is 2.4 times slower and isn't identified as slow, since it only
// states its pace when it is asked.
func TestIdleEndpointIsIdentifiedAsSlow(t *testing.T) {
	g := NewWithT(t)
	all := newEndpoints(3)
	p := poolWithIdleEndpoint(70, epoch.Add(10*time.Second))
	asked := 0
	for ms := 0; ms < 10_000; ms += 500 {
		for _, name := range p.PaceChecks(at(ms), all, 16, ownsAll) {
			g.Expect(name).To(Equal(all[2].Name))
			asked++
			p.ReportFromCheck(at(ms+2), at(ms), name, load.Report{Slots: 8, WorkPercent: 170})
		}
	}
	views := p.Views(at(10_000), all)
	g.Expect(views[2].Pace).To(BeNumerically("~", 1.7, 1e-6))
	g.Expect(views[2].slow()).To(BeTrue())
	g.Expect(views[2].ReportedAt).NotTo(BeZero())
	g.Expect(asked).To(BeNumerically("<=", 5), "three until the pace is known, then one in 5 s")
	g.Expect(p.Paces(at(10_000))).To(HaveLen(1))
	g.Expect(p.Paces(at(10_000))[0].Slow).To(Equal(1))
}

// Guards against checks where no endpoint of the service states its pace.
// Guards against checks where no endpoint of the service states its pace.
// Guards against checks where no endpoint of the service states its pace.
func TestServicesThatStateNoPaceAreNeverAsked(t *testing.T) {
	g := NewWithT(t)
	p := poolWithIdleEndpoint(0, epoch.Add(10*time.Second))
	g.Expect(p.PaceStated(at(10_000))).To(BeFalse())
	g.Expect(p.PaceChecks(at(10_000), newEndpoints(3), 16, ownsAll)).To(BeEmpty())
}

// Guards against checks of endpoints that are owned by another router, are leaving or can't be reached,
// and against repeated checks of one that doesn't answer.
func TestPaceChecksAreBounded(t *testing.T) {
	g := NewWithT(t)
	all := newEndpoints(3)
	p := poolWithIdleEndpoint(70, epoch.Add(2*time.Second))
	g.Expect(p.PaceChecks(at(2000), all, 16, func(string) bool { return false })).To(BeEmpty())
	g.Expect(p.PaceChecks(at(2000), all, 16, ownsAll)).To(HaveLen(1))
	g.Expect(p.PaceChecks(at(6900), all, 16, ownsAll)).To(BeEmpty())
	g.Expect(p.PaceChecks(at(9000), all, 2, ownsAll)).To(HaveLen(2), "up to the limit")
	p.SetSuspect(all[0].Name, true)
	p.SetSuspect(all[1].Name, true)
	p.SetLeaving(all[2].Name, true)
	g.Expect(p.PaceChecks(at(20_000), all, 16, ownsAll)).To(BeEmpty())
}

// Guards against checks that take up the share of a rate limit, reach an endpoint in its backoff, or are
// repeated at endpoints that don't state their pace, and against states of endpoints that are gone.
func TestEndpointsWithLimitsOrWithoutPaceAreNotAsked(t *testing.T) {
	all := newEndpoints(3)
	idle := all[2]
	for _, c := range []struct {
		name    string
		prepare func(p *Pool)
	}{
		{"rate limited", func(p *Pool) {
			p.ApplySignals(at(9000), at(9000), idle.Name, upstream.Signals{RateLimit: upstream.RateLimit{Kind: upstream.LimitSet, PerSecond: 5}})
		}},
		{"backing off", func(p *Pool) { askBackoff(p, 9000, idle.Name, 5*time.Second) }},
		{"in the ramp after a backoff", func(p *Pool) { askBackoff(p, 8000, idle.Name, time.Second) }},
		{"peers were asked to back off", func(p *Pool) {
			p.ApplyPeerFailures(at(9900), []FailureSummary{{Endpoint: idle.Name, BackoffMillis: 3000, BackoffAgeMillis: 10}})
		}},
		{"draining", func(p *Pool) { p.Report(at(9000), idle.Name, load.Report{Seq: 1, Slots: 8, Leaving: true}) }},
		{"own report without a percentage", func(p *Pool) { p.Report(at(1000), idle.Name, load.Report{Seq: 1, Slots: 8}) }},
		{"gone", func(p *Pool) { p.Forget(idle.Name) }},
	} {
		g := NewWithT(t)
		p := poolWithIdleEndpoint(70, epoch.Add(10*time.Second))
		c.prepare(p)
		g.Expect(p.PaceChecks(at(10_000), all, 16, ownsAll)).To(BeEmpty(), c.name)
		_, exists := p.shard(idle.Name).states[idle.Name]
		g.Expect(exists).To(Equal(c.name != "gone"), c.name)
	}
	g := NewWithT(t)
	p := poolWithIdleEndpoint(70, epoch.Add(10*time.Second))
	g.Expect(p.PaceChecks(at(10_000), all, 16, ownsAll)).To(Equal([]string{idle.Name}))
	p.ReportFromCheck(at(10_002), at(10_000), idle.Name, load.Report{Slots: 8})
	p.Report(at(39_000), all[0].Name, load.Report{Seq: 999, Slots: 8, WorkPercent: 70})
	g.Expect(p.PaceChecks(at(39_000), all, 16, ownsAll)).NotTo(ContainElement(idle.Name), "it stated none when asked")
	g.Expect(p.PaceChecks(at(41_000), all, 16, ownsAll)).To(ContainElement(idle.Name))
}

// Guards against a pace from the answer of a process that was replaced since, or of an endpoint that is
// gone.
func TestAnswersToChecksOfEarlierProcessesAreIgnored(t *testing.T) {
	g := NewWithT(t)
	all := newEndpoints(1)
	p := NewPool(Config{Policy: NewPromptAware()})
	p.Restart(at(1000), all[0].Name)
	p.ReportFromCheck(at(1100), at(900), all[0].Name, load.Report{Slots: 8, WorkPercent: 170})
	g.Expect(p.PaceStated(at(1100))).To(BeFalse())
	p.Forget(all[0].Name)
	p.ReportFromCheck(at(1200), at(1100), all[0].Name, load.Report{Slots: 8, WorkPercent: 170})
	g.Expect(p.PaceStated(at(1200))).To(BeFalse())
}

// Guards against an answer to a check that isn't sent to peers, which depend on it, and against one that
// makes the next answer to a request look older.
func TestCheckedReportIsSentToPeersAndReplaced(t *testing.T) {
	g := NewWithT(t)
	all := newEndpoints(1)
	p := NewPool(Config{Policy: NewPromptAware()})
	p.Report(at(0), all[0].Name, load.Report{Seq: 7, Slots: 8})
	p.ReportFromCheck(at(1002), at(1000), all[0].Name, load.Report{Slots: 8, WorkPercent: 170})
	g.Expect(p.RecentLoads(at(1010), time.Second, 9, true)).To(Equal([]LoadSummary{{Endpoint: all[0].Name, WorkPercent: 170, AgeMillis: 8}}))
	report := load.Report{Seq: 8, Slots: 8, WorkPercent: 175}
	report.Running[0] = 3
	p.Report(at(1100), all[0].Name, report)
	g.Expect(p.Views(at(1100), all)[0].Load.TotalRunning()).To(Equal(3))
}

// Guards against an event for each reading after a change.
// Guards against an event for each reading after a change.
// Guards against an event for each reading after a change.
func TestChangeOfPaceIsReportedOnce(t *testing.T) {
	g := NewWithT(t)
	all := newEndpoints(1)
	var events []PaceEvent
	p := NewPool(Config{Policy: NewPromptAware(), OnPace: func(e PaceEvent) { events = append(events, e) }})
	for n := range 80 {
		percent := 70.0
		if n >= 40 {
			percent = 170
		}
		p.Report(at(n*250), all[0].Name, load.Report{Seq: uint64(n + 1), Slots: 8, WorkPercent: percent})
	}
	g.Expect(events).To(HaveLen(1))
	g.Expect(events[0].Endpoint).To(Equal(all[0].Name))
	g.Expect(events[0].Factor).To(BeNumerically("~", 1.7, 1e-6))
}
