package balance

// A third of the endpoints turn all requests away and ask each router to back off, at the load of
// an ordinary day: what callers get, and what arrives at these endpoints.

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/bundle"
	"coveferry/internal/load"
	"coveferry/internal/prompt"
	"coveferry/internal/retry"
	"coveferry/internal/upstream"
)

const (
	turnAwayStart     = 6 * time.Second
	turnAwayEnd       = 15 * time.Second
	backoffAsked      = 3 * time.Second
	backoffSimEnd     = 24 * time.Second
	backoffSlack      = 500 * time.Millisecond // after an answer, in which requests don't count
	maxDuringBackoff  = 2                      // requests from a router
	backoffRetryRatio = 0.2
	networkDelay      = time.Millisecond
	minServed         = 0.98
	shareBackWithin   = 2 * time.Second
	exchangeInterval  = 250 * time.Millisecond
	simDomains        = 3
)

// backoffFleet is the size of a simulated fleet.
type backoffFleet struct{ routers, endpoints int }

var backoffFleets = []backoffFleet{{3, 12}, {12, 12}, {31, 57}, {103, 180}}

// sheddingEngine is an engine that may turn requests away.
type sheddingEngine struct {
	limitedEngine
	sheds bool // from turnAwayStart to turnAwayEnd
	// mostRunning is the largest number of requests at once.
	mostRunning int
	// asked has the times at which it asked each router to back off, and arrived all arrivals.
	asked, arrived map[int][]time.Time
}

func (e *sheddingEngine) turnsAway(now time.Time) bool {
	t := now.Sub(epoch)
	return e.sheds && turnAwayStart <= t && t < turnAwayEnd
}

// backoffSim is a running simulation.
type backoffSim struct {
	rnd        *rand.Rand
	now        time.Time
	queue      eventQueue
	pools      []*Pool
	budgets    []*retry.Budget
	engines    []*sheddingEngine
	candidates []*bundle.Endpoint
	// total, inTime, refused and unserved count requests by rank while endpoints turn requests
	// away: all, those on time, those refused after an endpoint turned them away, and those
	// without an endpoint.
	// late counts those that were refused since they would have waited too long, if refusesLate.
	refusesLate                            bool
	total, inTime, refused, unserved, late [3]int
	retries                                int
}

func newBackoffSim(f backoffFleet, shedding int) *backoffSim {
	n := &backoffSim{rnd: rand.New(rand.NewPCG(5, 9))}
	demands := make([]func() Demand, f.routers)
	for i := range f.routers {
		policy := NewPromptAware()
		demands[i] = func() Demand { return policy.Demand(n.now) }
		policy.SetPeerDemand(func() PeerDemand { return PeerDemand{Demand: demandOfOthers(demands, i), Routers: f.routers - 1} })
		n.pools = append(n.pools, NewPool(Config{Policy: policy, Seed: uint64(i + 1)}))
		n.budgets = append(n.budgets, retry.NewBudget(retry.BudgetConfig{Ratio: backoffRetryRatio, Floor: retry.ExplicitZero}))
	}
	for i := range f.endpoints {
		e := &sheddingEngine{asked: make(map[int][]time.Time), arrived: make(map[int][]time.Time), sheds: i < shedding}
		e.Endpoint = bundle.Endpoint{Name: fmt.Sprint("e", i), FailureDomain: fmt.Sprint(i % simDomains), Slots: 64}
		e.cached = make(map[uint64]bool)
		n.engines = append(n.engines, e)
		n.candidates = append(n.candidates, &e.Endpoint)
	}
	for rank, k := range limitSimKinds {
		perSecond := k.perSecond * float64(f.endpoints) / limitSimEndpoints
		for at := time.Duration(0); at < backoffSimEnd; at += time.Duration(n.rnd.ExpFloat64() / perSecond * float64(time.Second)) {
			n.on(epoch.Add(at), func(now time.Time) { n.request(now, rank) })
		}
	}
	for at := time.Duration(0); at < backoffSimEnd; at += exchangeInterval {
		n.on(epoch.Add(at), n.exchangeAll)
	}
	return n
}

// run plays all events.
func (n *backoffSim) run() {
	for len(n.queue) > 0 {
		e := heap.Pop(&n.queue).(simEvent)
		n.now = e.at
		e.do(e.at)
	}
}

func (n *backoffSim) on(at time.Time, do func(time.Time)) { heap.Push(&n.queue, simEvent{at, do}) }

// demandOfOthers adds up the demand of all routers but one.
func demandOfOthers(demands []func() Demand, own int) Demand {
	var all Demand
	for i, d := range demands {
		if i != own {
			all = all.Add(d())
		}
	}
	return all
}

// exchangeAll has the routers of each failure domain tell each other the loads and failures that
// they know, as their reader does.
func (n *backoffSim) exchangeAll(now time.Time) {
	for domain := range simDomains {
		n.exchangeInDomain(now, domain)
	}
}

func (n *backoffSim) exchangeInDomain(now time.Time, domain int) {
	newest := make(map[string]LoadSummary)
	failures := make(map[string]FailureSummary)
	for i := domain; i < len(n.pools); i += simDomains {
		for _, l := range n.pools[i].RecentLoads(now, 2*exchangeInterval, 64, true) {
			if old, known := newest[l.Endpoint]; !known || l.AgeMillis < old.AgeMillis {
				newest[l.Endpoint] = l
			}
		}
		for _, s := range n.pools[i].RecentFailures(now, 32) {
			sum := failures[s.Endpoint].Add(s)
			sum.Endpoint = s.Endpoint
			failures[s.Endpoint] = sum
		}
	}
	loads, sums := slices.Collect(maps.Values(newest)), slices.Collect(maps.Values(failures))
	for i := domain; i < len(n.pools); i += simDomains {
		n.pools[i].ApplyPeerLoads(now, loads)
		n.pools[i].ApplyPeerFailures(now, sums)
	}
}

// attempt is a request of one rank at a router, with the endpoints that have turned it away.
type backoffAttempt struct {
	router  int
	kind    limitSimKind
	request Request
	group   uint64
	sent    time.Time
	tried   []string
	counts  bool
}

func (n *backoffSim) request(now time.Time, rank int) {
	k := limitSimKinds[rank]
	a := &backoffAttempt{router: n.rnd.IntN(len(n.pools)), kind: k, sent: now, group: uint64(rank*1000 + n.rnd.IntN(40))}
	t := now.Sub(epoch)
	a.counts = turnAwayStart <= t && t < turnAwayEnd
	if a.counts {
		n.total[k.rank]++
	}
	a.request = Request{
		Service: "llm", Tier: k.rank, MaxGap: k.gap, Stride: 5,
		Prompt: prompt.Prompt{Tokens: k.shared + k.own, ExpectedOutput: k.events * 5, Parts: []prompt.Part{{ID: a.group, Tokens: k.shared}, {ID: n.rnd.Uint64(), Tokens: k.own}}},
	}
	n.budgets[a.router].RecordFirst(now, "llm", k.rank)
	n.try(now, a)
}

func (n *backoffSim) try(now time.Time, a *backoffAttempt) {
	p := n.pools[a.router]
	a.request.Retry = len(a.tried) > 0
	c, err := p.ChooseWithEstimates(now, a.request, n.candidates, func(e string) bool { return slices.Contains(a.tried, e) })
	if err != nil {
		n.count(a, &n.unserved)
		return
	}
	if n.refusesLate && len(a.tried) == 0 && c.Wait-c.PrefillTime > maxWait {
		n.count(a, &n.late)
		return
	}
	account := p.Track(now, c.Endpoint.Name, Work{Service: "llm", Tier: a.kind.rank, Prompt: a.request.Prompt, TightGap: c.TightGap, MaxGap: a.kind.gap, Stride: 5, Objective: a.kind.latencyObjective})
	e := n.engineOf(c.Endpoint)
	n.on(now.Add(networkDelay), func(at time.Time) { n.arrive(at, now, a, e, account) })
}

func (n *backoffSim) engineOf(e *bundle.Endpoint) *sheddingEngine {
	for i, c := range n.candidates {
		if c == e {
			return n.engines[i]
		}
	}
	panic("unknown endpoint")
}

func (n *backoffSim) count(a *backoffAttempt, counter *[3]int) {
	if a.counts {
		counter[a.kind.rank]++
	}
}

func (n *backoffSim) arrive(at, sent time.Time, a *backoffAttempt, e *sheddingEngine, account *TrackedRequest) {
	e.arrived[a.router] = append(e.arrived[a.router], at)
	if e.turnsAway(at) {
		e.asked[a.router] = append(e.asked[a.router], at)
		n.on(at.Add(networkDelay), func(now time.Time) { n.turnedAway(now, sent, a, e, account) })
		return
	}
	tokens := a.kind.own
	if !e.cached[a.group] {
		tokens += a.kind.shared
		e.cached[a.group] = true
	}
	if e.freeAt.Before(at) {
		e.freeAt = at
	}
	e.freeAt = e.freeAt.Add(time.Duration(tokens) * perToken)
	e.running++
	e.mostRunning = max(e.mostRunning, e.running)
	first := e.freeAt.Add(13 * time.Millisecond)
	n.on(first, func(now time.Time) {
		account.EventReceived(now)
		n.pools[a.router].RecordAccepted(now, sent, e.Name)
		report := load.Report{Slots: 64, Seq: uint64(now.Sub(epoch))}
		report.Running[0] = e.running
		n.pools[a.router].Report(now, e.Name, report)
		if now.Sub(a.sent) <= a.kind.latencyObjective {
			n.count(a, &n.inTime)
		}
	})
	n.on(first.Add(time.Duration(a.kind.events)*perEvent), func(now time.Time) {
		e.running--
		account.Release()
		account.Done(now, ResultOK)
	})
}

// turnedAway has a router read a 503 that asks it to back off, and try elsewhere.
func (n *backoffSim) turnedAway(now, sent time.Time, a *backoffAttempt, e *sheddingEngine, account *TrackedRequest) {
	p := n.pools[a.router]
	p.ApplySignals(now, sent, e.Name, upstream.Signals{Backoff: backoffAsked})
	account.Release()
	account.Refused(now)
	account.Done(now, ResultRefused)
	a.tried = append(a.tried, e.Name)
	charge := n.budgets[a.router].TryRetry(now, "llm", a.kind.rank)
	if charge == nil {
		n.count(a, &n.refused)
		return
	}
	charge.Arrived()
	n.retries++
	n.try(now, a)
}

// leaveAll has all routers know that the endpoints leave that would turn requests away, as the best
// that they can do.
func (n *backoffSim) leaveAll() {
	for _, e := range n.engines {
		for _, p := range n.pools {
			p.SetLeaving(e.Name, e.sheds)
		}
	}
}

// mostDuringBackoff is the largest number of requests from one router between an answer that asks
// it to back off and the end of that time.
func (e *sheddingEngine) mostDuringBackoff() int {
	most := 0
	for router, asked := range e.asked {
		for _, t := range asked {
			n := 0
			for _, at := range e.arrived[router] {
				if passed := at.Sub(t); passed > backoffSlack && passed < backoffAsked {
					n++
				}
			}
			most = max(most, n)
		}
	}
	return most
}

// arrivals counts the requests that reached the endpoints that turn requests away, between two times.
func (n *backoffSim) arrivals(from, to time.Duration) int {
	count := 0
	for _, e := range n.engines {
		if !e.sheds {
			continue
		}
		for _, times := range e.arrived {
			for _, t := range times {
				if at := t.Sub(epoch); from <= at && at < to {
					count++
				}
			}
		}
	}
	return count
}

func TestEndpointsThatAskForBackoffGetNoneAndOthersServeTheRest(t *testing.T) {
	for _, f := range backoffFleets {
		t.Run(fmt.Sprint(f.routers, " routers"), func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			n := newBackoffSim(f, f.endpoints/3)
			n.run()
			best := newBackoffSim(f, f.endpoints/3)
			best.leaveAll()
			best.run()
			most := 0
			for _, e := range n.engines {
				most = max(most, e.mostDuringBackoff())
			}
			before := float64(n.arrivals(0, turnAwayStart)) / turnAwayStart.Seconds()
			back := turnAwayEnd + backoffAsked + shareBackWithin
			after := float64(n.arrivals(back, backoffSimEnd)) / (backoffSimEnd - back).Seconds()
			t.Logf("%d routers, %d endpoints: requests %v, in time %v (%v if these endpoints leave), refused %v, without endpoint %v, retries %d; most during a backoff %d; arrivals %d, a second %.1f before and %.1f after",
				f.routers, f.endpoints, n.total, n.inTime, best.inTime, n.refused, n.unserved, n.retries, most, n.arrivals(turnAwayStart, turnAwayEnd), before, after)
			g.Expect(most).To(BeNumerically("<=", maxDuringBackoff))
			for rank := range n.total {
				served := n.total[rank] - n.refused[rank] - n.unserved[rank]
				g.Expect(float64(served)).To(BeNumerically(">=", minServed*float64(n.total[rank])), "rank %d", rank)
				g.Expect(float64(n.inTime[rank])).To(BeNumerically(">=", minServed*float64(best.inTime[rank])), "rank %d", rank)
			}
			g.Expect(after).To(BeNumerically(">=", 0.75*before), "the share is back")
		})
	}
}

// What others turn away must not make it worse for the few that are left than if the others had left.
func TestFewEndpointsThatAreLeftAreNotOverrunDuringBackoffs(t *testing.T) {
	for _, c := range []struct {
		backoffFleet
		left int
	}{{backoffFleet{3, 12}, 1}, {backoffFleet{12, 12}, 1}, {backoffFleet{12, 12}, 3}, {backoffFleet{31, 57}, 6}} {
		t.Run(fmt.Sprint(c.routers, " routers, ", c.left, " left"), func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			n, leaving := newBackoffSim(c.backoffFleet, c.endpoints-c.left), newBackoffSim(c.backoffFleet, c.endpoints-c.left)
			n.refusesLate, leaving.refusesLate = true, true
			n.run()
			leaving.leaveAll()
			leaving.run()
			most := 0
			for _, e := range n.engines {
				most = max(most, e.mostDuringBackoff())
			}
			t.Logf("%d routers, %d of %d endpoints left: requests %v, in time %v (%v if the others leave), refused %v, late %v (%v), without endpoint %v; most running %d (%d), most during a backoff %d",
				c.routers, c.left, c.endpoints, n.total, n.inTime, leaving.inTime, n.refused, n.late, leaving.late, n.unserved, n.mostRunning(), leaving.mostRunning(), most)
			g.Expect(most).To(BeNumerically("<=", maxDuringBackoff))
			g.Expect(float64(n.mostRunning())).To(BeNumerically("<=", 1.1*float64(leaving.mostRunning())))
			for rank, late := range n.late {
				g.Expect(float64(n.total[rank]-late)).To(BeNumerically(">=", 0.9*float64(n.total[rank]-leaving.late[rank])), "rank %d is admitted", rank)
			}
		})
	}
}

// mostRunning is the largest number of requests at once at an endpoint that turns none away.
func (n *backoffSim) mostRunning() int {
	most := 0
	for _, e := range n.engines {
		if !e.sheds {
			most = max(most, e.mostRunning)
		}
	}
	return most
}
