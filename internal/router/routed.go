package router

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"coveferry/internal/api"
	"coveferry/internal/bundle"
	"coveferry/internal/filters/admit"
	"coveferry/internal/filters/attempts"
	"coveferry/internal/filters/choose"
	"coveferry/internal/filters/match"
	"coveferry/internal/filters/quarantine"
	"coveferry/internal/filters/relay"
	"coveferry/internal/filters/reside"
	"coveferry/internal/logging"
	"coveferry/internal/pipeline"
	"coveferry/internal/request"
	"coveferry/internal/route"
	"coveferry/internal/upstream"
	"coveferry/internal/wire"
)

// Routing has a router serve requests by a route table, from endpoints that it
// reaches without agents.
type Routing struct {
	// Table is the table in force, nil while there is none.
	Table     func() *route.Table
	Endpoints match.Endpoints
	// Region is that of an endpoint, empty if it isn't known; nil takes the endpoint's own.
	Region   func(*bundle.Endpoint) string
	Protocol upstream.Protocol
	// Client reaches endpoints.
	Client *http.Client
	// KeyAge is how old the knowledge of keys is, and MaxKeyAge the age up to
	// which keys are trusted; 0 trusts them always.
	KeyAge    func() time.Duration
	MaxKeyAge func() time.Duration
	// TurnAway says that callers are better served by other routers, such as
	// where this one will soon have to refuse their keys: their connections
	// close behind the next answer. nil is never.
	TurnAway func() bool
}

// routedRetryAfter is when the caller of a routed request that was refused may
// come back: by then a queue of a few requests has moved on, and it is short
// beside the objectives of interactive routes.
const routedRetryAfter = 100 * time.Millisecond

// refuseLate is how many times its objective the answer to a routed request may
// probably take to begin before the request is refused.
const refuseLate = 1.0

// Lines a second on requests that completed, and on those that didn't. Some
// hundred bytes each, they stay under 100 KB/s.
const (
	completedLines = 50
	endedLines     = 100
)

// regionOf tells the regions of endpoints.
func (c *Routing) regionOf() func(*bundle.Endpoint) string {
	if c.Region != nil {
		return c.Region
	}
	return func(e *bundle.Endpoint) string { return e.Region }
}

// routedPipe is the path of every routed request.
func (rt *Router) routedPipe() pipeline.Next {
	c := rt.cfg.Routing
	rt.direct = rt.dispatch(rt.cfg.Client)
	regions := reside.New(c.regionOf())
	return pipeline.Compose(
		match.New(c.Protocol, c.Endpoints, rt.cfg.Rand),             // which route does it take?
		admit.New(admit.Config{Age: c.KeyAge, MaxAge: c.MaxKeyAge}), // may its key use the route?
		regions, // where may it be served?
		attempts.New(rt.cfg.Retry, rt.cfg.Rand).ResumeOnlyAt(rt.cfg.Pool.AcceptsWork), // repeat the rest where that is safe
		rt.quarantine(), // did endpoints end under it?
		choose.New(choose.Config{ // which endpoint?
			Pool: rt.cfg.Pool, IgnoreKeys: true, RefuseLateFactor: refuseLate,
			Latest: func(r *request.Request) []*bundle.Endpoint { return regions.Allowed(r, c.Endpoints(r.Service)) },
		}),
		rt.direct,      // send it there
		relay.Filter{}, // pass the answer on
	)
}

// LeaveSilent has the streams at endpoints that are taken for lost go on from their copies,
// those that have one at an endpoint in use. Nothing is done without Routing.
func (rt *Router) LeaveSilent(endpoints []string) {
	if rt.direct == nil {
		return
	}
	inUse := func(endpoint string) bool { return rt.cfg.Pool.Usable(time.Now(), endpoint) }
	for _, endpoint := range endpoints {
		if left := rt.direct.CancelCopiedRuns(endpoint, inUse); left > 0 {
			rt.cfg.Log.Info().Str(logging.FieldEndpoint, endpoint).Int("streams", left).
				Msg("endpoint is silent: streams there go on from their copies")
		}
	}
}

// ServeRouted answers a request by the route table.
func (rt *Router) ServeRouted(w http.ResponseWriter, req *http.Request) {
	rt.serve(w, req, &request.Request{
		Kind:   wire.KindRouted,
		Method: req.Method,
		Host:   req.Host,
		Target: req.RequestURI,
		Table:  rt.cfg.Routing.Table(),
	})
}

// notReadyError is a request that came before the first route table.
type notReadyError struct{}

func (notReadyError) Error() string { return "router: no route table yet" }

// API implements api.Convertible.
func (notReadyError) API() *api.Error {
	return &api.Error{
		Status: http.StatusServiceUnavailable, Type: api.TypeUnavailable, Code: "not_ready",
		Message: "this router has just started and knows no routes yet", Run: wire.RunNot,
		RetryAfter: routedRetryAfter,
	}
}

// answerRouted tells the caller of a routed request how it ended.
func answerRouted(r *request.Request, err error) {
	if r.Delivered.Started {
		panic(http.ErrAbortHandler) // the only sign that the answer isn't whole
	}
	var answer *relay.EndpointError
	if errors.As(err, &answer) {
		_ = answer.Write(r.Writer) // the caller may have left
		return
	}
	out := *api.From(err)
	out.RequestID = r.ID
	out.Fractions = true
	out.Status = honestStatus(out.Status, out.Run)
	if out.Run == wire.RunNot && out.RetryAfter > 0 && !knowsWhen(err) {
		out.RetryAfter = min(out.RetryAfter, routedRetryAfter)
	}
	out.Write(r.Writer)
}

// knowsWhen says whether the refusal's own time to come back is the best guess.
func knowsWhen(err error) bool {
	var late *choose.LateError
	var held *quarantine.QuarantinedError
	var none *choose.Error
	if errors.As(err, &none) {
		_, known := none.AvailableIn()
		return known
	}
	return errors.As(err, &late) || errors.As(err, &held)
}

// honestStatus keeps those statuses which callers take for the promise that a
// request didn't run from requests of which that isn't certain.
func honestStatus(status int, run wire.Run) int {
	if run == wire.RunNot {
		return status
	}
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests,
		http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return http.StatusBadGateway
	}
	return status
}

// logRouted writes the one line that explains how a routed request ended: what
// was decided, by which inputs and how old they were. Lines of requests that
// went well are the first to be left out under load.
func (rt *Router) logRouted(r *request.Request, err error, result string) {
	log := rt.ended.Info()
	if err == nil {
		log = rt.completed.Info()
	}
	log.Err(err).Str(logging.FieldRequest, r.CallerID).Str("route", routeName(r)).
		Str(logging.FieldResult, result).Uint64("version", versionOf(r.Table)).
		Dur("key_age", rt.cfg.Routing.KeyAge()).Dur(logging.FieldTook, time.Since(r.Arrived))
	if r.Route != nil {
		logChoice(log, r)
	}
	log.Msg("request ended")
}

// logChoice adds what the choice of endpoints rested on and what came of it.
func logChoice(log *zerolog.Event, r *request.Request) {
	log.Str(logging.FieldTeam, r.TeamName).Int(logging.FieldTier, r.Tier).
		Int("candidates", len(r.Candidates)).Array("attempts", trailArray(r.Trail)).
		Dur("left", time.Until(r.Deadline)).Dur("first", firstAfter(r))
	logLost(log, r)
	if r.Prompt.Tokens > 0 {
		log.Uint64("home", r.Prompt.Home()).Int("prompt", r.Prompt.Tokens).Bool("tight", r.Tight).Int("kept", r.Kept).
			Dur("expected", r.Wait).Dur("max_gap", r.Delivered.MaxGap).Int("output", r.Prompt.Output)
	}
	if r.Copy != nil {
		log.Str("copy", r.Copy.Name)
	}
}

// kindOf names the kind of a route, by which requests are counted: there may be
// hundreds of routes, and they change.
func kindOf(r *route.Route) string {
	switch {
	case r.Stream && r.Resumable:
		return "resumable_stream"
	case r.Stream:
		return "stream"
	case r.Repeat == route.Idempotent:
		return "idempotent"
	}
	return "non_idempotent"
}

// firstAfter is the time from a request's arrival to the first part of its
// answer, 0 if there was none.
func firstAfter(r *request.Request) time.Duration {
	if r.Delivered.FirstToken.IsZero() {
		return 0
	}
	return r.Delivered.FirstToken.Sub(r.Arrived)
}

func routeName(r *request.Request) string {
	if r.Route == nil {
		return ""
	}
	return r.Route.Name
}

func versionOf(t *route.Table) uint64 {
	if t == nil {
		return 0
	}
	return t.Version()
}

// trailArray logs a request's attempts without making a list of strings first.
type trailArray []request.Step

// MarshalZerologArray implements zerolog.LogArrayMarshaler.
func (t trailArray) MarshalZerologArray(a *zerolog.Array) {
	for _, step := range t {
		a.Str(step.String())
	}
}
