// Package wait holds routed requests back while the endpoints of their service have no capacity
// left, by the decisions of package waiting. Put it inside attempts and before choose.
package wait

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"coveferry/internal/balance"
	"coveferry/internal/bundle"
	"coveferry/internal/filters/dispatch"
	"coveferry/internal/filters/relay"
	"coveferry/internal/pipeline"
	"coveferry/internal/request"
	"coveferry/internal/waiting"
	"coveferry/internal/wire"
)

// Config configures a Filter.
type Config struct {
	Pool *balance.Pool
	// Endpoints lists the endpoints of a service.
	Endpoints func(service string) []*bundle.Endpoint
	// FleetSize returns how many routers send requests to the services; nil means only this one.
	FleetSize func() int
	// CheckBeforeWaiting is called when a request would have to wait. An error refuses the request
	// and is returned as it is: a request that must not be sent doesn't take a place in the queue.
	// nil lets all wait.
	CheckBeforeWaiting func(r *request.Request) error
	// Admit is called when a request would have to wait or be refused. pressure is the expected
	// wait relative to the wait at which the request is refused. An error refuses the request
	// and is returned as it is. nil admits all.
	Admit func(r *request.Request, pressure float64) error
	// Stopping is closed once nothing may be sent any more. Waiting requests are refused then,
	// without waiting for their contexts to end. nil means never.
	Stopping <-chan struct{}
	// Rand returns random numbers from [0, 1).
	Rand    func() float64
	Metrics prometheus.Registerer
}

// Filter implements pipeline.Filter.
type Filter struct {
	cfg      Config
	metrics  *metrics
	mu       sync.Mutex
	services map[string]*service
}

// New returns a filter.
func New(cfg Config) *Filter {
	if cfg.FleetSize == nil {
		cfg.FleetSize = func() int { return 1 }
	}
	f := &Filter{cfg: cfg, services: make(map[string]*service)}
	f.metrics = newMetrics(cfg.Metrics, f)
	return f
}

// stopping reports whether nothing may be sent any more.
func (f *Filter) stopping() bool {
	select {
	case <-f.cfg.Stopping:
		return true
	default:
		return false
	}
}

// Name implements pipeline.Filter.
func (*Filter) Name() string { return "wait" }

// Do calls next as soon as an endpoint is expected to have capacity for the request. Its error is
// a *RefusedError, a *relay.CallerError, that of Config.CheckBeforeWaiting, Config.Admit or next.
func (f *Filter) Do(ctx context.Context, r *request.Request, next pipeline.Next) (err error) {
	s := f.serviceOf(r)
	if s == nil {
		return next(ctx, r)
	}
	if err := f.enter(ctx, s, r); err != nil {
		return err
	}
	sent := time.Now()
	defer func() { s.end(resultOf(r, sent, err), r.Endpoint) }()
	return next(ctx, r)
}

// serviceOf returns the state of the request's service, or nil if its requests never wait.
func (f *Filter) serviceOf(r *request.Request) *service {
	if r.Kind != wire.KindRouted || r.Route == nil || r.Routes.Table == nil {
		return nil
	}
	if configured := r.Routes.Table.Service(r.Service); configured == nil || configured.Engine != nil {
		return nil
	}
	now := time.Now()
	s := f.stateOf(now, r.Service)
	if !s.active(now) {
		return nil
	}
	return s
}

// stateOf returns the state of a service, also of one whose requests never wait, so that its
// endpoints aren't read for each request.
func (f *Filter) stateOf(now time.Time, name string) *service {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.services[name]
	if s == nil {
		f.dropUnused(now)
		s = &service{filter: f, name: name, state: waiting.NewService(0, f.cfg.FleetSize())}
		f.services[name] = s
	}
	s.usedAt = now
	return s
}

// unusedFor is how long the state of a service without requests is kept.
const unusedFor = 10 * time.Minute

// dropUnused bounds the memory of services that the configuration no longer has. f.mu is held.
func (f *Filter) dropUnused(now time.Time) {
	for name, s := range f.services {
		if now.Sub(s.usedAt) > unusedFor && s.idle() {
			delete(f.services, name)
		}
	}
}

// enter returns nil once the request may be sent. A request that was already sent doesn't wait
// again: its place became free only when the attempt ended, and it takes the place again. Neither
// does a stream that is resumed, which can go on only at some of the endpoints.
func (f *Filter) enter(ctx context.Context, s *service, r *request.Request) error {
	if len(r.Tried) > 0 || r.StreamVersion != nil {
		s.sendNow()
		return nil
	}
	need := waiting.Need{Objective: r.Route.Objective, Order: waiting.Order{
		Tier: r.Routes.Table.Rank(r.Tier, r.Route.Tier), Kind: r.Route.Tier, Deadline: r.Deadline,
	}}
	outlook := s.sendOrAssess(need)
	if !outlook.MustWait {
		return nil
	}
	if f.cfg.CheckBeforeWaiting != nil {
		if err := f.cfg.CheckBeforeWaiting(r); err != nil {
			return err
		}
	}
	if s.recognizesReturns() {
		need.Order.Returned = s.returned(uint64(r.Identity()))
		outlook = s.assess(need)
	}
	r.Wait.Position, r.Wait.Limit = outlook.Position, outlook.Limit
	if f.cfg.Admit != nil {
		if err := f.cfg.Admit(r, outlook.Pressure()); err != nil {
			f.metrics.refused.WithLabelValues(reasonShare).Inc()
			return err
		}
	}
	if outlook.Late() {
		return f.refuse(s, r, need, outlook, ReasonLate)
	}
	began := time.Now()
	verdict, err := s.wait(ctx, need, outlook, len(r.Body))
	r.Wait.Waited = time.Since(began)
	f.metrics.waited.Observe(r.Wait.Waited.Seconds())
	switch {
	case err != nil:
		return &relay.CallerError{Cause: err}
	case verdict != "":
		return f.refuse(s, r, need, outlook, verdict)
	}
	return nil
}

// refuse returns the error of a request that isn't sent.
func (f *Filter) refuse(s *service, r *request.Request, need waiting.Need, outlook waiting.Assessment, reason Reason) error {
	if reason == ReasonStopping {
		f.metrics.refused.WithLabelValues(string(reason)).Inc()
		return &RefusedError{Reason: reason, Return: waiting.Return{After: retryAfterStop}}
	}
	back := s.refuse(need, f.cfg.Rand())
	if back.Promised {
		s.remember(uint64(r.Identity()), back.After)
	}
	f.metrics.refused.WithLabelValues(string(reason)).Inc()
	return &RefusedError{Reason: reason, Wait: outlook.Wait, Bound: outlook.Bound, Position: outlook.Position, Return: back}
}

// resultOf returns how an attempt ended. Only whole answers tell how long answers take.
func resultOf(r *request.Request, sent time.Time, err error) waiting.Result {
	switch {
	case dispatch.RefusedForLackOfRoom(r, err):
		return waiting.Result{Full: true}
	case err != nil:
		return waiting.Result{}
	}
	end := time.Now()
	if r.Route.Stream && r.Delivered.FirstToken.After(sent) {
		end = r.Delivered.FirstToken
	}
	return waiting.Result{Took: end.Sub(sent), Objective: r.Route.Objective}
}
