package balance_test

// A third of a model's endpoints stops responding at once without closing connections. Before
// routers exchanged and compared response gaps, each found out by itself, a second after it had
// sent requests there, and sent the next request there a second after the clients had cancelled: of
// 369 of the most urgent requests 25 got no response. With many routers, each of which sends few
// requests to an endpoint, hardly any found out before the outage ended.

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/balance"
	"coveferry/internal/bundle"
	"coveferry/internal/membership"
)

// simKind is a kind of request in the simulation.
type simKind struct {
	rank       int
	perSecond  float64 // at twelve endpoints
	tokens     int     // of the prompt
	eventCount int
	gap        time.Duration
}

var simKinds = []simKind{
	{rank: 2, perSecond: 36.6, tokens: 2890, eventCount: 10, gap: time.Second},
	{rank: 1, perSecond: 22.7, tokens: 1800, eventCount: 5, gap: 400 * time.Millisecond},
	{rank: 0, perSecond: 17.2, tokens: 543, eventCount: 56, gap: 250 * time.Millisecond},
}

const (
	silenceStart       = 5 * time.Second
	silenceEnd         = 9 * time.Second
	simDuration        = 12 * time.Second
	eventInterval      = 18 * time.Millisecond
	prefillPerToken    = time.Second / 56900
	clientTimeout      = 2 * time.Second // without an event
	peerReportInterval = 250 * time.Millisecond
)

var simEpoch = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

// simEvent is a scheduled event of the simulation.
type simEvent struct {
	at  time.Time
	seq int
	do  func(now time.Time)
}

type simQueue []simEvent

func (h simQueue) Len() int { return len(h) }
func (h simQueue) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].seq < h[j].seq
	}
	return h[i].at.Before(h[j].at)
}
func (h simQueue) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *simQueue) Push(x any)   { *h = append(*h, x.(simEvent)) }
func (h *simQueue) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// simEngine prefills prompts one after the other and responds to nothing while it is silent. Silent
// is an engine's true state, unresponsive what routers find.
type simEngine struct {
	bundle.Endpoint
	silent   bool
	slowdown float64 // factor on its times; 0 is 1
	freeAt   time.Time
	load     int
	urgent   int // requests of the highest rank
}

// simRouter is the state of a router.
type simRouter struct {
	domain int
	pool   *balance.Pool
	core   *membership.Core
	// pausedUntil is the end of a pause in which the router receives, checks and sends nothing.
	pausedUntil time.Time
}

// simRequest is the outcome of a request.
type simRequest struct {
	at          time.Time
	rank        int
	gotResponse bool // or a part of it
}

// silenceSim is a running simulation.
type silenceSim struct {
	silenceScenario
	rnd     *rand.Rand
	now     time.Time
	seq     int
	queue   simQueue
	routers []*simRouter
	engines []*simEngine
	// sentToSilent are the times of requests sent to a silent engine.
	sentToSilent []time.Time
	// demand is that of the first router; the others' is assumed to be the same.
	demand balance.Demand
	// total and completed count, by rank, the requests sent while engines are silent.
	total, completed [3]int
	requests         []*simRequest
	// falselySuspected counts how often an engine that wasn't silent was found unresponsive.
	falselySuspected int
}

// fleetSize is the number of routers and endpoints.
type fleetSize struct{ routers, endpoints int }

// silenceScenario configures a simulation.
type silenceScenario struct {
	fleetSize
	loadFactor    float64 // relative to an ordinary day
	noLoadReports bool    // from endpoints
	first         int     // failure domain, or third of each domain, that stops responding
	injectFault   func(d *silenceSim)
}

func simulateSilence(s fleetSize, injectFault func(d *silenceSim)) *silenceSim {
	return silenceScenario{fleetSize: s, loadFactor: 1, injectFault: injectFault}.run()
}

func (s silenceScenario) run() *silenceSim {
	d := &silenceSim{silenceScenario: s, rnd: rand.New(rand.NewPCG(3, 9)), now: simEpoch}
	for i := range s.endpoints {
		d.engines = append(d.engines, &simEngine{Endpoint: bundle.Endpoint{
			Name: fmt.Sprint("e", i), VM: fmt.Sprint("e", i), Address: fmt.Sprint("e", i), FailureDomain: fmt.Sprint(i % 3), Services: []string{"llm"}, Slots: 64,
		}})
	}
	for i := range s.routers {
		r := &simRouter{domain: i % 3}
		policy := d.startRouter(r, i)
		if i == 0 {
			d.every(time.Second, peerReportInterval, func(now time.Time) { d.demand = policy.Demand(now) })
		}
		d.routers = append(d.routers, r)
		d.every(100*time.Millisecond+time.Duration(i)*time.Millisecond, balance.UnresponsiveCheckInterval, func(now time.Time) { d.checkUnresponsive(now, r) })
		d.every(130*time.Millisecond+time.Duration(i)*time.Millisecond, 250*time.Millisecond, func(now time.Time) { d.probe(now, r) })
	}
	for i, k := range simKinds {
		rate := s.loadFactor * k.perSecond * float64(s.endpoints) / 12
		for at := time.Duration(0); at < simDuration; at += time.Duration(d.rnd.ExpFloat64() / rate * float64(time.Second)) {
			d.on(simEpoch.Add(at), func(now time.Time) { d.request(now, i) })
		}
	}
	d.every(time.Second, peerReportInterval, d.exchangeReports)
	d.on(simEpoch.Add(silenceStart), func(time.Time) { s.injectFault(d) })
	d.on(simEpoch.Add(silenceEnd), func(time.Time) {
		for _, e := range d.engines {
			e.silent, e.slowdown = false, 0
		}
	})
	for len(d.queue) > 0 {
		step := heap.Pop(&d.queue).(simEvent)
		d.now = step.at
		step.do(step.at)
	}
	return d
}

// startRouter starts the i-th router without any state.
func (d *silenceSim) startRouter(r *simRouter, i int) balance.PromptAware {
	policy := balance.NewPromptAware()
	policy.SetPeerDemand(func() balance.PeerDemand {
		return balance.PeerDemand{Demand: d.demand.Scale(float64(d.fleetSize.routers - 1)), Routers: d.fleetSize.routers - 1}
	})
	r.pool = balance.NewPool(balance.Config{Policy: policy, Seed: uint64(i + 1)})
	r.core = membership.NewCore(membership.Tuning{Seed: uint64(i)})
	var places []membership.EndpointSpec
	for _, e := range d.engines {
		places = append(places, membership.EndpointSpec{Endpoint: e.Name, VM: e.VM, Address: e.Address})
	}
	r.core.Apply(d.now, membership.BundleApplied{Endpoints: places})
	return policy
}

// silenceThird has every third engine stop responding.
func silenceThird(d *silenceSim) {
	for i, e := range d.engines {
		e.silent = i%3 == 0
	}
}

func (d *silenceSim) on(at time.Time, do func(time.Time)) {
	d.seq++
	heap.Push(&d.queue, simEvent{at, d.seq, do})
}

func (d *silenceSim) every(first, gap time.Duration, do func(time.Time)) {
	for at := first; at < simDuration; at += gap {
		d.on(simEpoch.Add(at), do)
	}
}

func (d *silenceSim) engine(name string) *simEngine {
	for _, e := range d.engines {
		if e.Name == name {
			return e
		}
	}
	panic("unknown engine " + name)
}

// apply passes the changes found by a router's membership to its pool.
func (d *silenceSim) apply(r *simRouter, changes []membership.Change) {
	for _, c := range changes {
		r.pool.SetSuspect(c.Endpoint, c.To == membership.Suspect)
		if c.To == membership.Suspect && !d.engine(c.Endpoint).silent {
			d.falselySuspected++
		}
	}
}

func (d *silenceSim) checkUnresponsive(now time.Time, r *simRouter) {
	if now.Before(r.pausedUntil) {
		return
	}
	for _, name := range r.pool.CheckUnresponsive(now, balance.UnresponsiveTimeout) {
		d.apply(r, r.core.Apply(now, membership.Unresponsive{Endpoint: name}))
	}
	d.apply(r, r.core.Tick(now))
}

func (d *silenceSim) probe(now time.Time, r *simRouter) {
	if now.Before(r.pausedUntil) {
		return
	}
	for _, name := range r.core.Probes(now) {
		if !d.engine(name).silent {
			d.apply(r, r.core.Apply(now, membership.AgentStatus{Endpoint: name, Incarnation: "a", Via: membership.ReasonCheck}))
		}
	}
}

// exchangeReports has the routers of a failure domain exchange reports through the router that
// polls for their failure domain.
func (d *silenceSim) exchangeReports(now time.Time) {
	for domain := range 3 {
		total := make(map[string]balance.FailureSummary)
		var routers []*simRouter
		own := make(map[*simRouter]map[string]balance.FailureSummary)
		for _, r := range d.routers {
			if r.domain != domain || now.Before(r.pausedUntil) {
				continue
			}
			routers = append(routers, r)
			own[r] = make(map[string]balance.FailureSummary)
			for _, w := range r.pool.RecentFailures(now, 32) {
				own[r][w.Endpoint] = w
				sum := total[w.Endpoint].Add(w)
				sum.Endpoint = w.Endpoint
				total[w.Endpoint] = sum
			}
		}
		newest := make(map[string]balance.LoadSummary)
		for _, r := range routers {
			for _, w := range r.pool.RecentLoads(now, 500*time.Millisecond, 64, true) {
				if old, known := newest[w.Endpoint]; !known || w.AgeMillis < old.AgeMillis {
					newest[w.Endpoint] = w
				}
			}
		}
		var loads []balance.LoadSummary
		for _, w := range newest {
			loads = append(loads, w)
		}
		for _, r := range routers {
			r.pool.ApplyPeerLoads(now, loads)
			var others []balance.FailureSummary
			for name, w := range total {
				o := own[r][name]
				w.Attempts, w.Failed, w.Reporters, w.Unresponsive = w.Attempts-o.Attempts, w.Failed-o.Failed, w.Reporters-o.Reporters, w.Unresponsive-o.Unresponsive
				others = append(others, w)
			}
			r.pool.ApplyPeerFailures(now, others)
		}
	}
}

func TestUnresponsiveEndpointsAreAvoidedSoon(t *testing.T) {
	g := NewWithT(t)
	var late []string
	for _, c := range []struct {
		fleetSize
		last time.Duration // request to a silent endpoint, after the outage began
	}{{fleetSize{3, 9}, time.Second}, {fleetSize{12, 24}, time.Second}, {fleetSize{31, 56}, 1200 * time.Millisecond}, {fleetSize{103, 180}, 1500 * time.Millisecond}} {
		d := simulateSilence(c.fleetSize, silenceThird)
		last := time.Duration(0)
		for _, at := range d.sentToSilent {
			last = max(last, at.Sub(simEpoch.Add(silenceStart)))
		}
		served := func(rank int) float64 { return float64(d.completed[rank]) / float64(d.total[rank]) }
		t.Logf("%3d routers: %4d of %d sent to silent endpoints, the last after %s; completed %.3f %.3f %.3f by rank; %d others suspected",
			c.routers, len(d.sentToSilent), d.total[0]+d.total[1]+d.total[2], last.Round(time.Millisecond), served(0), served(1), served(2), d.falselySuspected)
		if last > c.last {
			late = append(late, fmt.Sprint(c.routers, " routers: ", last))
		}
	}
	g.Expect(late).To(BeEmpty())
}

// At most two thirds of the requests that were sent to silent endpoints before routers compared
// response gaps: 13, 91 and 367 with 3, 12 and 31 routers.
func TestFewRequestsGoToUnresponsiveEndpoints(t *testing.T) {
	g := NewWithT(t)
	for _, c := range []struct {
		fleetSize
		before int
	}{{fleetSize{3, 9}, 13}, {fleetSize{12, 24}, 91}, {fleetSize{31, 56}, 367}} {
		d := simulateSilence(c.fleetSize, silenceThird)
		t.Logf("%d routers: %d of %d, %d before; %d others suspected", c.routers, len(d.sentToSilent), d.total[0]+d.total[1]+d.total[2], c.before, d.falselySuspected)
		g.Expect(3 * len(d.sentToSilent)).To(BeNumerically("<=", 2*c.before))
		g.Expect(d.falselySuspected).To(BeNumerically("<=", c.routers), "of the endpoints that respond")
	}
}

// Endpoints that take four times as long as the others still respond. Less than a tenth of the
// pairs of router and slow endpoint may lead to a finding within four seconds.
func TestSlowEndpointsAreNotUnresponsive(t *testing.T) {
	g := NewWithT(t)
	for _, s := range []fleetSize{{3, 9}, {31, 56}} {
		d := simulateSilence(s, func(d *silenceSim) {
			for i, e := range d.engines {
				if i%3 == 0 {
					e.slowdown = 4
				}
			}
		})
		slow := s.routers * (s.endpoints + 2) / 3
		t.Logf("%d routers: of %d slow endpoints %d found unresponsive", s.routers, slow, d.falselySuspected)
		g.Expect(10 * d.falselySuspected).To(BeNumerically("<", slow))
	}
}
