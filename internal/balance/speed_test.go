package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/bundle"
	"coveferry/internal/load"
	"coveferry/internal/prompt"
)

func TestQuantileEstimateConvergesAtAnyScale(t *testing.T) {
	for _, scale := range []float64{1e-6, 1, 1e6} {
		var m quantile
		rnd := rand.New(rand.NewPCG(1, 2))
		for range 2000 {
			m.add(scale*(1+rnd.Float64()), 0.4)
		}
		NewWithT(t).Expect(m.value / scale).To(BeNumerically("~", 1.4, 0.12))
	}
}

// engine simulates an endpoint with the speeds of a shape and a delay before prefill.
type engine struct {
	engineShape
	queueDelay time.Duration
}

// simulateStream simulates a stream of a few events at an endpoint and returns when it ended.
func (e engine) simulateStream(p *Pool, at time.Time, name string, pr prompt.Prompt) time.Time {
	a := p.Track(at, name, Work{Prompt: pr, MaxGap: time.Second, Stride: e.stride})
	at = at.Add(e.queueDelay).Add(seconds(e.read * float64(pr.Tokens)))
	for range 10 {
		a.EventReceived(at)
		at = at.Add(seconds(e.token * float64(e.stride)))
	}
	a.Release()
	p.Done(at, name, ResultOK, 0)
	return at
}

func TestSpeedsAreEstimatedForAnyEngine(t *testing.T) {
	for _, s := range engineShapes {
		g := NewWithT(t)
		p := NewPool(Config{Policy: NewPromptAware()})
		all := registerGroup(p, newEndpoints(3))
		now := epoch
		for i := range 400 {
			name := all[i%3].Name
			e := engine{engineShape: s}
			if i%3 == 2 { // a slower endpoint
				e.token, e.read = 1.5*e.token, 1.5*e.read
			}
			if i%4 == 0 { // queued behind others
				e.queueDelay = time.Second
			}
			now = e.simulateStream(p, now, name, prompt.Prompt{Tokens: 4000})
		}
		views := p.Views(now, all)
		g.Expect(views[0].SecondsPerOutputToken).To(BeNumerically("~", s.token, 0.15*s.token), s.name)
		g.Expect(views[2].SecondsPerOutputToken/views[0].SecondsPerOutputToken).To(BeNumerically("~", 1.5, 0.1), s.name)
		g.Expect(views[0].SecondsPerPromptToken).To(BeNumerically("~", s.read, 0.2*s.read), s.name)
		g.Expect(views[2].SecondsPerPromptToken/views[0].SecondsPerPromptToken).To(BeNumerically("~", 1.5, 0.1), s.name)
	}
}

func TestPrefillOverheadIsEstimated(t *testing.T) {
	g := NewWithT(t)
	p := NewPool(Config{Policy: NewPromptAware()})
	all := registerGroup(p, newEndpoints(3))
	now := epoch
	fixed := 30 * time.Millisecond
	for i := range 300 {
		e := engine{engineShape: engineShapes[1], queueDelay: fixed + seconds(engineShapes[1].token)}
		tokens := 100
		if i%3 == 0 {
			tokens = 4000
		}
		now = e.simulateStream(p, now, "e0", prompt.Prompt{Tokens: tokens})
	}
	// For long prompts the overhead is spread over their tokens.
	g.Expect(p.Views(now, all)[0].PrefillOverhead).To(BeNumerically("~", fixed.Seconds(), 0.3*fixed.Seconds()))
}

// Queueing in an overload must not be mistaken for slow prefill.
func TestQueueingIsNotCountedAsPrefill(t *testing.T) {
	g := NewWithT(t)
	p := NewPool(Config{Policy: NewPromptAware()})
	all := registerGroup(p, newEndpoints(3))
	now := epoch
	run := func(n int, queueDelay time.Duration) {
		for range n {
			now = engine{engineShape: engineShapes[0], queueDelay: queueDelay}.simulateStream(p, now, "e0", prompt.Prompt{Tokens: 4000})
		}
	}
	run(60, 0)
	run(60, 2*time.Second)
	g.Expect(p.Views(now, all)[0].SecondsPerPromptToken).To(BeNumerically("<", 2*engineShapes[0].read))
	run(30, 0)
	g.Expect(p.Views(now, all)[0].SecondsPerPromptToken).To(BeNumerically("~", engineShapes[0].read, 0.2*engineShapes[0].read))
}

func TestFewSamplesGiveNoEstimate(t *testing.T) {
	g := NewWithT(t)
	p := NewPool(Config{Policy: NewPromptAware()})
	all := registerGroup(p, newEndpoints(3))
	engine{engineShape: engineShapes[4]}.simulateStream(p, epoch, "e0", prompt.Prompt{Tokens: 4000})
	v := p.Views(epoch, all)[0]
	g.Expect(v.SecondsPerOutputToken).To(BeZero())
	g.Expect(v.SecondsPerPromptToken).To(Equal(defaultSecondsPerPromptToken))
}

// Guards against an endpoint without samples of its own that is taken to be as fast as its group.
func TestSpeedsAreScaledByPace(t *testing.T) {
	g := NewWithT(t)
	s := engineShapes[1]
	p := NewPool(Config{Policy: NewPromptAware()})
	all := registerGroup(p, newEndpoints(3))
	now := epoch
	paces := []float64{0.7, 0.7, 1.7}
	for i := range 400 {
		n := i % 3
		p.Report(now, all[n].Name, load.Report{Seq: uint64(i + 1), WorkPercent: 100 * paces[n]})
		if n == 2 {
			now = now.Add(100 * time.Millisecond)
			continue // the slow endpoint gets no requests
		}
		e := engine{engineShape: s}
		e.token, e.read = paces[n]*e.token, paces[n]*e.read
		now = e.simulateStream(p, now, all[n].Name, prompt.Prompt{Tokens: 4000})
	}
	for n, v := range p.Views(now, all) {
		g.Expect(v.Pace).To(BeNumerically("~", paces[n], 1e-6))
		g.Expect(v.SecondsPerOutputToken).To(BeNumerically("~", paces[n]*s.token, 0.15*paces[n]*s.token), all[n].Name)
		g.Expect(v.SecondsPerPromptToken).To(BeNumerically("~", paces[n]*s.read, 0.2*paces[n]*s.read), all[n].Name)
	}
}

// Guards against a known output speed that becomes unknown when the prompt speed at the usual pace is
// known first, and against the other way round.
func TestEachSpeedIsKnownOnceItHasSamples(t *testing.T) {
	g := NewWithT(t)
	var e engineSpeeds
	for range 30 {
		e.recordOutputToken(0.010, 0)
		e.recordFirstToken(0.2, 4000, 2)
	}
	est := e.estimate(quantile{}, 2)
	g.Expect(est.SecondsPerOutputToken).To(BeNumerically("~", 0.010, 0.003))
	g.Expect(est.SecondsPerPromptToken).To(BeNumerically("~", 0.2/4000, 0.2*0.2/4000))
	var other engineSpeeds
	for range 30 {
		other.recordOutputToken(0.010, 2)
		other.recordFirstToken(0.2, 4000, 0)
	}
	est = other.estimate(quantile{}, 2)
	g.Expect(est.SecondsPerOutputToken).To(BeNumerically("~", 0.010, 0.003))
	g.Expect(est.SecondsPerPromptToken).To(BeNumerically("~", 0.2/4000, 0.2*0.2/4000))
}

// Guards against samples that were taken at the real pace, before it was known, and are scaled by it
// again.
func TestSamplesFromBeforeThePaceIsKnownAreNotScaledTwice(t *testing.T) {
	g := NewWithT(t)
	var e engineSpeeds
	for range 60 {
		e.recordOutputToken(0.010, 0)
		e.recordFirstToken(0.2, 4000, 0)
	}
	before := e.estimate(quantile{}, 0)
	for range 200 { // two endpoints of three are usual
		for _, pace := range []float64{0.5, 0.5, 2} {
			e.estimate(quantile{}, pace)
		}
	}
	usual, slow := e.estimate(quantile{}, 0.5), e.estimate(quantile{}, 2)
	g.Expect(usual.SecondsPerOutputToken).To(BeNumerically("~", before.SecondsPerOutputToken, 0.1*before.SecondsPerOutputToken))
	g.Expect(usual.SecondsPerPromptToken).To(BeNumerically("~", before.SecondsPerPromptToken, 0.1*before.SecondsPerPromptToken))
	g.Expect(slow.SecondsPerOutputToken).To(BeNumerically("~", 4*usual.SecondsPerOutputToken, 0.4*usual.SecondsPerOutputToken))
}

// registerGroup registers endpoints of one group with a pool.
func registerGroup(p *Pool, all []*bundle.Endpoint) []*bundle.Endpoint {
	p.Views(epoch, all)
	return all
}
