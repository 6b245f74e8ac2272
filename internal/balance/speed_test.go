package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/bundle"
	"coveferry/internal/prompt"
)

func TestAQuantileIsFollowedWhateverItsSize(t *testing.T) {
	for _, scale := range []float64{1e-6, 1, 1e6} {
		var m quantile
		rnd := rand.New(rand.NewPCG(1, 2))
		for range 2000 {
			m.add(scale*(1+rnd.Float64()), 0.4)
		}
		NewWithT(t).Expect(m.value / scale).To(BeNumerically("~", 1.4, 0.12))
	}
}

// engine is an endpoint that answers as its shape says, and waits before it reads.
type engine struct {
	shape
	waits time.Duration
}

// answer plays a stream of a few events at an endpoint and returns when it ended.
func (e engine) answer(p *Pool, at time.Time, name string, pr prompt.Prompt) time.Time {
	a := p.SentWork(at, name, Work{Prompt: pr, MaxGap: time.Second, Stride: e.stride})
	at = at.Add(e.waits).Add(seconds(e.read * float64(pr.Tokens)))
	for range 10 {
		a.Event(at)
		at = at.Add(seconds(e.token * float64(e.stride)))
	}
	a.Ended()
	p.Done(at, name, ResultOK, 0)
	return at
}

func TestSpeedsAreLearnedFromAnswersOfAnyEngine(t *testing.T) {
	for _, s := range shapes {
		g := NewWithT(t)
		p := NewPool(Config{Policy: NewPromptAware()})
		all := known(p, engines(3))
		now := epoch
		for i := range 400 {
			name := all[i%3].Name
			e := engine{shape: s}
			if i%3 == 2 { // one endpoint is slower
				e.token, e.read = 1.5*e.token, 1.5*e.read
			}
			if i%4 == 0 { // others wait before it
				e.waits = time.Second
			}
			now = e.answer(p, now, name, prompt.Prompt{Tokens: 4000})
		}
		views := p.Views(now, all)
		g.Expect(views[0].Token).To(BeNumerically("~", s.token, 0.15*s.token), s.name)
		g.Expect(views[2].Token/views[0].Token).To(BeNumerically("~", 1.5, 0.1), s.name)
		g.Expect(views[0].PerToken).To(BeNumerically("~", s.read, 0.2*s.read), s.name)
		g.Expect(views[2].PerToken/views[0].PerToken).To(BeNumerically("~", 1.5, 0.1), s.name)
	}
}

func TestWhatAPromptTakesHoweverShortIsLearned(t *testing.T) {
	g := NewWithT(t)
	p := NewPool(Config{Policy: NewPromptAware()})
	all := known(p, engines(3))
	now := epoch
	fixed := 30 * time.Millisecond
	for i := range 300 {
		e := engine{shape: shapes[1], waits: fixed + seconds(shapes[1].token)}
		tokens := 100
		if i%3 == 0 {
			tokens = 4000
		}
		now = e.answer(p, now, "e0", prompt.Prompt{Tokens: tokens})
	}
	// Long prompts have it spread over their tokens.
	g.Expect(p.Views(now, all)[0].First).To(BeNumerically("~", fixed.Seconds(), 0.3*fixed.Seconds()))
}

// An overload, in which all requests wait, isn't taken for slow reading.
func TestWaitingIsNotTakenForReading(t *testing.T) {
	g := NewWithT(t)
	p := NewPool(Config{Policy: NewPromptAware()})
	all := known(p, engines(3))
	now := epoch
	play := func(n int, waits time.Duration) {
		for range n {
			now = engine{shape: shapes[0], waits: waits}.answer(p, now, "e0", prompt.Prompt{Tokens: 4000})
		}
	}
	play(60, 0)
	play(60, 2*time.Second)
	g.Expect(p.Views(now, all)[0].PerToken).To(BeNumerically("<", 2*shapes[0].read))
	play(30, 0)
	g.Expect(p.Views(now, all)[0].PerToken).To(BeNumerically("~", shapes[0].read, 0.2*shapes[0].read))
}

func TestNothingIsTakenFromAFewAnswers(t *testing.T) {
	g := NewWithT(t)
	p := NewPool(Config{Policy: NewPromptAware()})
	all := known(p, engines(3))
	engine{shape: shapes[4]}.answer(p, epoch, "e0", prompt.Prompt{Tokens: 4000})
	v := p.Views(epoch, all)[0]
	g.Expect(v.Token).To(BeZero())
	g.Expect(v.PerToken).To(Equal(defaultSecondsPerPromptToken))
}

// known has a pool know endpoints as peers of each other.
func known(p *Pool, all []*bundle.Endpoint) []*bundle.Endpoint {
	p.Views(epoch, all)
	return all
}
