// Package router implements the process on an entry VM that terminates callers' connections. It
// runs each request through a chain of filters and returns either an endpoint's complete answer
// or a typed error that says whether the request ran.
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

// Config configures a Router.
type Config struct {
	// Name is the router's name in the bundle.
	Name string
	// SubsetSize is the approximate number of endpoints of each model or service that the
	// router uses; 0 means all.
	SubsetSize int
	Snapshot   *bundle.Snapshot
	Pool       *balance.Pool
	// Client sends attempts to agents. Scheme is "https", or "http" without certificates.
	Client *http.Client
	Scheme string
	// Retry decides whether a failed attempt is retried.
	Retry attempts.Policy
	// Throttle configures load shedding of requests that endpoints would refuse.
	Throttle throttle.Config
	// IgnoreIdempotencyKeys sends requests with an idempotency key to any endpoint, for comparison runs.
	IgnoreIdempotencyKeys bool
	// LateBinding queues a request at two endpoints if none is known to have a free slot.
	LateBinding bool
	// Rand returns random numbers from [0, 1); nil uses math/rand.
	Rand func() float64
	// BodyTimeout bounds the time to read a request's body.
	BodyTimeout time.Duration
	// MaxOpen bounds the number of open requests, MaxBodyBytes the total memory of their
	// bodies.
	MaxOpen      int64
	MaxBodyBytes int64
	// NewID generates request IDs; nil uses random UUIDs.
	NewID func() string
	// Clock is used to check deadlines when an attempt is sent; nil is clock.Boot.
	Clock clock.Clock
	// Limits enforces the rate limits of teams; nil enforces them at this router alone. The
	// router updates it with each snapshot.
	Limits *limits.Limiter
	// Poison tracks requests whose endpoints were lost; nil creates a table that uses the
	// router's clock.
	Poison *poison.Table
	// Observer receives the results of attempts; nil disables this.
	Observer dispatch.Observer
	// SLO counts how requests of each class and tier met their objectives; nil disables this.
	SLO *slo.Tracker
	// Routing enables serving by a route table; nil disables it.
	Routing *Routing
	Log     zerolog.Logger
	Metrics prometheus.Registerer
}

// Router serves callers' requests.
type Router struct {
	cfg         Config
	snapshot    atomic.Pointer[bundle.Snapshot]
	chain       pipeline.Next
	routedChain pipeline.Next // nil without Routing
	// directDispatch sends routed requests to their endpoints; nil without Routing.
	directDispatch *dispatch.Filter
	// completedLog and failedLog are rate-limited loggers for routed requests.
	completedLog zerolog.Logger
	failedLog    zerolog.Logger
	capacity     *capacity
	metrics      *metrics
	drain        *drain
}

// New creates a Router.
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
		cfg:      cfg,
		capacity: newCapacity(cfg.MaxOpen, cfg.MaxBodyBytes),
		metrics:  newMetrics(cfg.Metrics),
		drain:    newDrain(),
	}
	rt.Swap(cfg.Snapshot)
	rt.chain = rt.filterChain()
	if cfg.Routing != nil {
		rt.completedLog = logging.Limit(cfg.Log, completedLinesPerSecond, cfg.Metrics, "completed")
		rt.failedLog = logging.Limit(cfg.Log, failedLinesPerSecond, cfg.Metrics, "failed")
		rt.routedChain = rt.routedFilterChain()
	}
	return rt
}

// filterChain returns the filter chain of requests that go to agents. Each filter relies on the
// fields set by those before it.
func (rt *Router) filterChain() pipeline.Next {
	pool, client := rt.cfg.Pool, rt.cfg.Client
	subsetFilter := narrow.New(subset.NewSelector(rt.cfg.Name, rt.cfg.SubsetSize))
	return pipeline.Compose(
		authenticate.Filter{},                        // identifies the team
		classify.Filter{},                            // determines class, tier and model
		limit.NewWithLimiter(rt.cfg.Limits),          // enforces the team's rate limits
		subsetFilter,                                 // restricts the endpoints to this router's subset
		shed.New(rt.cfg.Throttle, pool, rt.cfg.Rand), // sheds requests that endpoints would refuse
		attempts.New(rt.cfg.Retry, rt.cfg.Rand),      // retries where that is safe
		rt.quarantine(),                              // refuses quarantined requests
		rt.choose(subsetFilter),                      // selects the endpoint
		rt.dispatch(client),                          // sends the attempt to the endpoint's agent
		relay.Filter{},                               // relays the answer
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

func (rt *Router) choose(subsetFilter *narrow.Filter) *choose.Filter {
	return choose.New(choose.Config{
		Pool: rt.cfg.Pool, Latest: subsetFilter.Latest,
		IgnoreKeys: rt.cfg.IgnoreIdempotencyKeys, LateBinding: rt.cfg.LateBinding,
	})
}

// Swap sets the snapshot for requests that arrive from now on; open requests keep theirs.
func (rt *Router) Swap(s *bundle.Snapshot) {
	rt.snapshot.Store(s)
	if s != nil {
		rt.cfg.Limits.Follow(s.Bundle())
	}
}

// Snapshot returns the snapshot in force.
func (rt *Router) Snapshot() *bundle.Snapshot { return rt.snapshot.Load() }

// Handler returns the HTTP handler for callers.
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
