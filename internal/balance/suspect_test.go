package balance

// An endpoint's process ends and restarts cold under the same name, behind a proxy that accepts
// connections and resets them. The three other endpoints accept no requests at that time, so that
// all go to the restarted one: it got 13 to 17 within a second and tolerated 12. Each router took
// its first response for one of the previous process and sent it everything.

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

// suspectFleet are the pools of routers in three failure domains for which the first endpoint is
// suspect and all others accept nothing.
func suspectFleet(routers int, all []*bundle.Endpoint) []*Pool {
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
			return endpointrate.Fleet{Known: true, OwnDomainRouters: near, Domains: domains[:min(3, routers)]}
		}}
		pools[i] = NewPool(Config{Policy: NewPromptAware(), Seed: uint64(i + 1), RateShare: share.Rate})
		pools[i].Views(epoch, all)
		limitToZero(pools[i], epoch, all[1:])
		pools[i].SetSuspect("e0", true)
	}
	return pools
}

// Together the routers send a suspect endpoint what a cold one accepts, whatever their number. It
// tolerates 24 requests within a second.
func TestRoutersTogetherLimitSuspectEndpointToColdRate(t *testing.T) {
	const perSecond = 400
	all := newEndpoints(4)
	for _, routers := range []int{1, 3, 12, 31, 103, 300, 880} {
		g := NewWithT(t)
		pools := suspectFleet(routers, all)
		rnd := rand.New(rand.NewPCG(7, uint64(routers)))
		var sent []time.Time
		for i := range 3 * perSecond {
			now := epoch.Add(time.Duration(i) * time.Second / perSecond)
			if c, err := pools[rnd.IntN(routers)].Choose(now, Request{ColdRate: coldRate}, all, nil); err == nil && c.Name == "e0" {
				sent = append(sent, now)
			}
		}
		maximum := 0
		for i := range sent {
			n := 0
			for _, at := range sent[i:] {
				if at.Sub(sent[i]) < time.Second {
					n++
				}
			}
			maximum = max(maximum, n)
		}
		t.Logf("%3d routers: %d in three seconds, at most %d in one", routers, len(sent), maximum)
		g.Expect(maximum).To(BeNumerically("<=", coldBurstLimit))
	}
}

// countSentInSecond counts the requests that find an endpoint, out of 100 sent within a second.
func countSentInSecond(p *Pool, now time.Time, candidates []*bundle.Endpoint) int {
	sent := 0
	for i := range 100 {
		if _, err := p.Choose(now.Add(time.Duration(10*i)*time.Millisecond), Request{ColdRate: testColdRate}, candidates, nil); err == nil {
			sent++
		}
	}
	return sent
}

// limitToZero has the endpoints state that they accept no requests.
func limitToZero(p *Pool, now time.Time, endpoints []*bundle.Endpoint) {
	for _, e := range endpoints {
		p.ApplyLimit(now, now, e.Name, upstream.RateLimit{Kind: upstream.LimitSet})
	}
}

func TestSuspectEndpointIsLimitedToColdRate(t *testing.T) {
	g := NewWithT(t)
	all := newEndpoints(4)
	p := NewPool(Config{Policy: NewPromptAware()})
	p.Views(epoch, all)
	limitToZero(p, epoch, all[1:])
	p.SetSuspect("e0", true)
	g.Expect(countSentInSecond(p, epoch, all)).To(BeNumerically("<=", 2*testColdRate), "its process may have just started")
	p.SetSuspect("e0", false)
	g.Expect(countSentInSecond(p, epoch.Add(time.Minute), all)).To(BeNumerically(">=", 90), "it is no longer suspect")
}

func TestRouterWithMostEndpointsSuspectDoesNotLimitThem(t *testing.T) {
	g := NewWithT(t)
	all := newEndpoints(4)
	p := NewPool(Config{Policy: NewPromptAware()})
	p.Views(epoch, all)
	for _, e := range all[1:] {
		p.SetSuspect(e.Name, true)
	}
	limitToZero(p, epoch, all[:1])
	g.Expect(countSentInSecond(p, epoch, all)).To(Equal(100))
}

func TestMajoritySuspectIsTrueAboveHalf(t *testing.T) {
	g := NewWithT(t)
	all := newEndpoints(4)
	p := NewPool(Config{Policy: NewPromptAware()})
	p.Views(epoch, all)
	for i, want := range []bool{false, false, true, true} {
		p.SetSuspect(all[i].Name, true)
		g.Expect(p.MajoritySuspect("e0")).To(Equal(want), "%d of 4", i+1)
	}
}
