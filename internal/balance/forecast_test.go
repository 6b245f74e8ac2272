package balance

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/load"
	"coveferry/internal/prompt"
)

// playChoices plays a fixed sequence of requests, reports and ends, and returns a hash of all
// choices and expected waits.
func playChoices(policy Policy) uint64 {
	p := NewPool(Config{Policy: policy, Seed: 7})
	all := newEndpoints(12)
	rnd := rand.New(rand.NewPCG(3, 4))
	hash := fnv.New64a()
	var open []*TrackedRequest
	for i := range 5000 {
		now := epoch.Add(time.Duration(i) * 7 * time.Millisecond)
		req := longRequest(uint64(10 + rnd.IntN(50)))
		req.Tier, req.Objective = 2, 2*time.Second
		if rnd.IntN(2) == 0 {
			req = tightGapRequest(uint64(100 + rnd.IntN(20)))
			req.Objective = 400 * time.Millisecond
		}
		c, err := p.ChooseWithEstimates(now, req, all, nil)
		if err != nil {
			panic(err)
		}
		fmt.Fprintln(hash, c.Endpoint.Name, c.Wait, c.PrefillTime, c.TightGap, c.DedicatedEndpoints)
		open = append(open, p.Track(now, c.Endpoint.Name, Work{Tier: req.Tier, Prompt: req.Prompt, TightGap: c.TightGap, MaxGap: req.MaxGap, Stride: req.Stride}))
		if rnd.IntN(3) == 0 {
			report := load.Report{Seq: uint64(i + 1), Slots: 64}
			report.Running[0], report.Queued[0] = rnd.IntN(60), rnd.IntN(9)
			p.Report(now, all[rnd.IntN(len(all))].Name, report)
		}
		if len(open) > 40 {
			n := rnd.IntN(len(open))
			open[n].DataReceived(now)
			open[n].EventReceived(now)
			open[n].Release()
			open[n].Done(now, ResultOK)
			open = append(open[:n], open[n+1:]...)
		}
	}
	return hash.Sum64()
}

// choicesWithoutForecasts is the hash of the same sequence on the code before forecasts (2bceffa).
const choicesWithoutForecasts = 6668672967585503797

// pacedEndpoints is PromptAware for endpoints of which the given number state their pace.
type pacedEndpoints struct {
	PromptAware
	stated int
}

// Choose implements Policy.
func (p pacedEndpoints) Choose(now time.Time, req Request, views []View, rnd *rand.Rand) (int, bool) {
	for i := range views[:min(p.stated, len(views))] {
		views[i].Pace = 1
	}
	return p.PromptAware.Choose(now, req, views, rnd)
}

// Services whose endpoints don't state their pace must be served as before, also if a few do.
func TestChoicesWithoutStatedPaceAreUnchanged(t *testing.T) {
	g := NewWithT(t)
	g.Expect(playChoices(NewPromptAware())).To(Equal(uint64(choicesWithoutForecasts)))
	g.Expect(playChoices(pacedEndpoints{NewPromptAware(), 1})).To(Equal(uint64(choicesWithoutForecasts)))
	g.Expect(playChoices(pacedEndpoints{NewPromptAware(), 12})).NotTo(Equal(uint64(choicesWithoutForecasts)), "the sequence has no forecasts to compare with")
}

// forecastRequest has no shared parts, so that no endpoint is preferred.
func forecastRequest() Request {
	return Request{Tier: 2, Objective: 2 * time.Second, Prompt: prompt.Prompt{Tokens: 9000, ExpectedOutput: 50}, MaxGap: time.Second, Stride: 6}
}

func reportQueued(p *Pool, now time.Time, endpoint string, queued int) {
	report := load.Report{Seq: uint64(now.Sub(epoch)) + 1, Slots: 64}
	report.Queued[0] = queued
	p.Report(now, endpoint, report)
}

// All routers learn at once that one endpoint is idle while all others are backlogged. If all chose
// it, it would be the next one with a backlog.
func TestRoutersThatSeeOneIdleEndpointDoNotAllChooseIt(t *testing.T) {
	g := NewWithT(t)
	all := newEndpoints(24)
	const routers = 103
	chosen := 0
	for r := range routers {
		policy := NewPromptAware()
		policy.SetPeerDemand(func() PeerDemand {
			return PeerDemand{Demand: Demand{{GapMillis: 1000, Requests: 300, RecentRequests: 150, PrefillSeconds: 60, SlotSeconds: 600, TierSum: 600}}, Routers: routers - 1}
		})
		p := NewPool(Config{Policy: pacedEndpoints{policy, len(all)}, Seed: uint64(r + 1)})
		for i, e := range all {
			reportQueued(p, epoch, e.Name, 5*min(i, 1))
		}
		c, err := p.ChooseWithEstimates(epoch, forecastRequest(), all, nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(c.Forecast).To(BeTrue())
		if c.Endpoint == all[0] {
			chosen++
		}
	}
	g.Expect(chosen).To(BeNumerically("<=", routers/5))
	g.Expect(chosen).To(BeNumerically(">", 0))
}

// A report of the process that was replaced says nothing about the new one, and requests whose
// attempts were cancelled are no backlog.
func TestNewProcessAndCancelledAttemptsLeaveNoBacklog(t *testing.T) {
	g := NewWithT(t)
	all := newEndpoints(4)
	p := NewPool(Config{Policy: pacedEndpoints{NewPromptAware(), len(all)}})
	wait := func() time.Duration {
		c, err := p.ChooseWithEstimates(epoch, forecastRequest(), all, func(name string) bool { return name != "e0" && name != "e1" })
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(c.Forecast).To(BeTrue())
		return c.Wait - c.PrefillTime
	}
	for _, e := range all {
		reportQueued(p, epoch, e.Name, 20)
	}
	g.Expect(wait()).To(BeNumerically(">", time.Second))
	p.Restart(epoch, "e0")
	g.Expect(wait()).To(BeZero())
	sent := p.Track(epoch, "e0", Work{Tier: 2, Prompt: prompt.Prompt{Tokens: 100_000}})
	g.Expect(wait()).To(BeNumerically(">", time.Second))
	sent.Release()
	sent.Done(epoch, ResultCancelled)
	g.Expect(wait()).To(BeZero())
}

// Endpoints that have stopped reporting for a while must not count as backlogged for ever.
func TestOldReportsAreNoBacklog(t *testing.T) {
	g := NewWithT(t)
	all := newEndpoints(4)
	p := NewPool(Config{Policy: pacedEndpoints{NewPromptAware(), len(all)}})
	for _, e := range all {
		reportQueued(p, epoch, e.Name, 20)
	}
	c, err := p.ChooseWithEstimates(epoch.Add(20*time.Second), forecastRequest(), all, nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.Wait - c.PrefillTime).To(BeZero())
}

// A stream that can't end before its deadline at an endpoint is sent elsewhere, even if its prompt
// has to be prefilled again there.
func TestStreamThatWouldEndTooLateIsSentElsewhere(t *testing.T) {
	g := NewWithT(t)
	all := newEndpoints(6)
	p := NewPool(Config{Policy: pacedEndpoints{NewPromptAware(), len(all)}})
	req := longRequest(10)
	req.Tier, req.Objective = 2, time.Minute
	for _, e := range all {
		reportQueued(p, epoch, e.Name, 0)
	}
	preferred, err := p.ChooseWithEstimates(epoch, req, all, nil)
	g.Expect(err).NotTo(HaveOccurred())
	reportQueued(p, epoch.Add(time.Millisecond), preferred.Endpoint.Name, 30)
	req.TimeLeft = time.Minute
	patient, err := p.ChooseWithEstimates(epoch.Add(time.Millisecond), req, all, nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(patient.Endpoint.Name).To(Equal(preferred.Endpoint.Name))
	req.TimeLeft = 3 * time.Second
	hurried, err := p.ChooseWithEstimates(epoch.Add(time.Millisecond), req, all, nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(hurried.Endpoint.Name).NotTo(Equal(preferred.Endpoint.Name))
}
