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

// Pool is what a tracker needs of the router's endpoints. See balance.Pool.
type Pool interface {
	SetLeaving(endpoint string, leaving bool)
	SetSuspect(endpoint string, suspect bool)
	Return(now time.Time, endpoint string)
	Forget(endpoint string)
	Restart(now time.Time, endpoint string)
}

// Config is what a tracker needs.
type Config struct {
	// Name is the router's, for the page of members.
	Name    string
	Pool    Pool
	Tuning  Tuning
	Log     zerolog.Logger
	Metrics prometheus.Registerer // nil for none
}

// Tracker holds a router's core and applies its decisions to the pool. It
// implements dispatch.Observer. It is safe for concurrent use.
type Tracker struct {
	cfg     Config
	metrics *metrics

	// returning is told of endpoints that return as what may be another process; nil for nobody.
	returning func(endpoint string)

	mu   sync.Mutex
	core *Core
}

// NewTracker returns a tracker that knows no endpoint until SetBundle.
func NewTracker(cfg Config) *Tracker {
	t := &Tracker{cfg: cfg, core: NewCore(cfg.Tuning)}
	t.metrics = newMetrics(cfg.Metrics, t)
	return t
}

// OnReturning has a function called for each endpoint that returns after its connections
// had failed and at which another process may be, before it gets work again. It must be called
// before the tracker is used.
func (t *Tracker) OnReturning(f func(endpoint string)) { t.returning = f }

// SetBundle takes the endpoints of the bundle in force.
func (t *Tracker) SetBundle(b *bundle.Bundle) {
	places := make([]Place, 0, len(b.Endpoints))
	for _, e := range b.Endpoints {
		if e.Direct {
			continue // no agent speaks for it
		}
		places = append(places, Place{Endpoint: e.Name, VM: e.VM, Address: e.Address})
	}
	t.Learn(Bundle{Places: places})
}

// Learn takes an event in and applies what follows from it.
func (t *Tracker) Learn(ev Event) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.apply(now, t.core.Apply(now, ev))
}

// Answered implements dispatch.Observer. Reports of endpoints that the bundle
// names no more don't count either.
func (t *Tracker) Answered(endpoint string, clock wire.Clock, sent time.Time, report load.Report) bool {
	return t.hear(OwnWord{
		Endpoint: endpoint, Incarnation: clock.Incarnation, Seq: report.Seq,
		Leaving: report.Leaving, Via: ReasonReport, Sent: sent,
	})
}

// checked takes the answer to a health check.
func (t *Tracker) checked(endpoint string, clock wire.Clock, report load.Report) {
	t.hear(OwnWord{
		Endpoint: endpoint, Incarnation: clock.Incarnation, Seq: report.Seq,
		Leaving: report.Leaving, Via: ReasonCheck,
	})
}

func (t *Tracker) hear(word OwnWord) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.core.Counts(word) {
		return false
	}
	now := time.Now()
	t.apply(now, t.core.Apply(now, word))
	return true
}

// Failed implements dispatch.Observer.
func (t *Tracker) Failed(endpoint, incarnation string, sent bool) {
	result := Refused
	if sent {
		result = Broken
	}
	t.Learn(ConnectionResult{Endpoint: endpoint, Incarnation: incarnation, Result: result})
}

// probes takes note of the time and returns the endpoints to ask now.
func (t *Tracker) probes() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.apply(now, t.core.Tick(now))
	return t.core.Probes(now)
}

// apply brings changes to the pool, in their order. t.mu is held.
func (t *Tracker) apply(now time.Time, changes []Change) {
	for _, ch := range changes {
		t.applyOne(now, ch)
		t.metrics.changes.WithLabelValues(string(ch.To), string(ch.Reason)).Inc()
		t.cfg.Log.Info().Str("endpoint", ch.Endpoint).Str("from", string(ch.From)).
			Str("to", string(ch.To)).Str("reason", string(ch.Reason)).Msg("endpoint changed its state")
	}
}

func (t *Tracker) applyOne(now time.Time, ch Change) {
	pool := t.cfg.Pool
	switch {
	case ch.To == Gone && ch.Reason == ReasonBundle:
		pool.Forget(ch.Endpoint)
	case ch.Reason == ReasonRestarted:
		pool.Restart(now, ch.Endpoint)
	case ch.To == Live:
		if ch.MayBeNew && t.returning != nil {
			t.returning(ch.Endpoint)
		}
		pool.Return(now, ch.Endpoint)
	default:
		pool.SetLeaving(ch.Endpoint, !ch.To.takesWork())
		pool.SetSuspect(ch.Endpoint, ch.To == Suspect)
	}
}
