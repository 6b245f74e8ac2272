package balance

// An endpoint's process ended and started again under its name, cold, behind a proxy that takes
// connections and resets them. The three others took no more requests just then, so all went to
// it: it began 13 to 17 in a second, of 12 that it bore. Each router took the first answer for
// the old process's, and sent it what it had.

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/bundle"
	"coveferry/internal/endpointrate"
	"coveferry/internal/upstream"
)

const testColdRate = 5.0

// unsureFleet is so many routers in three failure domains to which connections of one endpoint fail
// while the others take nothing.
func unsureFleet(routers int, all []*bundle.Endpoint) []*Pool {
	domains := []string{"0", "1", "2"}
	pools := make([]*Pool, routers)
	for i := range pools {
		share := endpointrate.Share{Self: fmt.Sprint("r", i), Domain: domains[i%3], Fleet: func(time.Time) endpointrate.Fleet {
			var near []string
			for j := i % 3; j < routers; j += 3 {
				if j != i {
					near = append(near, fmt.Sprint("r", j))
				}
			}
			return endpointrate.Fleet{Known: true, Near: near, Domains: domains[:min(3, routers)]}
		}}
		pools[i] = NewPool(Config{Policy: NewPromptAware(), Seed: uint64(i + 1), Part: share.Of})
		pools[i].Views(epoch, all)
		limitAll(pools[i], epoch, all[1:])
		pools[i].SetSuspect("e0", true)
	}
	return pools
}

// What all routers send such an endpoint together stays at what a cold one takes, whatever their
// number: 24 in a second are borne.
func TestRoutersTogetherSendAnEndpointThatTheyAreUnsureOfWhatAColdOneTakes(t *testing.T) {
	const perSecond = 400
	all := engines(4)
	for _, routers := range []int{1, 3, 12, 31, 103, 300, 880} {
		g := NewWithT(t)
		pools := unsureFleet(routers, all)
		rnd := rand.New(rand.NewPCG(7, uint64(routers)))
		var sent []time.Time
		for i := range 3 * perSecond {
			now := epoch.Add(time.Duration(i) * time.Second / perSecond)
			if c, err := pools[rnd.IntN(routers)].Choose(now, Request{ColdRate: coldRate}, all, nil); err == nil && c.Name == "e0" {
				sent = append(sent, now)
			}
		}
		most := 0
		for i := range sent {
			n := 0
			for _, at := range sent[i:] {
				if at.Sub(sent[i]) < time.Second {
					n++
				}
			}
			most = max(most, n)
		}
		t.Logf("%3d routers: %d in three seconds, at most %d in one", routers, len(sent), most)
		g.Expect(most).To(BeNumerically("<=", coldBears))
	}
}

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
