package membership

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"coveferry/internal/bundle"
	"coveferry/internal/load"
	"coveferry/internal/wire"
)

// Pool is the part of the router's endpoint pool that a tracker uses. See balance.Pool.
type Pool interface {
	SetLeaving(endpoint string, leaving bool)
	SetSuspect(endpoint string, suspect bool)
	Return(now time.Time, endpoint string)
	Forget(endpoint string)
	Restart(now time.Time, endpoint string)
}

// Config configures a Tracker.
type Config struct {
	// Name is the router's name in snapshots.
	Name    string
	Pool    Pool
	Tuning  Tuning
	Log     zerolog.Logger
	Metrics prometheus.Registerer // nil for none
}

// Tracker passes events to a router's Core and applies the state changes to the
// pool. It implements dispatch.Observer. It is safe for concurrent use.
type Tracker struct {
	cfg     Config
	metrics *metrics

	// onReturning is called for endpoints that return and may run another process; may be nil.
	onReturning func(endpoint string)

	mu   sync.Mutex
	core *Core
}

// NewTracker returns a tracker without endpoints; SetBundle adds them.
func NewTracker(cfg Config) *Tracker {
	t := &Tracker{cfg: cfg, core: NewCore(cfg.Tuning)}
	t.metrics = newMetrics(cfg.Metrics, t)
	return t
}

// OnReturning registers a function that is called for each endpoint that returns after failed
// connections and may run another process, before it receives requests again. OnReturning must
// be called before the tracker is used.
func (t *Tracker) OnReturning(f func(endpoint string)) { t.onReturning = f }

// SetBundle sets the endpoints of the bundle in force.
func (t *Tracker) SetBundle(b *bundle.Bundle) {
	specs := make([]EndpointSpec, 0, len(b.Endpoints))
	for _, e := range b.Endpoints {
		if e.Direct {
			continue // it has no agent
		}
		specs = append(specs, EndpointSpec{Endpoint: e.Name, VM: e.VM, Address: e.Address})
	}
	t.HandleEvent(BundleApplied{Endpoints: specs})
}

// HandleEvent processes an event and applies the resulting changes.
func (t *Tracker) HandleEvent(ev Event) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.applyChanges(now, t.core.Apply(now, ev))
}

// Answered implements dispatch.Observer. It returns false for reports that must be
// ignored, including those of endpoints that are no longer in the bundle.
func (t *Tracker) Answered(endpoint string, clock wire.Clock, sent time.Time, report load.Report) bool {
	return t.handleStatus(AgentStatus{
		Endpoint: endpoint, Incarnation: clock.Incarnation, Seq: report.Seq,
		Leaving: report.Leaving, Via: ReasonReport, Sent: sent,
	})
}

func (t *Tracker) handleStatus(status AgentStatus) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.core.Accepts(status) {
		return false
	}
	now := time.Now()
	t.applyChanges(now, t.core.Apply(now, status))
	return true
}

// Failed implements dispatch.Observer.
func (t *Tracker) Failed(endpoint, incarnation string, sent bool) {
	kind := Refused
	if sent {
		kind = Broken
	}
	t.HandleEvent(ConnectionFailure{Endpoint: endpoint, Incarnation: incarnation, Kind: kind})
}

// dueProbes re-evaluates all endpoints and returns the ones to probe now.
func (t *Tracker) dueProbes() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.applyChanges(now, t.core.Tick(now))
	return t.core.Probes(now)
}

// applyChanges applies changes to the pool in their order. t.mu must be held.
func (t *Tracker) applyChanges(now time.Time, changes []Change) {
	for _, ch := range changes {
		t.applyChange(now, ch)
		t.metrics.changes.WithLabelValues(string(ch.To), string(ch.Reason)).Inc()
		t.cfg.Log.Info().Str("endpoint", ch.Endpoint).Str("from", string(ch.From)).
			Str("to", string(ch.To)).Str("reason", string(ch.Reason)).Msg("endpoint changed its state")
	}
}

func (t *Tracker) applyChange(now time.Time, ch Change) {
	pool := t.cfg.Pool
	switch {
	case ch.To == Gone && ch.Reason == ReasonBundle:
		pool.Forget(ch.Endpoint)
	case ch.Reason == ReasonRestarted:
		pool.Restart(now, ch.Endpoint)
	case ch.To == Live:
		if ch.PossiblyRestarted && t.onReturning != nil {
			t.onReturning(ch.Endpoint)
		}
		pool.Return(now, ch.Endpoint)
	default:
		pool.SetLeaving(ch.Endpoint, !ch.To.acceptsRequests())
		pool.SetSuspect(ch.Endpoint, ch.To == Suspect)
	}
}
