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

// Options are what a run needs.
type Options struct {
	Seed uint64
	For  time.Duration
	// Daemon and Tool are the programs, and Dir a folder in which each seed has one
	// of its own for settings and logs.
	Daemon, Tool, Dir string
	Routers           int
	Endpoints         int // of each service
	Callers           int // of each router
	Wire              Wire
	// Progress takes a line for each fault.
	Progress io.Writer
}

// Result is what a run found.
type Result struct {
	Seed       uint64      `json:"seed"`
	Faults     []Fault     `json:"faults"`
	Requests   int         `json:"requests"`
	Served     int         `json:"served"`
	Runs       int         `json:"runs"`
	Processes  int         `json:"processes"`
	Violations []Violation `json:"violations"`
}

// Times of the system in a soak, short so that faults outlast them.
const (
	stopWithin   = 6 * time.Second
	routeTimeout = 4 * time.Second
	// lapse is the silence after which the list drops an endpoint.
	lapse = 3 * time.Second
	// drainFor is how long an endpoint serves on after it said that it leaves.
	drainFor = 4 * time.Second
	// startWithin is how long the programs may take to be ready.
	startWithin = 5 * time.Second
	// narrowMbps is the link of a router to the store in narrow seeds, maxUnused how many
	// routes nobody asks for then: together with the others some 900 KB, of the 1 MB that
	// the store takes and that need over a second on such a link.
	narrowMbps = 10
	maxUnused  = 4500
	// addedChance is how often a caller asks for a route that was added.
	addedChance = 0.1
)

// configWithin is how soon a configuration must be in force where that is demanded.
const configWithin = 3 * time.Second

// DefaultBounds are those that settings and checker use where all are in force.
func DefaultBounds() Bounds {
	return Bounds{
		Revoke: 5 * time.Second, Drain: 2 * time.Second, Slack: 500 * time.Millisecond,
		Contact: 3 * time.Second, Cancel: 500 * time.Millisecond,
		RetryRatio: 0.2, RetrySlack: 50, RetryWindow: 10 * time.Second,
		Evacuate: 5 * time.Second, ColdExcess: 1.5, ColdSlack: 5,
		LimitExcess: 1.5, LimitSlack: 5, LimitWithin: 3 * time.Second, LimitWindow: 4 * time.Second,
	}
}

// BoundsOf are those of a seed. Two seeds of four have them all; of the others one
// lacks that on revoked keys, and one that on endpoints that leave as well, as the
// settings of a platform may.
func BoundsOf(seed uint64) Bounds {
	b := DefaultBounds()
	switch seed % 4 {
	case 3:
		b.Revoke = 0
	case 0:
		b.Revoke, b.Drain = 0, 0
	}
	if NarrowOf(seed) {
		b.Config = configWithin
	}
	b.RetrySlackStated = FailingOf(seed)
	return b
}

// routes are the kinds of request: two services, and all ways of repeating.
func routesOf() []Route {
	return []Route{
		{Name: "stream", Service: "model", Prefix: "/stream/", Stream: true},
		{Name: "resumable", Service: "model", Prefix: "/resumable/", Stream: true, Repeatable: true},
		{Name: "write", Service: "plain", Prefix: "/write/"},
		{Name: "read", Service: "plain", Prefix: "/read/", Repeatable: true},
	}
}

// run is a soak that is under way.
type run struct {
	opts    Options
	wire    Wire
	routes  []Route
	keys    *keyring
	ports   *ports
	store   string // its address
	routers []*routerProc

	mu        sync.Mutex
	version   int
	timeout   time.Duration
	unused    int             // routes that nobody asks for
	added     []added         // routes that were added
	endpoints []*endpointProc // those that serve; faults take one out
	started   int             // endpoints, to name them
	all       []*Process
	seen      Seen
	// evacuating are the failure domains with an order to evacuate.
	evacuating map[string]bool
	begun      map[string]int // index in seen.Runs by endpoint and request
	log        *os.File
	// crashes are the deadly caller and the endpoints that it has ended.
	crashes sync.WaitGroup
}

// added is a route that was added to the configuration, and when.
type added struct {
	route Route
	at    time.Time
}

// Run plays one seed.
func Run(ctx context.Context, opts Options) (*Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// Soaks of other seeds may use the same folder at once.
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
		begun: make(map[string]int), log: log,
		evacuating: map[string]bool{},
		seen: Seen{
			Revoked: map[string]time.Time{}, Drained: map[string]time.Time{}, Harmed: map[int][]Span{},
			Down: map[int][]Span{}, Stops: map[int][]Span{}, EndpointHarmed: map[string][]Span{},
			Domains: map[string]string{}, Evacuated: map[string][]Span{}, Cold: map[string][]Span{}, Limited: map[string][]Limited{},
			Told: map[string]int{},
		},
	}
	defer r.end()
	if err := r.start(ctx); err != nil {
		return nil, err
	}
	plan := Plan(opts.Seed, opts.For)
	r.play(ctx, plan)
	return r.result(plan), ctx.Err()
}

// pickRoute picks one of the routes that stand from the start or, now and then, the
// newest of those that were added, and says when it was.
func (r *run) pickRoute(rnd *rand.Rand) (Route, time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.added) > 0 && rnd.Float64() < addedChance {
		newest := r.added[len(r.added)-1]
		return newest.route, newest.at
	}
	return r.routes[rnd.IntN(len(r.routes))], time.Time{}
}

// hear takes a line of an endpoint's records.
func (r *run) hear(ctx context.Context, p *endpointProc, e Endpoint, line []byte) {
	var rec Record
	if err := json.Unmarshal(line, &rec); err != nil || rec.ID == "" {
		return // a line of its log
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	key := e.Name + " " + rec.ID
	if rec.Ended {
		if i, ok := r.begun[key]; ok {
			r.seen.Runs[i].End = rec.At
		}
		return
	}
	if strings.HasPrefix(rec.ID, deadlyID) {
		r.crashes.Go(func() { r.crash(ctx, p) })
	}
	r.begun[key] = len(r.seen.Runs)
	r.seen.Runs = append(r.seen.Runs, Execution{
		ID: rec.ID, Endpoint: e.Name, Service: e.Service, Team: rec.Team, Resumed: rec.Resumed, Begin: rec.At,
	})
}

func (r *run) record(c Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seen.Calls = append(r.seen.Calls, c)
}

// play has callers call while the faults of the plan strike.
func (r *run) play(ctx context.Context, plan []Fault) {
	began := time.Now()
	load, stop := context.WithCancel(ctx)
	var callers, faults sync.WaitGroup
	for i := range r.opts.Routers * r.opts.Callers {
		c := &caller{
			number: i, router: i % r.opts.Routers, soak: r, rnd: rand.New(rand.NewPCG(r.opts.Seed, uint64(i+1))),
			client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}},
		}
		callers.Go(func() { c.run(load) })
	}
	faulty, calm := context.WithDeadline(ctx, began.Add(r.opts.For-CalmEnd))
	defer calm()
	awaitCrashes := r.startDeadly(faulty)
	for _, f := range plan {
		if !sleepUntil(ctx, began.Add(f.At)) {
			break
		}
		fmt.Fprintf(r.opts.Progress, "%6.2f s  %s %d %s for %s\n", f.At.Seconds(), f.Kind, f.Target, f.Harm, f.For.Round(time.Millisecond))
		faults.Go(func() { r.strike(ctx, f) })
	}
	faults.Wait()
	<-faulty.Done()
	awaitCrashes()
	r.mu.Lock()
	r.seen.LastFault = time.Now()
	r.mu.Unlock()
	sleepUntil(ctx, maxTime(began.Add(r.opts.For), time.Now().Add(CalmEnd)))
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

// end ends all programs that the soak started, by their ids.
func (r *run) end() {
	r.mu.Lock()
	all := r.all
	r.mu.Unlock()
	for _, p := range all {
		p.End()
	}
}

func (r *run) result(plan []Fault) *Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.all {
		if err := p.Failure(); err != nil {
			r.seen.Exits = append(r.seen.Exits, err.Error())
		}
	}
	res := &Result{Seed: r.opts.Seed, Faults: plan, Requests: len(r.seen.Calls), Runs: len(r.seen.Runs), Processes: len(r.all)}
	for _, c := range r.seen.Calls {
		if c.Status == http.StatusOK && c.Whole {
			res.Served++
		}
	}
	res.Violations = Check(r.seen, BoundsOf(r.opts.Seed))
	return res
}

// signalFor sends a signal, and another one after a while.
func signalFor(ctx context.Context, p *Process, first, then syscall.Signal, d time.Duration) {
	p.Signal(first)
	sleepUntil(ctx, time.Now().Add(d))
	p.Signal(then)
}
