package wait_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"coveferry/internal/balance"
	"coveferry/internal/bundle"
	"coveferry/internal/filters/attempts"
	"coveferry/internal/filters/choose"
	"coveferry/internal/filters/dispatch"
	"coveferry/internal/filters/wait"
	"coveferry/internal/load"
	"coveferry/internal/pipeline"
	"coveferry/internal/request"
	"coveferry/internal/retry"
	"coveferry/internal/route"
	"coveferry/internal/sched"
	"coveferry/internal/wire"
)

// The small plain service of the requirements.
const (
	simEndpoints = 4
	simSlots     = 6
	simQueue     = 24
	simWork      = 60 * time.Millisecond
	simObjective = 300 * time.Millisecond
	simTimeout   = 800 * time.Millisecond
	// simCapacity is the number of requests a second that all endpoints serve.
	simCapacity = simEndpoints * simSlots * float64(time.Second) / float64(simWork)
)

// simEndpoint runs up to simSlots requests at a time and queues up to simQueue.
type simEndpoint struct {
	mu              sync.Mutex
	running, queued int
	free            chan struct{} // holds a token for each free slot
	busy            time.Duration
	broken          bool // fails every request at once
}

func newSimEndpoint() *simEndpoint {
	e := &simEndpoint{free: make(chan struct{}, simSlots)}
	for range simSlots {
		e.free <- struct{}{}
	}
	return e
}

func (e *simEndpoint) report() load.Report {
	var r load.Report
	r.Slots, r.Running[0], r.Queued[0] = simSlots, e.running, e.queued
	return r
}

var errBroken = errors.New("connection reset")

// serve runs a request and returns the load at the end, or a refusal.
func (e *simEndpoint) serve(ctx context.Context, countBusy bool) (load.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.broken {
		return load.Report{}, &dispatch.NoResponseError{Sent: true, Cause: errBroken}
	}
	if e.running == simSlots && e.queued == simQueue {
		return e.report(), &dispatch.RefusedError{Refusal: wire.Refusal{Run: wire.RunNot, Reason: string(sched.ReasonQueueFull)}, LacksRoom: true}
	}
	e.queued++
	e.mu.Unlock()
	var err error
	select {
	case <-e.free:
	case <-ctx.Done():
		err = ctx.Err()
	}
	e.mu.Lock()
	e.queued--
	if err != nil {
		return e.report(), err
	}
	e.running++
	e.mu.Unlock()
	time.Sleep(simWork)
	e.mu.Lock()
	e.running--
	e.free <- struct{}{}
	if countBusy {
		e.busy += simWork
	}
	return e.report(), nil
}

// simRouter is the part of a router's filter chain that matters here.
type simRouter struct {
	pool  *balance.Pool
	chain pipeline.Next
	seq   uint64
	mu    sync.Mutex
}

// simFleet is a fleet of routers in front of the endpoints of one service.
type simFleet struct {
	table      *route.Table
	routers    []*simRouter
	endpoints  map[string]*simEndpoint
	candidates []*bundle.Endpoint
	measureAt  time.Time
	inBurst    atomic.Bool
	noRetries  bool // for tests of the filter alone
	// path is the route that callers use and callerTimeout how long they wait, including a return.
	path          string
	callerTimeout time.Duration

	// returnedWithRoom counts the callers that came back outside of bursts when hasRoom was true.
	returnedWithRoom, servedWithRoom int

	mu                          sync.Mutex
	arrivals, refusedByEndpoint int
	served, inTime, refused     int
	returned, servedAfterReturn int
	maxWaited                   time.Duration
	// heldPast counts the requests that waited until no endpoint could have served them in time.
	heldPast                 int
	attemptsInTime           int // with the time counted from the return of a caller that came back
	servedFirst, inTimeFirst int // of the first requests of callers
}

func newSimTable(engine *route.Engine) *route.Table {
	s := []route.Target{{Service: "s", Weight: 1}}
	table, err := route.NewTable(route.Config{
		Services: []route.Service{{Name: "s", Engine: engine}},
		Routes: []route.Route{
			{Name: "plain", Host: "h", Prefix: "/a/", Targets: s, Objective: simObjective, Timeout: simTimeout},
			{Name: "longer", Host: "h", Prefix: "/e/", Targets: s, Objective: simObjective, Timeout: 2 * time.Second},
			{Name: "patient", Host: "h", Prefix: "/b/", Targets: s, Timeout: time.Minute},
			{Name: "urgent", Host: "h", Prefix: "/c/", Targets: s, Timeout: time.Minute, Tier: 0},
			{Name: "low", Host: "h", Prefix: "/d/", Targets: s, Timeout: time.Minute, Tier: 3},
		},
	})
	if err != nil {
		panic(err)
	}
	return table
}

// newSimFleet returns a fleet; without waiting, requests are sent at once.
func newSimFleet(routers int, waiting bool) *simFleet {
	f := &simFleet{table: newSimTable(nil), endpoints: make(map[string]*simEndpoint), measureAt: time.Now(), path: "/a/", callerTimeout: 1500 * time.Millisecond}
	for i := range simEndpoints {
		e := &bundle.Endpoint{Name: fmt.Sprint("e", i), Slots: simSlots}
		f.endpoints[e.Name] = newSimEndpoint()
		f.candidates = append(f.candidates, e)
	}
	for i := range routers {
		f.routers = append(f.routers, f.newRouter(i, waiting))
	}
	return f
}

func (f *simFleet) newRouter(i int, waiting bool) *simRouter {
	policy := balance.NewPromptAware()
	policy.SetPeerDemand(func() balance.PeerDemand { return balance.PeerDemand{Routers: len(f.routers) - 1} })
	rt := &simRouter{pool: balance.NewPool(balance.Config{Policy: policy, Seed: uint64(i + 1)})}
	rnd := rand.New(rand.NewPCG(uint64(i), 7))
	filters := []pipeline.Filter{
		choose.New(choose.Config{Pool: rt.pool, IgnoreKeys: true, RefuseLateFactor: 1}),
		simDispatch{f, rt},
	}
	if waiting {
		filters = append([]pipeline.Filter{wait.New(wait.Config{
			Pool: rt.pool, Endpoints: func(string) []*bundle.Endpoint { return f.candidates },
			FleetSize: func() int { return len(f.routers) },
			Rand: func() float64 {
				rt.mu.Lock()
				defer rt.mu.Unlock()
				return rnd.Float64()
			},
		})}, filters...)
	}
	if f.noRetries {
		rt.chain = pipeline.Compose(filters...)
		return rt
	}
	rt.chain = pipeline.Compose(append([]pipeline.Filter{attempts.New(f.retryPolicy(i), func() float64 { return 0.5 })}, filters...)...)
	return rt
}

// retryPolicy returns the policy of a router. As in deployments, the retries of all routers are
// bounded to 0.2 of the requests and 96 in 10 s.
func (f *simFleet) retryPolicy(router int) *retry.Policy {
	const earned, unspent, window = 0.7, 0.25, 10 * time.Second
	return &retry.Policy{ChargeAll: true, Budget: retry.NewBudget(retry.BudgetConfig{
		Ratio: earned * 0.2, Window: window, Floor: earned * 96 / window.Seconds(), Burst: unspent / earned,
		Routers: func() int { return len(f.routers) }, Started: time.Now(), Seed: uint64(router + 1),
	})}
}

// simDispatch sends requests to simulated endpoints.
type simDispatch struct {
	fleet  *simFleet
	router *simRouter
}

func (simDispatch) Name() string { return "dispatch" }

func (d simDispatch) Do(ctx context.Context, r *request.Request, _ pipeline.Next) error {
	now := time.Now()
	account := d.router.pool.Track(now, r.Endpoint.Name, dispatch.WorkOf(r))
	report, err := d.fleet.endpoints[r.Endpoint.Name].serve(ctx, now.After(d.fleet.measureAt))
	account.Release()
	var refused *dispatch.RefusedError
	result := balance.ResultOK
	switch {
	case errors.As(err, &refused):
		result = balance.ResultRefused
		account.Refused(time.Now())
		d.fleet.count(func() { d.fleet.refusedByEndpoint++ })
	case ctx.Err() != nil:
		result = balance.ResultCancelled
	case err != nil:
		result = balance.ResultFailed
	}
	if report.Slots > 0 && ctx.Err() == nil {
		d.router.mu.Lock()
		d.router.seq++
		report.Seq = d.router.seq
		d.router.pool.Report(time.Now(), r.Endpoint.Name, report)
		d.router.mu.Unlock()
	}
	account.Done(time.Now(), result)
	return err
}

func (f *simFleet) count(update func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	update()
}

func (f *simFleet) request(path string, timeout time.Duration) *request.Request {
	matched := f.table.Match("h", path)
	now := time.Now()
	return &request.Request{
		Kind: wire.KindRouted, Routes: route.Snapshot{Table: f.table}, Route: matched, Service: "s", Tier: matched.Tier, Epoch: 1,
		Arrived: now, Deadline: now.Add(min(timeout, matched.Timeout)), Candidates: f.candidates, Body: make([]byte, 1000),
		RequestURI: path + fmt.Sprint(rand.Uint64()),
	}
}

// send sends a request to a router within the time that the caller has left.
func (f *simFleet) send(router int, path string, timeout time.Duration) error {
	r := f.request(path, timeout)
	ctx, cancel := context.WithDeadline(context.Background(), r.Deadline)
	defer cancel()
	err := f.routers[router%len(f.routers)].chain(ctx, r)
	f.count(func() {
		f.maxWaited = max(f.maxWaited, r.Wait.Waited)
		if r.Wait.Waited > 0 && r.Arrived.Add(r.Wait.Waited).After(r.Deadline.Add(-simWork)) {
			f.heldPast++
		}
		if err == nil && time.Since(r.Arrived) <= simObjective {
			f.attemptsInTime++
		}
	})
	return err
}

// exchange has each router take the loads of the last 500 ms from the others every 250 ms. As in a
// real fleet, the routers don't do so at the same moment.
func (f *simFleet) exchange(ctx context.Context) {
	const interval = 250 * time.Millisecond
	for i, rt := range f.routers {
		time.AfterFunc(interval*time.Duration(i)/time.Duration(len(f.routers)), func() {
			for ctx.Err() == nil {
				rt.pool.ApplyPeerLoads(time.Now(), f.recentLoads())
				select {
				case <-ctx.Done():
				case <-time.After(interval):
				}
			}
		})
	}
}

// recentLoads returns the latest load of each endpoint that any router knows.
func (f *simFleet) recentLoads() []balance.LoadSummary {
	latest := make(map[string]balance.LoadSummary)
	for _, rt := range f.routers {
		for _, l := range rt.pool.RecentLoads(time.Now(), 500*time.Millisecond, 64, true) {
			if known, ok := latest[l.Endpoint]; !ok || l.AgeMillis < known.AgeMillis {
				latest[l.Endpoint] = l
			}
		}
	}
	return slices.Collect(maps.Values(latest))
}

// use returns the share of the slots that were in use for a time that began at measureAt.
func (f *simFleet) use(duration time.Duration) float64 {
	busy := time.Duration(0)
	for _, e := range f.endpoints {
		e.mu.Lock()
		busy += e.busy
		e.mu.Unlock()
	}
	return float64(busy) / float64(simEndpoints*simSlots*duration)
}

func (f *simFleet) String() string {
	return fmt.Sprintf("%d routers: %d arrivals, endpoints refused %.4f, served %d (%d of %d at once in time), in time %d, not served %d, returned %d, of them served %d, longest wait %s, in time since the last arrival %d",
		len(f.routers), f.arrivals, float64(f.refusedByEndpoint)/float64(f.arrivals), f.served, f.inTimeFirst, f.servedFirst, f.inTime, f.refused, f.returned, f.servedAfterReturn, f.maxWaited, f.attemptsInTime)
}

// inBubble runs a test with simulated time.
func inBubble(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		test(t)
	})
}
