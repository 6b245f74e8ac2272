package balance

// Some or all endpoints of a model state rate limits, at the load of an ordinary day: what the
// requests of each rank get.

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/bundle"
	"coveferry/internal/endpointrate"
	"coveferry/internal/load"
	"coveferry/internal/prompt"
	"coveferry/internal/upstream"
)

// limitSimKind is a kind of request in the simulation.
type limitSimKind struct {
	rank             int
	perSecond        float64 // at twelve endpoints
	shared           int     // prompt tokens shared with other requests
	own              int
	events           int
	gap              time.Duration
	latencyObjective time.Duration
}

var limitSimKinds = []limitSimKind{
	{rank: 2, perSecond: 36.6, shared: 6300, own: 2890, events: 10, gap: time.Second, latencyObjective: 1200 * time.Millisecond},
	{rank: 1, perSecond: 22.7, shared: 568, own: 1800, events: 5, gap: 400 * time.Millisecond, latencyObjective: 400 * time.Millisecond},
	{rank: 0, perSecond: 17.2, shared: 172, own: 543, events: 56, gap: 250 * time.Millisecond, latencyObjective: 300 * time.Millisecond},
}

const (
	limitSimEndpoints = 12
	limitSimLoad      = 1
	limitStart        = 6 * time.Second
	limitEnd          = 18 * time.Second
	limitSimDuration  = 24 * time.Second
	perToken          = time.Second / 56900 // of prefill
	perEvent          = 18 * time.Millisecond
	maxWait           = 1200 * time.Millisecond // beyond which requests are rejected
)

// limitedEngine prefills prompts one after the other and then sends events.
type limitedEngine struct {
	bundle.Endpoint
	freeAt  time.Time // when it has prefilled all its prompts
	cached  map[uint64]bool
	running int
	limit   upstream.RateLimit
	sent    []time.Time
}

// limitSim is a running simulation.
type limitSim struct {
	rnd     *rand.Rand
	queue   eventQueue
	pools   []*Pool
	engines []*limitedEngine
	// total, noEndpoint, late and inTime count requests by rank while limits are stated: all,
	// those without an available endpoint, those rejected because of the wait, and those on time.
	total, noEndpoint, late, inTime [3]int
	// sharedTokensPrefilled counts the tokens of shared prompt parts that weren't cached.
	sharedTokensPrefilled int
}

func runLimitSim(routers, limited int, perSecond float64) *limitSim {
	n := &limitSim{rnd: rand.New(rand.NewPCG(5, 9))}
	domains := []string{"0", "1", "2"}
	demands := make([]func() Demand, routers)
	var now time.Time
	for i := range routers {
		var near []string
		for j := i % 3; j < routers; j += 3 {
			near = append(near, fmt.Sprint("r", j))
		}
		share := endpointrate.Share{Self: fmt.Sprint("r", i), Domain: domains[i%3], Fleet: func(time.Time) endpointrate.Fleet {
			return endpointrate.Fleet{Known: true, OwnDomainRouters: near, Domains: domains}
		}}
		policy := NewPromptAware()
		demands[i] = func() Demand { return policy.Demand(now) }
		policy.SetPeerDemand(func() PeerDemand {
			var all Demand
			for j, d := range demands {
				if j != i {
					all = all.Add(d())
				}
			}
			return PeerDemand{Demand: all, Routers: routers - 1}
		})
		n.pools = append(n.pools, NewPool(Config{Policy: policy, Seed: uint64(i + 1), RateShare: share.Rate}))
	}
	for i := range limitSimEndpoints {
		n.engines = append(n.engines, &limitedEngine{
			Endpoint: bundle.Endpoint{Name: fmt.Sprint("e", i), FailureDomain: domains[i%3], Slots: 64},
			cached:   make(map[uint64]bool),
		})
	}
	for rank, k := range limitSimKinds {
		for at := time.Duration(0); at < limitSimDuration; at += time.Duration(n.rnd.ExpFloat64() / (limitSimLoad * k.perSecond) * float64(time.Second)) {
			n.on(epoch.Add(at), func(now time.Time) { n.request(now, rank) })
		}
	}
	n.on(epoch.Add(limitStart), func(time.Time) { n.setLimit(limited, statedLimit(perSecond)) })
	n.on(epoch.Add(limitEnd), func(time.Time) { n.setLimit(limited, noLimit) })
	for at := limitStart; at < limitSimDuration; at += 250 * time.Millisecond {
		n.on(epoch.Add(at), n.exchangeAll)
	}
	for len(n.queue) > 0 {
		h := heap.Pop(&n.queue).(simEvent)
		now = h.at
		h.do(h.at)
	}
	return n
}

func (n *limitSim) on(at time.Time, do func(time.Time)) { heap.Push(&n.queue, simEvent{at, do}) }

func (n *limitSim) setLimit(limited int, stated upstream.RateLimit) {
	for _, e := range n.engines[:limited] {
		e.limit = stated
	}
}

// exchangeAll has all routers exchange limits and load reports.
func (n *limitSim) exchangeAll(now time.Time) {
	for _, from := range n.pools {
		for _, to := range n.pools {
			exchangeLimits(now, from, to, time.Second)
			to.ApplyPeerLoads(now, from.RecentLoads(now, 500*time.Millisecond, 64, true))
		}
	}
}

func (n *limitSim) request(now time.Time, rank int) {
	k := limitSimKinds[rank]
	counts := !now.Before(epoch.Add(limitStart+3*time.Second)) && now.Before(epoch.Add(limitEnd))
	if counts {
		n.total[k.rank]++
	}
	p := n.pools[n.rnd.IntN(len(n.pools))]
	candidates := make([]*bundle.Endpoint, len(n.engines))
	for i, e := range n.engines {
		candidates[i] = &e.Endpoint
	}
	group := uint64(rank*1000 + n.rnd.IntN(40))
	own := n.rnd.Uint64()
	pr := prompt.Prompt{Tokens: k.shared + k.own, ExpectedOutput: k.events * 5, Parts: []prompt.Part{{ID: group, Tokens: k.shared}, {ID: own, Tokens: k.own}}}
	req := Request{Service: "llm", Tier: k.rank, Prompt: pr, MaxGap: k.gap, Stride: 5}
	c, err := p.ChooseWithEstimates(now, req, candidates, nil)
	switch {
	case err != nil:
		if counts {
			n.noEndpoint[k.rank]++
		}
		return
	case c.Wait-c.PrefillTime > maxWait:
		if counts {
			n.late[k.rank]++
		}
		return
	}
	n.serve(now, p, n.engineOf(c.Endpoint), k, req, group, counts, c.TightGap)
}

func (n *limitSim) engineOf(e *bundle.Endpoint) *limitedEngine {
	for _, engine := range n.engines {
		if &engine.Endpoint == e {
			return engine
		}
	}
	panic("unknown endpoint")
}

func (n *limitSim) serve(now time.Time, p *Pool, e *limitedEngine, k limitSimKind, req Request, group uint64, counts, tight bool) {
	account := p.Track(now, e.Name, Work{Service: "llm", Tier: k.rank, Prompt: req.Prompt, TightGap: tight, MaxGap: k.gap, Stride: 5, Objective: k.latencyObjective})
	e.sent = append(e.sent, now)
	tokens := k.own
	if !e.cached[group] {
		tokens += k.shared
		e.cached[group] = true
		if counts {
			n.sharedTokensPrefilled += k.shared
		}
	}
	if e.freeAt.Before(now) {
		e.freeAt = now
	}
	e.freeAt = e.freeAt.Add(time.Duration(tokens) * perToken)
	e.running++
	first := e.freeAt.Add(13 * time.Millisecond)
	n.on(first, func(at time.Time) {
		account.EventReceived(at)
		p.ApplyLimit(at, now, e.Name, e.limit)
		report := load.Report{Slots: 64, Seq: uint64(at.Sub(epoch))}
		report.Running[0] = e.running
		p.Report(at, e.Name, report)
		if counts && at.Sub(now) <= k.latencyObjective {
			n.inTime[k.rank]++
		}
	})
	n.on(first.Add(time.Duration(k.events)*perEvent), func(at time.Time) {
		e.running--
		account.Release()
		account.Done(at, ResultOK)
	})
}

// maxIn4s is the largest number of requests within four seconds, from the given time on.
func (e *limitedEngine) maxIn4s(from time.Time) int {
	maximum, first := 0, 0
	for i, t := range e.sent {
		for t.Sub(e.sent[first]) >= 4*time.Second || e.sent[first].Before(from) && first < i {
			first++
		}
		if !t.Before(from) && t.Before(epoch.Add(limitEnd)) {
			maximum = max(maximum, i-first+1)
		}
	}
	return maximum
}

// requestRate is the rate of requests to the first engines together between two times.
func (n *limitSim) requestRate(engines int, from, to time.Duration) float64 {
	sum := 0
	for _, e := range n.engines[:engines] {
		for _, t := range e.sent {
			if at := t.Sub(epoch); from <= at && at < to {
				sum++
			}
		}
	}
	return float64(sum) / (to - from).Seconds()
}

// A third of the endpoints limit requests to 1 a second, where each got about 6.
func TestUnlimitedEndpointsServeWhatLimitedOnesDoNot(t *testing.T) {
	for _, routers := range []int{3, 4, 12, 31} {
		g := NewWithT(t)
		n := runLimitSim(routers, 4, 1)
		before, during, after := n.requestRate(4, 0, limitStart), n.requestRate(4, limitStart+3*time.Second, limitEnd), n.requestRate(4, limitEnd+3*time.Second, limitSimDuration)
		t.Logf("%d routers: requests %v, in time %v; limited endpoints got %.1f a second before, %.1f during and %.1f after the limit", routers, n.total, n.inTime, before, during, after)
		for rank := range n.total {
			g.Expect(n.noEndpoint[rank]+n.late[rank]).To(BeZero(), "no request is refused")
			g.Expect(float64(n.inTime[rank])).To(BeNumerically(">=", 0.98*float64(n.total[rank])))
		}
		for _, e := range n.engines[:4] {
			g.Expect(e.maxIn4s(epoch.Add(limitStart+3*time.Second))).To(BeNumerically("<=", 11), e.Name)
		}
		g.Expect(during).To(BeNumerically(">=", 0.5*4))
		g.Expect(after).To(BeNumerically(">=", 0.5*before))
	}
}

// All endpoints together accept a third of the requests: urgent ones are served first.
func TestUrgentRequestsComeFirstIfAllEndpointsAreLimited(t *testing.T) {
	for _, routers := range []int{3, 4, 12, 31} {
		g := NewWithT(t)
		n := runLimitSim(routers, limitSimEndpoints, 2)
		var sent [3]float64
		for rank := range sent {
			sent[rank] = 1 - float64(n.noEndpoint[rank]+n.late[rank])/float64(n.total[rank])
		}
		rate := n.requestRate(limitSimEndpoints, limitStart+3*time.Second, limitEnd)
		t.Logf("%d routers: %.2f of the most urgent sent, %.2f, %.2f; %.1f a second of 24", routers, sent[0], sent[1], sent[2], rate)
		g.Expect(sent[0]).To(BeNumerically(">=", 3*sent[2]))
		g.Expect(sent[1]).To(BeNumerically(">=", sent[2]))
		if routers < 6 {
			// With more routers each has a share at few endpoints, and urgent requests may come to
			// a router whose shares are used up while others' aren't.
			g.Expect(sent[0]).To(BeNumerically(">=", 0.85))
		}
		g.Expect(rate).To(BeNumerically(">=", 0.66*24))
		for _, e := range n.engines {
			g.Expect(e.maxIn4s(epoch.Add(limitStart+3*time.Second))).To(BeNumerically("<=", 17), e.Name)
		}
	}
}
