package router

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"coveferry/internal/api"
	"coveferry/internal/filters/relay"
	"coveferry/internal/logging"
	"coveferry/internal/prompt"
	"coveferry/internal/request"
	"coveferry/internal/slo"
	"coveferry/internal/upstream"
	"coveferry/internal/wire"
)

// Values of the result label other than error codes.
const (
	resultComplete   = "complete"
	resultCallerGone = "caller_gone"
)

// metrics holds the router's Prometheus metrics.
type metrics struct {
	requests         *prometheus.CounterVec
	attempts         prometheus.Counter
	endpointsLost    prometheus.Counter
	limitAnswers     prometheus.Counter
	extraConnections prometheus.Counter
	endlessAnswers   *prometheus.CounterVec
	tokens           *prometheus.CounterVec
	firstToken       *prometheus.HistogramVec
	forecasts        forecastMetrics
}

func newMetrics(reg prometheus.Registerer) *metrics {
	m := &metrics{
		forecasts: newForecastMetrics(reg),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "coveferry_router_requests_total",
			Help: "Requests by class and by how they ended: complete, caller_gone, or the code of the error.",
		}, []string{"class", "result"}),
		attempts: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "coveferry_router_attempts_total",
			Help: "Attempts sent to agents.",
		}),
		endpointsLost: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "coveferry_router_endpoints_lost_total",
			Help: "Attempts that ended with the endpoint that they had reached: its connection broke, or its agent says that the engine did.",
		}),
		limitAnswers: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "coveferry_router_limit_answers_total",
			Help: "Attempts whose endpoint named in its answer how many requests a second it takes from all routers.",
		}),
		extraConnections: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "coveferry_router_connections_again_total",
			Help: "Connections beyond the first on which an attempt was sent to its endpoint.",
		}),
		endlessAnswers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "coveferry_router_endless_answers_total",
			Help: "Attempts whose answer was given up since a part of it has no end: head, event, comments, repeats or text.",
		}, []string{"part"}),
		tokens: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "coveferry_router_tokens_total",
			Help: "Tokens delivered to callers.",
		}, []string{"class"}),
		firstToken: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "coveferry_router_first_token_seconds",
			Help:    "Time from a request's arrival to its first token.",
			Buckets: prometheus.ExponentialBuckets(0.01, 2, 14),
		}, []string{"class"}),
	}
	if reg != nil {
		reg.MustRegister(m.requests, m.attempts, m.endpointsLost, m.limitAnswers, m.extraConnections, m.endlessAnswers, m.tokens, m.firstToken)
	}
	return m
}

// record counts and logs how a request ended.
func (rt *Router) record(r *request.Request, err error) {
	class, team := classAndTeam(r)
	if r.Route != nil {
		class = routeKind(r.Route)
	}
	result := resultOf(err)
	rt.metrics.requests.WithLabelValues(class, result).Inc()
	rt.metrics.attempts.Add(float64(len(r.Tried)))
	rt.metrics.endpointsLost.Add(float64(r.EndpointsLost))
	rt.metrics.limitAnswers.Add(float64(countLimitAnswers(r.Trail)))
	rt.metrics.extraConnections.Add(float64(countExtraConnections(r.Trail)))
	rt.countEndlessAnswers(r.Trail)
	if r.Delivered.Tokens > 0 {
		rt.metrics.tokens.WithLabelValues(class).Add(float64(r.Delivered.Tokens))
		rt.metrics.firstToken.WithLabelValues(class).Observe(r.Delivered.FirstToken.Sub(r.Arrived).Seconds())
	}
	rt.metrics.forecasts.record(r)
	if r.Kind == wire.KindRouted {
		rt.logRouted(r, err, result)
		return
	}
	rt.recordSLO(r, err)
	log := rt.cfg.Log.Debug().Err(err).Str("request", r.ID).Str("team", team).Str("class", class).
		Str("result", result).Stringers("trail", trailStringers(r)).Int("tokens", r.Delivered.Tokens).
		Dur("took", time.Since(r.Arrived))
	addLostEndpoints(log, r)
	log.Msg("request ended")
}

// countLimitAnswers counts the attempts whose endpoint stated a rate limit.
func countLimitAnswers(trail []request.Step) int {
	n := 0
	for _, step := range trail {
		if step.Signals.RateLimit.Kind != upstream.LimitNone {
			n++
		}
	}
	return n
}

func (rt *Router) countEndlessAnswers(trail []request.Step) {
	for _, step := range trail {
		if step.Endless != "" {
			rt.metrics.endlessAnswers.WithLabelValues(string(step.Endless)).Inc()
		}
	}
}

// countExtraConnections counts the connections beyond the first of each attempt.
func countExtraConnections(trail []request.Step) int {
	n := 0
	for _, step := range trail {
		n += max(0, step.Connections-1)
	}
	return n
}

// maxLoggedParts bounds the parts of a prompt in a log line.
const maxLoggedParts = 16

// addLostEndpoints logs the number of lost endpoints and what identifies the request at all
// routers: its identity, which is the same for each retry, and the parts of its prompt that other
// requests may share.
func addLostEndpoints(log *zerolog.Event, r *request.Request) {
	if r.EndpointsLost == 0 {
		return
	}
	log.Int("lost", r.EndpointsLost).Stringer(logging.FieldIdentity, r.Identity())
	if parts := r.Prompt.SharedParts(); len(parts) > 0 {
		log.Stringers("parts", loggable(parts))
	}
}

func loggable(parts []prompt.Part) []fmt.Stringer {
	texts := make([]fmt.Stringer, min(len(parts), maxLoggedParts))
	for i := range texts {
		texts[i] = parts[i]
	}
	return texts
}

// recordSLO counts the request towards the objective of its class. Requests that end before
// their class is known have no objective.
func (rt *Router) recordSLO(r *request.Request, err error) {
	if rt.cfg.SLO == nil || r.Class == nil {
		return
	}
	tier := r.Snapshot.Bundle().Tiers[r.Tier].Name
	rt.cfg.SLO.Record(slo.Key{Class: r.Class.Name, Tier: tier}, sloOutcome(r, err, time.Now()))
}

// sloOutcome returns how a request that ends now counts towards its objective.
func sloOutcome(r *request.Request, err error, now time.Time) slo.Outcome {
	first := r.Delivered.FirstToken
	if first.IsZero() { // an answer without tokens arrives when the request ends
		first = now
	}
	return slo.Outcome{
		FirstToken: first.Sub(r.Arrived),
		Target:     r.Class.FirstToken.Std(),
		Complete:   err == nil,
		Canceled:   resultOf(err) == resultCallerGone,
		Refused:    err != nil && api.From(err).Run == wire.RunNot,
	}
}

// classAndTeam returns empty strings for requests that ended before these were known.
func classAndTeam(r *request.Request) (class, team string) {
	if r.Class != nil {
		class = r.Class.Name
	}
	if r.Team != nil {
		team = r.Team.Name
	}
	return class, team
}

func resultOf(err error) string {
	var gone *relay.CallerError
	switch {
	case err == nil:
		return resultComplete
	case errors.As(err, &gone):
		return resultCallerGone
	default:
		return api.From(err).Code
	}
}

func trailStringers(r *request.Request) []fmt.Stringer {
	steps := make([]fmt.Stringer, len(r.Trail))
	for i, step := range r.Trail {
		steps[i] = step
	}
	return steps
}
