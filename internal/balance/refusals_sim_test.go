package balance

// Some of six endpoints refuse requests for lack of room though they state that one of their slots is
// taken, at 24 streams a second. By their load they are idle, so that all first attempts go there:
// callers are refused as soon as no retries are left.

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/bundle"
	"coveferry/internal/load"
	"coveferry/internal/prompt"
	"coveferry/internal/retry"
)

const (
	refusingStart  = 10 * time.Second
	refusingEnd    = 22 * time.Second
	refusalsSimEnd = 32 * time.Second
	// refusalsSettled is how long after the start of the refusals the requests of endpoints are
	// counted: at 103 routers the routers of a failure domain together see one or two outcomes a
	// second of an endpoint.
	refusalsSettled = 4 * time.Second
	refusalsStreams = 24.0 // a second
	evenPerSecond   = refusalsStreams / 6
	refusalSlots    = 64
	refusalStream   = 2 * time.Second
	refusalFirst    = 50 * time.Millisecond
	// minServedDespiteRefusals is the share of callers that are to be served.
	minServedDespiteRefusals = 0.98
)

// refusingEngine is an endpoint that refuses a share of its requests.
type refusingEngine struct {
	bundle.Endpoint
	share       float64
	from, until time.Duration
	statesNone  bool // states no load
	running     int
	arrived     []time.Duration
	served      []time.Duration
}

// refusalsSim is a running simulation.
type refusalsSim struct {
	rnd           *rand.Rand
	now           time.Time
	queue         eventQueue
	pools         []*Pool
	budget        *retry.Budget // the operator's bound for the fleet
	engines       []*refusingEngine
	candidates    []*bundle.Endpoint
	silent, old   int // routers that tell nothing, and that tell nothing of such refusals
	total, served int // requests sent while endpoints refuse
	attempts      int
}

type refusalsPlay struct {
	routers, refusing int
	share             float64
	off, statesNone   bool
	silent, old       int
	seed              uint64
	times             float64 // the usual load; 0 means 1
}

func newRefusalsSim(c refusalsPlay) *refusalsSim {
	n := &refusalsSim{rnd: rand.New(rand.NewPCG(3+c.seed, uint64(c.routers))), silent: c.silent, old: c.old}
	n.budget = retry.NewBudget(retry.BudgetConfig{Ratio: 0.2, Floor: 9.4})
	demands := make([]func() Demand, c.routers)
	for i := range c.routers {
		policy := NewPromptAware()
		demands[i] = func() Demand { return policy.Demand(n.now) }
		policy.SetPeerDemand(func() PeerDemand { return PeerDemand{Demand: demandOfOthers(demands, i), Routers: c.routers - 1} })
		n.pools = append(n.pools, NewPool(Config{Policy: policy, Seed: uint64(i + 1), TrustStatedLoad: c.off}))
	}
	for i := range 6 {
		e := &refusingEngine{Endpoint: bundle.Endpoint{Name: fmt.Sprint("e", i), FailureDomain: fmt.Sprint(i % simDomains), Slots: refusalSlots}, statesNone: c.statesNone}
		if i < c.refusing {
			e.share, e.from, e.until = c.share, refusingStart, refusingEnd
		}
		n.engines, n.candidates = append(n.engines, e), append(n.candidates, &e.Endpoint)
	}
	for at := time.Duration(0); at < refusalsSimEnd; at += time.Duration(n.rnd.ExpFloat64() / refusalsStreams / cmp.Or(c.times, 1) * float64(time.Second)) {
		n.on(epoch.Add(at), n.request)
	}
	for at := time.Duration(0); at < refusalsSimEnd; at += exchangeInterval {
		n.on(epoch.Add(at), n.exchange)
	}
	return n
}

func (n *refusalsSim) run() *refusalsSim {
	for len(n.queue) > 0 {
		e := heap.Pop(&n.queue).(simEvent)
		n.now = e.at
		e.do(e.at)
	}
	return n
}

func (n *refusalsSim) on(at time.Time, do func(time.Time)) { heap.Push(&n.queue, simEvent{at, do}) }

// exchange tells each router the loads and failures of the others of its failure domain. The first
// routers are silent, the next of the previous version.
func (n *refusalsSim) exchange(now time.Time) {
	loads := make([][]LoadSummary, len(n.pools))
	failures := make([][]FailureSummary, len(n.pools))
	for i, p := range n.pools {
		if i < n.silent {
			continue
		}
		loads[i], failures[i] = p.RecentLoads(now, 2*exchangeInterval, 64, true), p.RecentFailures(now, 32)
		for j := range failures[i] {
			if i < n.silent+n.old {
				failures[i][j].Contradicted, failures[i][j].Served, failures[i][j].Distrusting = 0, 0, 0
			}
		}
	}
	for i, p := range n.pools {
		sums := make(map[string]FailureSummary)
		for j := i % simDomains; j < len(n.pools); j += simDomains {
			if j == i {
				continue
			}
			p.ApplyPeerLoads(now, loads[j])
			for _, s := range failures[j] {
				sum := sums[s.Endpoint].Add(s)
				sum.Endpoint = s.Endpoint
				sums[s.Endpoint] = sum
			}
		}
		var reports []FailureSummary
		for _, e := range n.candidates {
			if s, ok := sums[e.Name]; ok {
				reports = append(reports, s)
			}
		}
		if len(reports) > 0 {
			p.ApplyPeerFailures(now, reports)
		}
	}
}

func (n *refusalsSim) request(now time.Time) {
	router, group := n.rnd.IntN(len(n.pools)), uint64(n.rnd.IntN(12)+1)
	req := Request{Service: "llm", Stride: 5, Prompt: prompt.Prompt{Tokens: 800, ExpectedOutput: 100, Parts: []prompt.Part{{ID: group, Tokens: 600}, {ID: n.rnd.Uint64(), Tokens: 200}}}}
	n.budget.RecordFirst(now, "llm", 0)
	t := now.Sub(epoch)
	counts := refusingStart <= t && t < refusingEnd
	if counts {
		n.total++
	}
	n.try(now, router, req, nil, counts)
}

func (n *refusalsSim) try(now time.Time, router int, req Request, tried []string, counts bool) {
	p := n.pools[router]
	req.Retry = len(tried) > 0
	c, err := p.ChooseWithEstimates(now, req, n.candidates, func(e string) bool { return slices.Contains(tried, e) })
	if err != nil {
		return
	}
	n.attempts++
	account := p.Track(now, c.Endpoint.Name, Work{Service: "llm", Prompt: req.Prompt, Stride: 5})
	e := n.engines[slices.Index(n.candidates, c.Endpoint)]
	n.on(now.Add(networkDelay), func(at time.Time) {
		t := at.Sub(epoch)
		e.arrived = append(e.arrived, t)
		if e.from <= t && t < e.until && n.rnd.Float64() < e.share {
			n.on(at.Add(networkDelay), func(now time.Time) { n.refused(now, router, req, append(tried, e.Name), counts, e, account) })
			return
		}
		n.serve(at, p, e, account)
		if counts {
			n.served++
		}
	})
}

// report is what an endpoint states: one running request while it refuses.
func (e *refusingEngine) report(now time.Time, running int) *load.Report {
	if e.statesNone {
		return nil
	}
	r := &load.Report{Slots: refusalSlots, Seq: uint64(now.Sub(epoch))}
	r.Running[0] = running
	return r
}

func (n *refusalsSim) refused(now time.Time, router int, req Request, tried []string, counts bool, e *refusingEngine, account *TrackedRequest) {
	p := n.pools[router]
	r := e.report(now, 1)
	if r != nil {
		p.Report(now, e.Name, *r)
	}
	account.Release()
	account.Refused(now)
	account.ContradictedLoad(now, r, 0)
	account.Done(now, ResultRefused)
	if charge := n.budget.TryRetry(now, "llm", 0); charge != nil {
		charge.Arrived()
		n.try(now, router, req, tried, counts)
	}
}

func (n *refusalsSim) serve(at time.Time, p *Pool, e *refusingEngine, account *TrackedRequest) {
	e.running++
	n.on(at.Add(refusalFirst), func(now time.Time) {
		account.DataReceived(now)
		account.EventReceived(now)
		e.served = append(e.served, now.Sub(epoch))
		running := e.running
		if t := now.Sub(epoch); e.from <= t && t < e.until {
			running = 1
		}
		if r := e.report(now, running); r != nil {
			p.Report(now, e.Name, *r)
		}
	})
	n.on(at.Add(refusalStream), func(now time.Time) {
		e.running--
		account.Release()
		account.Done(now, ResultOK)
	})
}

func between(times []time.Duration, from, to time.Duration) int {
	count := 0
	for _, t := range times {
		if from <= t && t < to {
			count++
		}
	}
	return count
}

// perSecond returns the requests a second at each of the first endpoints, from
// refusalsSettled after they begin to refuse.
func (n *refusalsSim) perSecond(refusing int) float64 {
	settled := refusingStart + refusalsSettled
	count := 0
	for _, e := range n.engines[:refusing] {
		count += between(e.arrived, settled, refusingEnd)
	}
	return float64(count) / (refusingEnd - settled).Seconds() / float64(refusing)
}

// perSecondBack returns the requests a second at each of the first endpoints in the time in which
// they are to be back, from 2 s after each first serves a request again.
func (n *refusalsSim) perSecondBack(refusing int) float64 {
	const measured = 4 * time.Second
	count := 0
	for _, e := range n.engines[:refusing] {
		i := slices.IndexFunc(e.served, func(t time.Duration) bool { return t >= refusingEnd })
		if i >= 0 {
			count += between(e.arrived, e.served[i]+shareBackWithin, e.served[i]+shareBackWithin+measured)
		}
	}
	return float64(count) / measured.Seconds() / float64(refusing)
}

// mostPerSecond is the bound of the requests a second at an endpoint that refuses: half more than
// the share of probes, 0.4 of an even share, and half more than what it serves of an even share
// otherwise.
func (c refusalsPlay) mostPerSecond() float64 {
	return max(0.6, 1.5*(1-c.share)) * evenPerSecond
}

// refusalSeeds is how many plays are averaged: in one of them an endpoint gets some 20 requests in
// the time that is measured.
const refusalSeeds = 4

// refusalMeans are the means over refusalSeeds plays.
type refusalMeans struct{ served, perSecond, back float64 }

func playRefusals(c refusalsPlay) refusalMeans {
	var m refusalMeans
	for seed := range uint64(refusalSeeds) {
		c.seed = seed
		n := newRefusalsSim(c).run()
		m.served += float64(n.served) / float64(n.total) / refusalSeeds
		if c.refusing > 0 {
			m.perSecond += n.perSecond(c.refusing) / refusalSeeds
			m.back += n.perSecondBack(c.refusing) / refusalSeeds
		}
	}
	return m
}

func TestCallersAreServedWhileEndpointsRefuseAgainstTheirLoad(t *testing.T) {
	for _, routers := range []int{3, 27, 103} {
		for _, c := range []refusalsPlay{{refusing: 1, share: 1}, {refusing: 3, share: 1}, {refusing: 5, share: 1}, {refusing: 3, share: 0.5}} {
			c.routers = routers
			t.Run(fmt.Sprintf("%d routers, %d refuse %.1f", routers, c.refusing, c.share), func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				on := playRefusals(c)
				c.off = true
				off := playRefusals(c)
				t.Logf("served %.3f (%.3f with the part off), %.2f (%.2f) requests a second at each that refuses, %.2f once it is back", on.served, off.served, on.perSecond, off.perSecond, on.back)
				g.Expect(on.served).To(BeNumerically(">=", minServedDespiteRefusals))
				g.Expect(on.perSecond).To(BeNumerically("<=", c.mostPerSecond()))
				g.Expect(on.back).To(BeNumerically(">=", 0.75*evenPerSecond))
				// Where retries suffice, callers are served with the part off, at the cost of a retry each.
				g.Expect(off.perSecond).To(BeNumerically(">", c.mostPerSecond()), "with the part off")
				if c.refusing >= 3 && c.share == 1 {
					g.Expect(off.served).To(BeNumerically("<", minServedDespiteRefusals), "with the part off")
				}
			})
		}
	}
}

// A silent router, or one of the previous version, learns and tells nothing; what the others do must
// not depend on it, and its own callers are served.
func TestSilentAndOldPeersDoNotKeepCallersFromBeingServed(t *testing.T) {
	for _, c := range []refusalsPlay{{routers: 9, refusing: 3, share: 1, silent: 3}, {routers: 9, refusing: 3, share: 1, old: 3}} {
		g := NewWithT(t)
		m := playRefusals(c)
		t.Logf("%d silent, %d old: served %.3f, %.2f requests a second at each that refuses, %.2f once it is back", c.silent, c.old, m.served, m.perSecond, m.back)
		g.Expect(m.served).To(BeNumerically(">=", minServedDespiteRefusals))
		g.Expect(m.perSecond).To(BeNumerically("<=", c.mostPerSecond()))
		g.Expect(m.back).To(BeNumerically(">=", 0.75*evenPerSecond))
	}
}

// Endpoints that state no load are judged by what others of the service do.
func TestEndpointsWithoutLoadThatRefuseWhileOthersServeGetProbes(t *testing.T) {
	g := NewWithT(t)
	c := refusalsPlay{routers: 3, refusing: 3, share: 1, statesNone: true}
	on := playRefusals(c)
	c.off = true
	off := playRefusals(c)
	t.Logf("served %.3f (%.3f with the part off), %.2f (%.2f) requests a second at each that refuses, %.2f once it is back", on.served, off.served, on.perSecond, off.perSecond, on.back)
	g.Expect(on.served).To(BeNumerically(">=", minServedDespiteRefusals))
	g.Expect(on.perSecond).To(BeNumerically("<=", c.mostPerSecond()))
	g.Expect(off.perSecond).To(BeNumerically(">", c.mostPerSecond()), "with the part off")
	g.Expect(on.back).To(BeNumerically(">=", 0.75*evenPerSecond))
}

// An endpoint that refuses for a quarter of a second keeps its share, at a load at which it refuses
// enough requests in that time.
func TestMomentarilyFullEndpointKeepsItsShare(t *testing.T) {
	for _, routers := range []int{3, 27, 103} {
		g := NewWithT(t)
		after := func(off bool) int {
			count := 0
			for seed := range uint64(2) {
				n := newRefusalsSim(refusalsPlay{routers: routers, refusing: 1, share: 1, off: off, seed: seed, times: 5})
				n.engines[0].until = refusingStart + 250*time.Millisecond
				n.run()
				count += between(n.engines[0].arrived, refusingStart, refusingEnd)
			}
			return count
		}
		on, off := after(false), after(true)
		t.Logf("%d routers: %d requests after it was full, %d with the part off", routers, on, off)
		g.Expect(on).To(Equal(off))
	}
}

// Where all endpoints refuse, requests still try them, as without this part.
func TestRequestsAreTriedWhereAllEndpointsRefuse(t *testing.T) {
	g := NewWithT(t)
	n := newRefusalsSim(refusalsPlay{routers: 3, refusing: 6, share: 1}).run()
	arrived := 0
	for _, e := range n.engines {
		arrived += between(e.arrived, refusingStart+3*time.Second, refusingEnd)
	}
	g.Expect(float64(arrived)).To(BeNumerically(">=", 0.9*refusalsStreams*(refusingEnd-refusingStart-3*time.Second).Seconds()), "first attempts")
	m := n.perSecondBack(6)
	g.Expect(m).To(BeNumerically(">=", 0.75*evenPerSecond))
}
