package balance

import (
	"encoding/json"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/prompt"
	"coveferry/internal/upstream"
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

// Guards against a new process that gets only probes for what the previous one refused.
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
			g.Expect(p.Refusals(now).Endpoints).To(Equal(1))
			end(p, now)
			g.Expect(p.Refusals(now).Endpoints).To(BeZero())
			r := loadReport(1, 0)
			r.Slots = 64
			old.ContradictedLoad(now, &r, 0)
			g.Expect(p.RecentFailures(now, 32)).To(BeEmpty())
			if name == "restart" {
				p.ApplyPeerFailures(now, []FailureSummary{{Endpoint: "e0", Contradicted: 20, Distrusting: 5}})
				g.Expect(p.Refusals(now).Endpoints).To(BeZero(), "peers' reports about the old process")
			}
		})
	}
}

// Guards against a log line for each refusal instead of each change.
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

// Guards against choices that change where no refusal contradicts a load.
func TestChoicesWithoutContradictionsAreTheSame(t *testing.T) {
	g := NewWithT(t)
	for _, routers := range []int{3, 27} {
		on := newRefusalsSim(refusalsCase{routers: routers}).run()
		off := newRefusalsSim(refusalsCase{routers: routers, off: true}).run()
		for i := range on.engines {
			g.Expect(on.engines[i].arrived).To(Equal(off.engines[i].arrived))
		}
	}
}

// Guards against an endpoint losing its share that is full, for however long, and states so.
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
	g.Expect(p.Refusals(epoch.Add(3 * time.Second))).To(Equal(RefusalTotals{}))
}

// Guards against distrust for refusals of a cold or leaving endpoint or one in the ramp after a
// backoff, also if only a health check said so.
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
		g.Expect(p.Refusals(epoch.Add(2*time.Second))).To(Equal(RefusalTotals{}), name)
	}
}

// Guards against reports to peers that exceed the bound of control traffic: each has up to 32 endpoints.
func TestReportOfRefusalsIsSmall(t *testing.T) {
	g := NewWithT(t)
	size := func(s FailureSummary) int {
		b, err := json.Marshal(s)
		g.Expect(err).NotTo(HaveOccurred())
		return len(b)
	}
	with := size(FailureSummary{Endpoint: "i-model-004", Contradicted: 12, Served: 3, Contradicting: 1, Distrusting: 1})
	without := size(FailureSummary{Endpoint: "i-model-004"})
	t.Logf("%d bytes, %d more than without", with, with-without)
	g.Expect(with).To(BeNumerically("<=", 80))
}

// limitedPool returns a pool in which e0 of the given endpoints is distrusted and limits all routers
// to ten requests a second, and the time after that.
func limitedPool(endpoints int, onRefusals func(RefusalEvent)) (*Pool, time.Time) {
	p := NewPool(Config{Policy: NewPromptAware(), OnRefusals: onRefusals})
	p.Views(epoch, newEndpoints(endpoints))
	now := contradict(p, "e0", epoch)
	p.ApplyLimit(now, now, "e0", upstream.RateLimit{Kind: upstream.LimitSet, PerSecond: 10})
	return p, now
}

// Guards against an endpoint with a rate limit that never gets a probe while it is distrusted.
func TestDistrustedEndpointWithRateLimitGetsProbesWithinItsLimit(t *testing.T) {
	g := NewWithT(t)
	p, now := limitedPool(2, nil)
	probes := 0
	sent := p.Limits().Sent
	for range 500 { // 100 a second
		now = now.Add(10 * time.Millisecond)
		e, err := p.Choose(now, Request{Service: "llm"}, newEndpoints(2), nil)
		g.Expect(err).NotTo(HaveOccurred())
		if e.Name == "e0" {
			probes++
			r := loadReport(1, 0)
			a := p.Track(now, "e0", Work{Service: "llm"})
			a.Release()
			a.ContradictedLoad(now, &r, 0)
			a.Done(now, ResultRefused)
		}
	}
	g.Expect(probes).To(BeNumerically(">=", 2))
	g.Expect(probes).To(BeNumerically("<=", 10), "about one a second")
	g.Expect(p.Limits().Sent-sent).To(BeEquivalentTo(probes), "probes count against the limit")
}

// Guards against distrust that lasts for as long as an endpoint gets no request, because it has used
// up its rate limit or because all requests are retries.
func TestDistrustOfEndpointWithoutRequestsEnds(t *testing.T) {
	for name, req := range map[string]Request{"at its rate limit": {Service: "llm"}, "retries only": {Service: "llm", Retry: true}} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var events []RefusalEvent
			p, now := limitedPool(2, func(e RefusalEvent) { events = append(events, e) })
			for range 110 {
				now = now.Add(100 * time.Millisecond)
				for range 3 { // uses up the limit
					p.Take(now, newEndpoints(1)[0], req)
				}
				_, err := p.Choose(now, req, newEndpoints(2), nil)
				g.Expect(err).NotTo(HaveOccurred())
			}
			g.Expect(events).To(Equal([]RefusalEvent{{"e0", true}, {"e0", false}}))
		})
	}
}

// Guards against a lock for each request after one ordinary refusal, or after all evidence is
// forgotten.
func TestServedRequestsAreCountedOnlyWhileThereIsEvidence(t *testing.T) {
	refuse := func(p *Pool, now time.Time) {
		a := p.Track(now, "e0", Work{})
		a.ContradictedLoad(now, nil, 0) // states no load
		r := loadReport(1, 0)
		if stateOf(p, "e0").leaving {
			a.ContradictedLoad(now, &r, 0)
		}
		a.Done(now, ResultRefused)
	}
	counted := func(p *Pool, now time.Time) bool {
		a := p.Track(now, "e1", Work{})
		a.Release()
		a.Done(now, ResultOK)
		return a.servedRecorded
	}
	for name, prepare := range map[string]func(*Pool){
		"leaving":         func(p *Pool) { p.SetLeaving("e0", true) },
		"stated its load": func(p *Pool) { p.Report(epoch, "e0", loadReport(1, 0)) },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			p := NewPool(Config{Policy: NewPromptAware()})
			viewOf(p, epoch, 1)
			prepare(p)
			refuse(p, epoch)
			g.Expect(counted(p, epoch)).To(BeFalse())
		})
	}
	t.Run("forgotten", func(t *testing.T) {
		g := NewWithT(t)
		p := NewPool(Config{Policy: NewPromptAware()})
		viewOf(p, epoch, 1)
		now := contradict(p, "e0", epoch)
		g.Expect(counted(p, now.Add(9*time.Second))).To(BeTrue())
		g.Expect(counted(p, now.Add(16*time.Second))).To(BeFalse())
	})
}

// Guards against an endpoint that counts as distrusted for ever because it gets no requests.
func TestEndpointWithoutRequestsIsNotCountedAsDistrustedForEver(t *testing.T) {
	g := NewWithT(t)
	var events []RefusalEvent
	p := NewPool(Config{Policy: NewPromptAware(), OnRefusals: func(e RefusalEvent) { events = append(events, e) }})
	now := contradict(p, "e0", epoch)
	g.Expect(p.Refusals(now).Endpoints).To(Equal(1))
	g.Expect(p.Refusals(now.Add(11 * time.Second)).Endpoints).To(BeZero())
	g.Expect(events).To(Equal([]RefusalEvent{{"e0", true}, {"e0", false}}))
}

// Guards against a probe that is refused as late because its wait is estimated from the other, full
// endpoints only.
func TestProbeIsNotExpectedToWaitForOtherEndpoints(t *testing.T) {
	g := NewWithT(t)
	p := NewPool(Config{Policy: NewPromptAware()})
	req := Request{Service: "llm", Stride: 5, Objective: 300 * time.Millisecond, Prompt: prompt.Prompt{Tokens: 100, ExpectedOutput: 50}}
	p.Views(epoch, newEndpoints(2))
	now := contradict(p, "e0", epoch)
	p.Report(now, "e0", loadReport(1, 0))
	probes := 0
	for range 500 {
		p.Track(now, "e1", Work{Service: "llm", Prompt: req.Prompt, Stride: 5})
		now = now.Add(10 * time.Millisecond)
		p.Report(now, "e1", loadReport(64, 50))
		c, err := p.ChooseWithEstimates(now, req, newEndpoints(2), nil)
		g.Expect(err).NotTo(HaveOccurred())
		if c.Endpoint.Name == "e0" {
			probes++
			g.Expect(c.Wait - c.PrefillTime).To(BeNumerically("<=", req.Objective))
			break
		}
	}
	g.Expect(probes).To(Equal(1))
}

// stateOf returns the pool's state of an endpoint.
func stateOf(p *Pool, endpoint string) *state { return p.shard(endpoint).states[endpoint] }
