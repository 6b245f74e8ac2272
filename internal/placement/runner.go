package placement

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"coveferry/internal/bundle"
)

// Defaults of a Config.
const (
	defaultPoll         = time.Second
	defaultMaxReportAge = 5 * time.Second
)

// Config configures a Runner.
type Config struct {
	Endpoint string // name in the bundle
	// EngineURL is the base URL of the engine.
	EngineURL string
	Engine    *http.Client
	// Peers connects to other agents, with the URL scheme Scheme.
	Peers  *http.Client
	Scheme string
	// Start is when the agent started, by the VM's clock; zero means now.
	Start time.Time
	// Poll is the interval at which the engine is queried; 0 is 1 s.
	Poll time.Duration
	// MaxReportAge is the greatest age of a report that allows an unload; 0 is
	// 5 s.
	MaxReportAge time.Duration
	// Rand returns random numbers from [0, 1); nil uses math/rand.
	Rand    func() float64
	Log     zerolog.Logger
	Metrics prometheus.Registerer // may be nil
}

// Runner carries out the plan of one endpoint, one order at a time. It is safe
// for concurrent use.
type Runner struct {
	cfg         Config
	engine      engineClient
	metrics     *metrics
	planChanged chan struct{} // buffered

	mu                  sync.Mutex
	version             uint64 // of the active bundle
	plan                *Plan
	state               State
	tokens              TokenSource
	fenced              bool
	leaving             bool
	consecutiveFailures int
	// orderEpoch changes when an order is decided on and when it ends.
	orderEpoch  uint64
	step        Step
	queryOffset int // rotates the peers that are queried
}

// New returns a runner without a plan.
func New(cfg Config) *Runner {
	cfg.Poll = cmp.Or(cfg.Poll, defaultPoll)
	cfg.MaxReportAge = cmp.Or(cfg.MaxReportAge, defaultMaxReportAge)
	if cfg.Start.IsZero() {
		cfg.Start = time.Now()
	}
	if cfg.Rand == nil {
		cfg.Rand = rand.Float64
	}
	return &Runner{
		cfg:         cfg,
		engine:      engineClient{url: cfg.EngineURL, http: cfg.Engine},
		metrics:     newMetrics(cfg.Metrics),
		planChanged: make(chan struct{}, 1),
		tokens:      NewTokenSource(cfg.Start),
	}
}

// SetBundle makes a bundle the active one, unless a newer one is.
func (r *Runner) SetBundle(b *bundle.Bundle) {
	plan := NewPlan(b, r.cfg.Endpoint)
	r.mu.Lock()
	defer r.mu.Unlock()
	if b.Version < r.version {
		return
	}
	r.version, r.plan = b.Version, plan
	select {
	case r.planChanged <- struct{}{}:
	default: // a notification is pending
	}
}

// Leave makes the runner send no more orders. From then on the agent reports
// nothing, so others don't count on this endpoint.
func (r *Runner) Leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = true
}

// Run queries the engine, decides and sends orders until the context ends. An
// order in progress is then abandoned.
func (r *Runner) Run(ctx context.Context) {
	for ctx.Err() == nil {
		timer := time.NewTimer(r.reconcile(ctx))
		select {
		case <-timer.C:
		case <-r.planChanged:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// reconcile sends at most one order and returns the time until the next call.
func (r *Runner) reconcile(ctx context.Context) time.Duration {
	plan := r.activePlan()
	if plan == nil {
		return r.cfg.Poll
	}
	if err := r.observe(ctx); err != nil {
		r.recordStep(Step{Reason: ReasonUnreachable})
		return r.cfg.Poll
	}
	reports := r.queryPeers(ctx, plan)
	step := r.decide(plan, reports)
	wait := time.Until(step.At)
	if step.Order.Kind == "" {
		return r.pollDelay(wait) // not rounded up to a poll, so that the agents' random backoffs stay apart
	}
	if wait > r.decisionLead() {
		return r.pollDelay(wait - r.decisionLead()/2)
	}
	if !r.waitUntil(ctx, step.At) {
		r.dropOrder(step.Order)
		return 0
	}
	return r.execute(ctx, plan, step)
}

// pollDelay limits a wait to the poll interval, and returns the interval if
// there is no wait.
func (r *Runner) pollDelay(wait time.Duration) time.Duration {
	if wait <= 0 {
		return r.cfg.Poll
	}
	return min(wait, r.cfg.Poll)
}

// decisionLead is how long before its slot an order may be decided on. The
// peers are queried before the decision, which can take longer than a slot, so
// it can't wait for the slot.
func (r *Runner) decisionLead() time.Duration { return min(r.cfg.Poll, r.cfg.MaxReportAge/2) }

// waitUntil waits until the given time. It returns false if ctx ends, or if the
// process was paused and the time is more than decisionLead past: its
// information may be out of date then.
func (r *Runner) waitUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return wallTime(time.Now()).Sub(wallTime(at)) <= r.decisionLead()
}

// wallTime drops the monotonic clock reading, which stands still while a VM is
// paused.
func wallTime(t time.Time) time.Time { return t.Round(0) }

func (r *Runner) activePlan() *Plan {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fenced || r.leaving {
		return nil
	}
	return r.plan
}

// observe queries what the engine holds. The result is discarded if an order
// begins or ends meanwhile.
func (r *Runner) observe(ctx context.Context) error {
	r.mu.Lock()
	before := r.orderEpoch
	r.mu.Unlock()
	names, err := r.engine.listModels(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	if before != r.orderEpoch {
		return errChangedDuringQuery
	}
	if err != nil {
		r.state.reset()
		return err
	}
	r.state.updateLoaded(names)
	return nil
}

// decide decides on the next step. From then on reports no longer list a model
// that is about to be unloaded.
func (r *Runner) decide(plan *Plan, reports map[string]TimedReport) Step {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.plan != plan {
		return Step{}
	}
	now := wallTime(time.Now())
	r.step = NextStep(now, plan, &r.state, reports, r.cfg.MaxReportAge)
	r.metrics.surplus.Set(float64(len(Surplus(plan, &r.state))))
	r.metrics.missing.Set(float64(countMissing(plan, &r.state)))
	if r.step.Order.Kind != "" && r.step.At.Sub(now) <= r.decisionLead() {
		r.state.recordDecided(r.step.Order)
		r.orderEpoch++
	}
	return r.step
}

func countMissing(p *Plan, s *State) int {
	wanted := slices.Concat(p.Want.Models, p.Want.Adapters)
	return len(slices.DeleteFunc(wanted, s.holds))
}

func (r *Runner) dropOrder(o Order) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.recordDropped(o)
}

func (r *Runner) recordStep(s Step) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.step = s
}

// execute sends the order, unless the plan has changed, and returns the time
// until the next call of reconcile.
func (r *Runner) execute(ctx context.Context, plan *Plan, step Step) time.Duration {
	o, ok := r.assignToken(plan, step.Order)
	if !ok {
		return 0
	}
	err := r.engine.sendOrder(ctx, o)
	r.recordOutcome(o, err)
	if err != nil {
		return r.cfg.Poll
	}
	return 0
}

// assignToken assigns a fencing token to the order. It drops the order and
// returns false if the plan has changed or the endpoint is leaving.
func (r *Runner) assignToken(plan *Plan, o Order) (Order, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.plan != plan || r.leaving {
		r.state.recordDropped(o)
		return o, false
	}
	o.Fence = r.tokens.Next()
	return o, true
}

// recordOutcome records how an order ended.
func (r *Runner) recordOutcome(o Order, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.orderEpoch++
	outcome := outcomeOf(err)
	r.metrics.orders.WithLabelValues(string(o.Kind), outcome).Inc()
	event := r.cfg.Log.Info()
	if err == nil {
		r.state.recordDone(o)
		r.consecutiveFailures = 0
	} else {
		event = r.cfg.Log.Warn().Err(err)
		r.state.recordFailed(wallTime(time.Now()), o, err, r.consecutiveFailures, r.cfg.Rand())
		r.consecutiveFailures++
	}
	if outcome == outcomeFenced {
		r.fenced = true
		r.step = Step{Reason: ReasonFenced}
		r.metrics.fenced.Set(1)
	}
	event.Str("order", string(o.Kind)).Str("target", o.Target).Uint64("fence", o.Fence).Str("outcome", outcome).Msg("order finished")
}

func outcomeOf(err error) string {
	switch {
	case err == nil:
		return outcomeDone
	case statusOf(err) == http.StatusConflict:
		return outcomeFenced
	case hadNoEffect(err):
		return outcomeRefused
	default:
		return outcomeUnknown
	}
}
