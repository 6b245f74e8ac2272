package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Options configures a run.
type Options struct {
	Seed     uint64
	Duration time.Duration
	// Daemon and Tool are the paths of the programs. Dir is a folder that gets one
	// subfolder per seed for settings and logs.
	Daemon, Tool, Dir string
	Routers           int
	Endpoints         int // per service
	Callers           int // per router
	Wire              Wire
	// Progress receives a line for each fault.
	Progress io.Writer
}

// Result is the result of a run.
type Result struct {
	Seed      uint64  `json:"seed"`
	Faults    []Fault `json:"faults"`
	Requests  int     `json:"requests"`
	Served    int     `json:"served"`
	Runs      int     `json:"runs"`
	Processes int     `json:"processes"`
	// Streams tells how many of the streams that callers resumed went on.
	Streams    ResumedStreams `json:"streams"`
	Violations []Violation    `json:"violations"`
}

// Timeouts and sizes of a soak. The times are short, so that faults outlast them.
const (
	stopWithin   = 6 * time.Second
	routeTimeout = 4 * time.Second
	// listTimeout is the time without heartbeats after which the list drops an endpoint.
	listTimeout = 3 * time.Second
	// drainDuration is the time for which a draining endpoint keeps serving.
	drainDuration = 4 * time.Second
	// startTimeout is the maximum time until the programs are ready.
	startTimeout = 5 * time.Second
	// narrowMbps is the bandwidth of a router's link to the store in seeds with narrow
	// links, and maxUnused the maximum number of unused routes there. With those the
	// configuration has some 900 KB, close to the store's maximum of 1 MB, and takes
	// over a second on such a link.
	narrowMbps = 10
	maxUnused  = 4500
	// addedChance is the probability that a request is for an added route.
	addedChance = 0.1
)

// configWithin is the time after which a configuration must be in force, if that is required.
const configWithin = 3 * time.Second

// DefaultBounds returns the bounds for settings and checker with all promises in force.
func DefaultBounds() Bounds {
	return Bounds{
		Revoke: 5 * time.Second, Drain: 2 * time.Second, Slack: 500 * time.Millisecond,
		FaultMargin: 3 * time.Second, Cancel: 500 * time.Millisecond,
		RetryRatio: 0.2, RetrySlack: 50, RetryWindow: 10 * time.Second,
		Evacuate: 5 * time.Second, ColdExcess: 1.5, ColdSlack: 5,
		LimitExcess: 1.5, LimitSlack: 5, LimitWithin: 3 * time.Second, LimitWindow: 4 * time.Second,
		BackoffWithin: 500 * time.Millisecond, BackoffExcess: 2,
		CrashesBeforeQuarantine: 3,
	}
}

// BoundsOf returns the bounds of a seed. Two of four seeds have all bounds. One of the
// others has no bound on revoked keys, and one none on draining endpoints either, as a
// platform's settings may omit them.
func BoundsOf(seed uint64) Bounds {
	b := DefaultBounds()
	switch seed % 4 {
	case 3:
		b.Revoke = 0
	case 0:
		b.Revoke, b.Drain = 0, 0
	}
	if HasNarrowLinks(seed) {
		b.Config = configWithin
	}
	b.RetrySlackStated = HasFailingEndpoints(seed) || HasEndlessAnswers(seed)
	if HasCrashParts(seed) {
		b.CrashesBeforeQuarantine = 5 // some overlap in time, and count once for a part
	}
	return b
}

// routesOf returns the routes of a soak, with two services and all kinds of retries.
func routesOf() []Route {
	return []Route{
		{Name: "stream", Service: "model", Prefix: "/stream/", Stream: true},
		{Name: "resumable", Service: "model", Prefix: "/resumable/", Stream: true, Repeatable: true},
		{Name: "write", Service: "plain", Prefix: "/write/"},
		{Name: "read", Service: "plain", Prefix: "/read/", Repeatable: true},
	}
}

// run is the state of a running soak.
type run struct {
	opts    Options
	wire    Wire
	routes  []Route
	keys    *keyring
	ports   *ports
	store   string // its address
	routers []*routerProc

	mu           sync.Mutex
	version      int
	timeout      time.Duration
	unusedRoutes int             // number of routes without requests
	addedRoutes  []addedRoute    // routes added by ConfigGrow
	endpoints    []*endpointProc // serving endpoints; faults remove one for their duration
	started      int             // number of started endpoints, for their names
	processes    []*Process
	observed     Observations
	// evacuating has the failure domains with an evacuation order.
	evacuating map[string]bool
	runIndex   map[string]int // index in observed.Runs by endpoint and request
	log        *os.File
	// crashes waits for the sender of crash requests and the endpoints that it crashed.
	crashes sync.WaitGroup
}

// addedRoute is a route that was added to the configuration, with the time.
type addedRoute struct {
	route Route
	at    time.Time
}

// Run executes the soak of one seed.
func Run(ctx context.Context, opts Options) (*Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// Soaks of other seeds may use the same folder at the same time.
	opts.Dir = filepath.Join(opts.Dir, fmt.Sprintf("seed-%d", opts.Seed))
	if err := os.MkdirAll(opts.Dir, 0o755); err != nil {
		return nil, errors.Wrap(err, "soak: make the seed's folder")
	}
	log, err := os.Create(filepath.Join(opts.Dir, "log"))
	if err != nil {
		return nil, errors.Wrap(err, "soak: create the log")
	}
	defer log.Close()
	ports, err := newPorts(os.Getpid())
	if err != nil {
		return nil, err
	}
	defer ports.release()
	r := &run{
		opts: opts, wire: opts.Wire, ports: ports, routes: routesOf(), keys: newKeyring(), timeout: routeTimeout,
		runIndex: make(map[string]int), log: log,
		evacuating: map[string]bool{},
		observed: Observations{
			Versions: map[string]string{},
			Revoked:  map[string]time.Time{}, Moved: map[string]Move{}, Drained: map[string]time.Time{}, RouterFaults: map[int][]Span{},
			Down: map[int][]Span{}, Stops: map[int][]Span{}, EndpointFaults: map[string][]Span{},
			Domains: map[string]string{}, Evacuated: map[string][]Span{}, Cold: map[string][]Span{}, RateLimited: map[string][]LimitSpan{},
			LoggedAttempts: map[string]int{},
		},
	}
	defer r.endProcesses()
	if err := r.start(ctx); err != nil {
		return nil, err
	}
	plan := Plan(opts.Seed, opts.Duration)
	r.play(ctx, plan)
	return r.result(plan), ctx.Err()
}

// pickRoute returns one of the initial routes or, with probability addedChance, the most
// recently added one and the time at which it was added.
func (r *run) pickRoute(rnd *rand.Rand) (Route, time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.addedRoutes) > 0 && rnd.Float64() < addedChance {
		newest := r.addedRoutes[len(r.addedRoutes)-1]
		return newest.route, newest.at
	}
	route := r.routes[rnd.IntN(len(r.routes))]
	route.Prompt = promptOf(r.opts.Seed, false)
	return route, time.Time{}
}

// handleRecord handles a line that an endpoint wrote.
func (r *run) handleRecord(ctx context.Context, p *endpointProc, e Endpoint, line []byte) {
	var rec Record
	if err := json.Unmarshal(line, &rec); err != nil || rec.ID == "" {
		return // a log line
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if rec.Backoff > 0 {
		r.observed.TurnedAway = append(r.observed.TurnedAway, TurnedAway{ID: rec.ID, Endpoint: e.Name, At: rec.At, For: rec.Backoff})
		return
	}
	if rec.Leaving {
		r.observed.LeavingAnswers = append(r.observed.LeavingAnswers, LeavingAnswer{ID: rec.ID, Endpoint: e.Name, At: rec.At})
	}
	key := e.Name + " " + rec.ID
	if rec.Ended || rec.BrokeOff {
		if i, ok := r.runIndex[key]; ok {
			r.observed.Executions[i].end(rec)
		}
		return
	}
	if strings.HasPrefix(rec.ID, crashRequestID) {
		r.crashes.Go(func() { r.crash(ctx, p) })
	}
	r.runIndex[key] = len(r.observed.Executions)
	r.observed.Executions = append(r.observed.Executions, Execution{
		ID: rec.ID, Endpoint: e.Name, Service: e.Service, Team: rec.Team, Resumed: rec.Resumed, FromCopy: rec.FromCopy, Begin: rec.At,
	})
}

func (r *run) record(c Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observed.Calls = append(r.observed.Calls, c)
}

// play runs the callers and injects the faults of the plan.
func (r *run) play(ctx context.Context, plan []Fault) {
	start := time.Now()
	loadCtx, stop := context.WithCancel(ctx)
	var callers, faults sync.WaitGroup
	for i := range r.opts.Routers * r.opts.Callers {
		c := &caller{
			number: i, router: i % r.opts.Routers, soak: r, rnd: rand.New(rand.NewPCG(r.opts.Seed, uint64(i+1))),
			client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}},
		}
		callers.Go(func() { c.run(loadCtx) })
	}
	faultCtx, cancelFaults := context.WithDeadline(ctx, start.Add(r.opts.Duration-FaultFreeEnd))
	defer cancelFaults()
	awaitCrashes := r.startCrashRequests(faultCtx)
	for _, f := range plan {
		if !sleepUntil(ctx, start.Add(f.At)) {
			break
		}
		fmt.Fprintf(r.opts.Progress, "%6.2f s  %s %d %s for %s\n", f.At.Seconds(), f.Kind, f.Target, f.NetFault, f.Duration.Round(time.Millisecond))
		faults.Go(func() { r.inject(ctx, f) })
	}
	faults.Wait()
	<-faultCtx.Done()
	awaitCrashes()
	r.mu.Lock()
	r.observed.LastFault = time.Now()
	r.mu.Unlock()
	sleepUntil(ctx, maxTime(start.Add(r.opts.Duration), time.Now().Add(FaultFreeEnd)))
	stop()
	callers.Wait()
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Until(at)):
		return true
	}
}

// endProcesses kills all programs that the soak started, by process ID.
func (r *run) endProcesses() {
	r.mu.Lock()
	all := r.processes
	r.mu.Unlock()
	for _, p := range all {
		p.End()
	}
}

func (r *run) result(plan []Fault) *Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.processes {
		if err := p.Failure(); err != nil {
			r.observed.Exits = append(r.observed.Exits, err.Error())
		}
	}
	res := &Result{Seed: r.opts.Seed, Faults: plan, Requests: len(r.observed.Calls), Runs: len(r.observed.Executions), Processes: len(r.processes)}
	for _, c := range r.observed.Calls {
		if c.Status == http.StatusOK && c.Complete {
			res.Served++
		}
	}
	res.Streams = countResumed(r.observed.Calls)
	res.Violations = Check(r.observed, BoundsOf(r.opts.Seed))
	return res
}

// signalFor sends one signal, and another one after d.
func signalFor(ctx context.Context, p *Process, first, then syscall.Signal, d time.Duration) {
	p.Signal(first)
	sleepUntil(ctx, time.Now().Add(d))
	p.Signal(then)
}
