// Package router is the process on an entry VM. It owns the callers'
// connections: it takes a request through the pipe of filters and answers with
// the whole answer of an endpoint or an honest, typed error.
package router

import (
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"coveferry/internal/balance"
	"coveferry/internal/bundle"
	"coveferry/internal/clock"
	"coveferry/internal/filters/attempts"
	"coveferry/internal/filters/authenticate"
	"coveferry/internal/filters/choose"
	"coveferry/internal/filters/classify"
	"coveferry/internal/filters/dispatch"
	"coveferry/internal/filters/limit"
	"coveferry/internal/filters/narrow"
	"coveferry/internal/filters/quarantine"
	"coveferry/internal/filters/relay"
	"coveferry/internal/filters/shed"
	"coveferry/internal/limits"
	"coveferry/internal/logging"
	"coveferry/internal/pipeline"
	"coveferry/internal/poison"
	"coveferry/internal/slo"
	"coveferry/internal/subset"
	"coveferry/internal/throttle"
)

// Config is what a router needs.
type Config struct {
	// Name is the router's in the bundle's list of routers.
	Name string
	// SubsetSize is about how many endpoints of each model or service the
	// router uses; 0 means all.
	SubsetSize int
	Snapshot   *bundle.Snapshot
	Pool       *balance.Pool
	// Client reaches agents, by Scheme "https" or, without certificates,
	// "http".
	Client *http.Client
	Scheme string
	// Retry decides what follows an attempt that failed.
	Retry attempts.Policy
	// Throttle sets up the refusal of what endpoints would refuse anyway.
	Throttle throttle.Config
	// IgnoreKeys sends requests with an idempotency key anywhere, to compare.
	IgnoreKeys bool
	// LateBinding has requests wait at two endpoints where none is known to
	// have room.
	LateBinding bool
	// Rand returns random numbers from [0, 1); nil is a source of its own.
	Rand func() float64
	// BodyTimeout is how long a caller may take to send a body.
	BodyTimeout time.Duration
	// MaxOpen bounds the requests held at once, MaxBodyBytes the memory
	// their bodies take together.
	MaxOpen      int64
	MaxBodyBytes int64
	// NewID names requests; nil makes random names.
	NewID func() string
	// Clock is the clock that deadlines are checked by when an attempt is
	// sent; nil is clock.Boot.
	Clock clock.Clock
	// Limits holds teams to their limits; nil does so at this router alone.
	// The router has it follow the bundle in force.
	Limits *limits.Limiter
	// Poison knows requests under which endpoints ended; nil is a table of its own. It has
	// the router's clock.
	Poison *poison.Table
	// Observer is told what attempts show of endpoints; nil tells nobody.
	Observer dispatch.Observer
	// Service counts how requests of each class and tier met their targets;
	// nil counts nothing.
	Service *slo.Tracker
	// Routing serves requests by a route table; nil serves none.
	Routing *Routing
	Log     zerolog.Logger
	Metrics prometheus.Registerer
}

// Router serves callers.
type Router struct {
	cfg      Config
	snapshot atomic.Pointer[bundle.Snapshot]
	run      pipeline.Next
	routed   pipeline.Next // nil without Routing
	// direct sends routed requests to their endpoints; nil without Routing.
	direct *dispatch.Filter
	// completed and ended log how routed requests ended.
	completed zerolog.Logger
	ended     zerolog.Logger
	room      *room
	metrics   *metrics
	drain     *drain
}

// New returns a router that is ready to serve.
func New(cfg Config) *Router {
	if cfg.NewID == nil {
		cfg.NewID = uuid.NewString
	}
	if cfg.Clock == nil {
		cfg.Clock = clock.Boot
	}
	if cfg.Poison == nil {
		cfg.Poison = poison.NewTable(poison.Config{Router: cfg.Name, Clock: cfg.Clock})
	}
	if cfg.Rand == nil {
		cfg.Rand = rand.Float64
	}
	if cfg.Limits == nil {
		cfg.Limits = limits.New(limits.Config{})
	}
	rt := &Router{
		cfg:     cfg,
		room:    newRoom(cfg.MaxOpen, cfg.MaxBodyBytes),
		metrics: newMetrics(cfg.Metrics),
		drain:   newDrain(),
	}
	rt.Swap(cfg.Snapshot)
	rt.run = rt.pipe()
	if cfg.Routing != nil {
		rt.completed = logging.Limit(cfg.Log, completedLines, cfg.Metrics, "completed")
		rt.ended = logging.Limit(cfg.Log, endedLines, cfg.Metrics, "failed")
		rt.routed = rt.routedPipe()
	}
	return rt
}

// pipe is the path of every request. A filter sees what those before it set.
func (rt *Router) pipe() pipeline.Next {
	pool, client := rt.cfg.Pool, rt.cfg.Client
	near := narrow.New(subset.NewSelector(rt.cfg.Name, rt.cfg.SubsetSize))
	return pipeline.Compose(
		authenticate.Filter{},               // whose request is it?
		classify.Filter{},                   // what does it ask for, what was paid for?
		limit.NewWithLimiter(rt.cfg.Limits), // is the team within its own limits?
		near,                                // which endpoints does this router use?
		shed.New(rt.cfg.Throttle, pool, rt.cfg.Rand), // would endpoints refuse it anyway?
		attempts.New(rt.cfg.Retry, rt.cfg.Rand),      // repeat the rest where that is safe
		rt.quarantine(),                              // did endpoints end under it?
		rt.choose(near),                              // which endpoint?
		rt.dispatch(client),                          // ask its agent
		relay.Filter{},                               // pass the answer on
	)
}

func (rt *Router) dispatch(client *http.Client) *dispatch.Filter {
	f := dispatch.New(rt.cfg.Pool, client, rt.cfg.Scheme, rt.cfg.Clock)
	if rt.cfg.Observer != nil {
		f.SetObserver(rt.cfg.Observer)
	}
	if rt.cfg.Routing != nil {
		f.EnableDirect(rt.cfg.Routing.Protocol, rt.cfg.Routing.Client)
	}
	return f
}

func (rt *Router) quarantine() *quarantine.Filter {
	return quarantine.New(rt.cfg.Poison, rt.cfg.Clock, rt.cfg.Log)
}

func (rt *Router) choose(near *narrow.Filter) *choose.Filter {
	return choose.New(choose.Config{
		Pool: rt.cfg.Pool, Latest: near.Latest,
		IgnoreKeys: rt.cfg.IgnoreKeys, LateBinding: rt.cfg.LateBinding,
	})
}

// Swap puts another snapshot in force for the requests that arrive from now
// on; those under way keep theirs.
func (rt *Router) Swap(s *bundle.Snapshot) {
	rt.snapshot.Store(s)
	if s != nil {
		rt.cfg.Limits.Follow(s.Bundle())
	}
}

// Snapshot returns the snapshot in force.
func (rt *Router) Snapshot() *bundle.Snapshot { return rt.snapshot.Load() }

// Handler serves callers.
func (rt *Router) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", rt.serveChat)
	mux.HandleFunc("POST /v1/completions", rt.serveCompletion)
	mux.HandleFunc("GET /v1/models", rt.serveModels)
	mux.HandleFunc("/services/{service}/{path...}", rt.serveService)
	mux.HandleFunc("/", serveUnknown)
	if rt.cfg.Routing != nil {
		return rt.routesFirst(mux)
	}
	return mux
}
