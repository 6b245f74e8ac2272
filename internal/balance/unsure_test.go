package balance

// An endpoint's process ended and started again under its name, cold, behind a proxy that takes
// connections and resets them. The three others took no more requests just then, so all went to
// it: it began 13 to 17 in a second, of 12 that it bore. Each router took the first answer for
// the old process's, and sent it what it had.

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/bundle"
	"coveferry/internal/upstream"
)

const testColdRate = 5.0

// sentIn counts the requests of a second that find an endpoint, one every 10 ms.
func sentIn(p *Pool, now time.Time, candidates []*bundle.Endpoint) int {
	sent := 0
	for i := range 100 {
		if _, err := p.Choose(now.Add(time.Duration(10*i)*time.Millisecond), Request{ColdRate: testColdRate}, candidates, nil); err == nil {
			sent++
		}
	}
	return sent
}

// limitAll has endpoints name that they take nothing.
func limitAll(p *Pool, now time.Time, endpoints []*bundle.Endpoint) {
	for _, e := range endpoints {
		p.HearLimit(now, now, e.Name, upstream.RateLimit{Statement: upstream.LimitNamed})
	}
}

func TestAnEndpointToWhichConnectionsFailGetsWhatAColdOneTakes(t *testing.T) {
	g := NewWithT(t)
	all := engines(4)
	p := NewPool(Config{Policy: NewPromptAware()})
	p.Views(epoch, all)
	limitAll(p, epoch, all[1:])
	p.SetSuspect("e0", true)
	g.Expect(sentIn(p, epoch, all)).To(BeNumerically("<=", 2*testColdRate), "it may be a process that has just started")
	p.SetSuspect("e0", false)
	g.Expect(sentIn(p, epoch.Add(time.Minute), all)).To(BeNumerically(">=", 90), "it is known again")
}

func TestARouterThatReachesHardlyAnyEndpointTriesThemAll(t *testing.T) {
	g := NewWithT(t)
	all := engines(4)
	p := NewPool(Config{Policy: NewPromptAware()})
	p.Views(epoch, all)
	for _, e := range all[1:] {
		p.SetSuspect(e.Name, true)
	}
	limitAll(p, epoch, all[:1])
	g.Expect(sentIn(p, epoch, all)).To(Equal(100))
}

func TestARouterThatWasCutOffKnowsIt(t *testing.T) {
	g := NewWithT(t)
	all := engines(4)
	p := NewPool(Config{Policy: NewPromptAware()})
	p.Views(epoch, all)
	for i, most := range []bool{false, false, true, true} {
		p.SetSuspect(all[i].Name, true)
		g.Expect(p.MostUnsure("e0")).To(Equal(most), "%d of 4", i+1)
	}
}
