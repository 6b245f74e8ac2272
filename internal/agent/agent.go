// Package agent implements the sidecar process of an endpoint. It owns the
// endpoint's queue: it admits or refuses attempts sent by routers, schedules and
// preempts them, relays the engine's answers and reports how each attempt
// ended. The agent must be the only client that sends requests to its engine.
package agent

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"coveferry/internal/clock"
	"coveferry/internal/sched"
	"coveferry/internal/server"
	"coveferry/internal/wire"
)

// Config configures an Agent.
type Config struct {
	Endpoint string // name of the endpoint in the bundle
	Engine   Engine
	Policy   sched.Policy
	// MaxBody bounds the body of one attempt, in bytes.
	MaxBody int64
	Log     zerolog.Logger
	Metrics prometheus.Registerer
	// Client sends requests to the engine; if nil, the agent creates one.
	Client *http.Client
	// Clock is used to check deadlines immediately before a request is sent
	// to the engine; nil means clock.Boot.
	Clock clock.Clock
	// Keys configures the tracking of idempotency keys.
	Keys Keys
}

// Agent serves attempts from routers at one endpoint.
type Agent struct {
	cfg     Config
	queue   *queue
	engine  *engineClient
	metrics *metrics
	keys    *keys
	// incarnation distinguishes this process's clock readings from those of
	// earlier runs of the agent.
	incarnation string
	maxBody     atomic.Int64
}

// New returns an agent whose Handler can serve at once.
func New(cfg Config) *Agent {
	if cfg.Client == nil {
		cfg.Client = server.NewClient(nil, nil)
	}
	if cfg.Clock == nil {
		cfg.Clock = clock.Boot
	}
	ag := &Agent{
		cfg:     cfg,
		queue:   newQueue(cfg.Policy, cfg.Clock),
		engine:  &engineClient{engine: cfg.Engine, http: cfg.Client},
		metrics: newMetrics(cfg.Metrics),
		keys:    newKeys(cfg.Keys, cfg.Metrics),

		incarnation: uuid.NewString(),
	}
	ag.maxBody.Store(cfg.MaxBody)
	return ag
}

// Leave makes the agent refuse new and queued attempts, so that their routers
// send them to other endpoints. Running attempts continue.
func (ag *Agent) Leave() { ag.queue.leave() }

// HandOver ends the running attempts that routers can resume at other endpoints
// from the text already delivered. It returns the number of these attempts, and
// the number that remain because they can't run twice or can't be resumed.
func (ag *Agent) HandOver() (moved, remaining int) { return ag.queue.handOver() }

// Handler returns the HTTP handler for requests of routers and other agents.
func (ag *Agent) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.PathAttempts, ag.serveAttempt)
	mux.HandleFunc("POST "+wire.PathAgree, ag.serveAgree)
	mux.HandleFunc("GET "+wire.PathStatus, ag.serveStatus)
	return mux
}

func (ag *Agent) serveAttempt(w http.ResponseWriter, r *http.Request) {
	if fromAgent(r) {
		http.Error(w, "attempts come from routers", http.StatusForbidden)
		return
	}
	a, refusal := ag.parseAttempt(w, r)
	if refusal != nil {
		ag.sendRefusal(w, http.StatusBadRequest, refusal)
		return
	}
	if refusal := ag.checkAttempt(a); refusal != nil {
		ag.sendRefusal(w, http.StatusServiceUnavailable, refusal)
		return
	}
	ctx, cancel := context.WithDeadlineCause(r.Context(), a.deadline, errDeadline)
	defer cancel()
	process := ag.process
	if ag.needsKeyCheck(a) {
		process = ag.processKeyed
	}
	ending, refusal := process(ctx, a)
	ag.record(a, ending, refusal)
	if refusal != nil {
		ag.sendRefusal(w, http.StatusServiceUnavailable, refusal)
		return
	}
	ag.sendEnd(a, ending)
}

// checkAttempt refuses attempts that this agent must not queue at all.
func (ag *Agent) checkAttempt(a *attempt) *wire.Refusal {
	switch {
	case !ag.cfg.Clock().Before(a.clockDeadline):
		return &wire.Refusal{Reason: wire.ReasonStale, Run: wire.RunNot}
	case a.env.Endpoint != ag.cfg.Endpoint:
		return &wire.Refusal{Reason: wire.ReasonWrongEndpoint, Run: wire.RunNot}
	case ag.queue.isLeaving():
		return &wire.Refusal{Reason: wire.ReasonLeaving, Run: wire.RunNot}
	}
	return nil
}

// parseAttempt reads an attempt's envelope. readBody reads its body later.
func (ag *Agent) parseAttempt(w http.ResponseWriter, r *http.Request) (*attempt, *wire.Refusal) {
	a := &attempt{w: w, contentType: r.Header.Get("Content-Type")}
	if err := wire.Decode(r.Header, wire.HeaderEnvelope, &a.env); err != nil {
		return nil, badAttempt(err)
	}
	if err := a.env.Validate(); err != nil {
		return nil, badAttempt(err)
	}
	remaining := ag.remainingTime(&a.env)
	a.deadline = time.Now().Add(remaining)
	a.clockDeadline = ag.cfg.Clock().Add(remaining)
	if r.ContentLength < 0 || r.ContentLength > ag.maxBody.Load() {
		return nil, badAttempt(errors.Newf("a body's length must be told and at most %d bytes", ag.maxBody.Load()))
	}
	a.size = int(r.ContentLength)
	a.bodyReader = http.MaxBytesReader(w, r.Body, ag.maxBody.Load())
	return a, nil
}

// readBody reads the attempt's body, once, when the attempt is about to run.
// Until then the router withholds it. A router whose request is queued at two
// endpoints sends the body to the first that reads it, so that the request
// can't run at the other.
func (a *attempt) readBody() error {
	if a.bodyReader == nil {
		return nil
	}
	body, err := io.ReadAll(a.bodyReader)
	if err != nil {
		return errors.Mark(err, errWithdrawn)
	}
	a.bodyReader = nil
	a.body = body
	return nil
}

func badAttempt(err error) *wire.Refusal {
	return &wire.Refusal{Reason: wire.ReasonBadEnvelope, Run: wire.RunNot, EngineBody: err.Error()}
}

func (ag *Agent) sendRefusal(w http.ResponseWriter, status int, refusal *wire.Refusal) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	_ = wire.Encode(h, wire.HeaderLoad, ag.queue.loadReport()) // a report always encodes
	_ = wire.Encode(h, wire.HeaderClock, ag.clockReading())    // a clock reading always encodes
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(refusal) // the router may have disconnected
}

// sendEnd sends the trailer of a relayed answer.
func (ag *Agent) sendEnd(a *attempt, ending wire.Ending) {
	end := wire.End{Ending: ending, Tokens: a.progress.tokens, Load: ag.queue.loadReport()}
	_ = wire.Encode(a.w.Header(), wire.HeaderEnd, end) // strings and integers always encode
}

func (ag *Agent) record(a *attempt, ending wire.Ending, refusal *wire.Refusal) {
	event := ag.cfg.Log.Debug()
	reason := string(ending)
	if refusal != nil {
		reason = refusal.Reason
		ag.metrics.refused.WithLabelValues(a.env.Class, reason).Inc()
	} else {
		ag.metrics.ended.WithLabelValues(a.env.Class, reason).Inc()
	}
	ag.metrics.tokens.Add(float64(a.progress.tokens))
	event.Str("request", a.env.Request).Int("epoch", a.env.Epoch).Str("team", a.env.Team).
		Str("class", a.env.Class).Str("ending", reason).Int("tokens", a.progress.tokens).
		Msg("attempt ended")
}
