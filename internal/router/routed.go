package router

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"coveferry/internal/api"
	"coveferry/internal/bundle"
	"coveferry/internal/eventstream"
	"coveferry/internal/fairshare"
	"coveferry/internal/filters/admit"
	"coveferry/internal/filters/attempts"
	"coveferry/internal/filters/choose"
	"coveferry/internal/filters/match"
	"coveferry/internal/filters/quarantine"
	"coveferry/internal/filters/relay"
	"coveferry/internal/filters/reside"
	"coveferry/internal/filters/resume"
	"coveferry/internal/filters/wait"
	"coveferry/internal/logging"
	"coveferry/internal/pipeline"
	"coveferry/internal/request"
	"coveferry/internal/route"
	"coveferry/internal/upstream"
	"coveferry/internal/wire"
)

// Routing configures a router to serve requests by a route table from endpoints that it reaches
// without agents.
type Routing struct {
	// Routes returns the route table in force and how old it is.
	Routes    func() route.Snapshot
	Endpoints match.Endpoints
	// Region returns an endpoint's region, empty if unknown; nil uses Endpoint.Region.
	Region   func(*bundle.Endpoint) string
	Protocol upstream.Protocol
	// Client sends requests to endpoints.
	Client *http.Client
	// ProcessAlive confirms the end of answers that end with their connections; nil takes none for whole.
	ProcessAlive relay.ProcessAlive
	// RunEnds has a stream go on at another endpoint only once it no longer runs at the one before; nil takes
	// the end of its connection for the end of the run.
	RunEnds attempts.RunEnds
	// MaxKeyAge is the age of the route table above which requests that need a key, or whose route it
	// doesn't have, are refused as not run; 0 accepts any age.
	MaxKeyAge func() time.Duration
	// Streams knows where streams began; nil if endpoints have no software versions.
	Streams resume.Streams
	// FleetSize returns the number of routers that send requests to the same endpoints; nil means
	// only this one.
	FleetSize func() int
	// AdmitWaiting is wait.Config.Admit.
	AdmitWaiting func(r *request.Request, pressure float64) error
	// ShouldCloseConnections reports whether callers are better served by other routers, for example
	// because this one will soon have to refuse their keys. Their connections close after the
	// next answer. nil means never.
	ShouldCloseConnections func() bool
	// Shares shares capacity between teams where it is short; nil shares nothing.
	Shares *fairshare.Ledger
}

// routedRetryAfter is the Retry-After of refused routed requests. Within 100 ms a queue of a
// few requests has advanced, and it is short compared with the objectives of interactive
// routes.
const routedRetryAfter = 100 * time.Millisecond

// refuseLateFactor is the expected wait for other requests, as a multiple of the longest
// objective of the service, above which a routed request is refused.
const refuseLateFactor = 1.0

// Log lines per second for completed and for failed requests. At a few hundred bytes per line
// they stay below 100 KB/s.
const (
	completedLinesPerSecond = 50
	failedLinesPerSecond    = 100
)

// regionOf returns the function that determines an endpoint's region.
func (c *Routing) regionOf() func(*bundle.Endpoint) string {
	if c.Region != nil {
		return c.Region
	}
	return func(e *bundle.Endpoint) string { return e.Region }
}

// routedFilterChain returns the filter chain of routed requests.
func (rt *Router) routedFilterChain() pipeline.Next {
	c := rt.cfg.Routing
	rt.directDispatch = rt.dispatch(rt.cfg.Client)
	regions := reside.New(c.regionOf())
	quarantined := rt.quarantine()
	return pipeline.Compose(
		match.New(c.Protocol, c.Endpoints, c.MaxKeyAge, rt.cfg.Rand), // selects the route
		admit.New(c.MaxKeyAge),                             // checks the API key
		resume.New(c.Streams, c.Endpoints, rt.cfg.Metrics), // binds resumed streams to the version that began them
		regions,         // applies residency
		choose.Settle{}, // corrects what teams were charged
		attempts.New(rt.cfg.Retry, rt.cfg.Rand).ResumeOnlyAt(rt.cfg.Pool).AwaitRunEnds(c.RunEnds), // retries where that is safe
		rt.wait(quarantined), // holds requests back while their service has no capacity
		quarantined,          // refuses quarantined requests
		choose.New(choose.Config{ // selects the endpoint
			Pool: rt.cfg.Pool, IgnoreKeys: true, RefuseLateFactor: refuseLateFactor, Shares: c.Shares, Metrics: rt.cfg.Metrics,
			Latest: func(r *request.Request) []*bundle.Endpoint { return regions.Allowed(r, c.Endpoints(r.Service)) },
		}),
		rt.directDispatch, // sends the request
		relay.Filter{ // relays the answer
			ProcessAlive: c.ProcessAlive, Numbering: eventstream.NewNumbering(), Metrics: relay.NewMetrics(rt.cfg.Metrics),
		},
	)
}

// wait returns the filter that holds requests back. It comes before the quarantine filter, which takes
// the time when a request is sent and has to know of crashes while the request waited, and asks it
// before a request waits.
func (rt *Router) wait(quarantined *quarantine.Filter) *wait.Filter {
	c := rt.cfg.Routing
	return wait.New(wait.Config{
		Pool: rt.cfg.Pool, Endpoints: c.Endpoints, FleetSize: c.FleetSize, Admit: c.AdmitWaiting,
		CheckBeforeWaiting: quarantined.CheckBeforeWaiting,
		Stopping:           rt.drain.sendCtx.Done(),
		Rand:               rt.cfg.Rand, Metrics: rt.cfg.Metrics,
	})
}

// HasCopiedRuns reports whether an endpoint has streams of this router whose run has a copy elsewhere.
// Without Routing it has none.
func (rt *Router) HasCopiedRuns(endpoint string) bool {
	return rt.directDispatch != nil && rt.directDispatch.HasCopiedRuns(endpoint)
}

// ResumeFromCopies cancels those streams at an endpoint that can't be reached whose run has a copy at a
// usable endpoint, so that they resume from it. It must not be called without Routing.
func (rt *Router) ResumeFromCopies(endpoint string) {
	inUse := func(endpoint string) bool { return rt.cfg.Pool.Usable(time.Now(), endpoint) }
	if canceled := rt.directDispatch.CancelCopiedRuns(endpoint, inUse); canceled > 0 {
		rt.cfg.Log.Info().Str(logging.FieldEndpoint, endpoint).Int("streams", canceled).
			Msg("endpoint can't be reached: resuming its streams from their copies")
	}
}

// ServeRouted serves a request by the route table.
func (rt *Router) ServeRouted(w http.ResponseWriter, req *http.Request) {
	rt.serve(w, req, &request.Request{
		Kind:       wire.KindRouted,
		Method:     req.Method,
		Host:       req.Host,
		RequestURI: req.RequestURI,
		Routes:     rt.cfg.Routing.Routes(),
	})
}

// notReadyError is returned for requests that arrive before the first route table.
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

// answerRouted writes a routed request's error to the caller.
func (rt *Router) answerRouted(r *request.Request, err error) {
	if r.Delivered.Started {
		panic(http.ErrAbortHandler) // the only way to show that the answer is incomplete
	}
	var answer *relay.EndpointError
	if errors.As(err, &answer) {
		_ = answer.Write(r.Writer) // the caller may have disconnected
		return
	}
	out := *api.From(err)
	out.RequestID = r.ID
	out.FractionalRetryAfter = true
	out.Status = safeStatus(out.Status, out.Run)
	if out.Run == wire.RunNot && out.RetryAfter > 0 && !hasOwnRetryAfter(err) {
		// The endpoints that the request was sent to may be the last that asked for backoff.
		out.RetryAfter = max(min(out.RetryAfter, routedRetryAfter), rt.cfg.Pool.AvailableIn(time.Now(), r.Candidates))
	}
	out.Write(r.Writer)
}

// hasOwnRetryAfter reports whether the error's own retry time is more accurate than
// routedRetryAfter.
func hasOwnRetryAfter(err error) bool {
	var late *choose.LateError
	var share *choose.ShareError
	var quarantined *quarantine.QuarantinedError
	var noCapacity *wait.RefusedError
	var noEndpoint *choose.Error
	var unknownStream *resume.UnknownError
	if errors.As(err, &noEndpoint) {
		_, known := noEndpoint.AvailableIn()
		return known
	}
	return errors.As(err, &late) || errors.As(err, &share) || errors.As(err, &noCapacity) || errors.As(err, &quarantined) ||
		errors.As(err, &unknownStream)
}

// safeStatus replaces statuses that callers take as a guarantee that the request didn't run,
// unless that is certain.
func safeStatus(status int, run wire.Run) int {
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

// logRouted writes the log line that explains how a routed request ended: the decisions, their
// inputs and the inputs' age. The attempts come early in the line, for readers that get only its
// beginning. Under load, lines of requests that were served at the first attempt are dropped first.
func (rt *Router) logRouted(r *request.Request, err error, result string) {
	log := rt.failedLog.Info()
	if err == nil && len(r.Trail) <= 1 {
		log = rt.completedLog.Info()
	}
	log.Str(logging.FieldRequest, r.CallerID).Str(logging.FieldResult, result).
		Array("attempts", trailArray(r.Trail)).Err(err).
		Str("route", routeName(r)).Uint64("version", versionOf(r.Routes.Table)).
		Dur(logging.FieldTook, time.Since(r.Arrived))
	if keyAge, known := r.Routes.Age.Get(); known {
		log.Dur("key_age", keyAge)
	}
	if r.Routes.ConfirmedBy != "" {
		log.Str("keys_by", r.Routes.ConfirmedBy)
	}
	if r.Route != nil {
		addSelection(log, r)
	}
	log.Msg("request ended")
}

// addSelection logs the inputs of the endpoint selection and its results.
func addSelection(log *zerolog.Event, r *request.Request) {
	log.Str(logging.FieldTeam, r.TeamName).Int(logging.FieldTier, r.Tier).
		Int("candidates", len(r.Candidates)).
		Dur("left", time.Until(r.Deadline)).Dur("first", timeToFirstPart(r))
	addLostEndpoints(log, r)
	addWithheld(log, r)
	addWait(log, r)
	addResumption(log, r)
	if r.Share.Limiting {
		log.Float64("team_load", r.Share.Load).Float64("fair_level", r.Share.Level)
	}
	if r.Prompt.Tokens > 0 {
		log.Uint64("home", r.Prompt.SharedPrefixID()).Int("prompt", r.Prompt.Tokens).Bool("tight", r.TightGap).Int("kept", r.TightGapEndpoints).
			Dur("expected", r.ExpectedWait).Dur("max_gap", r.Delivered.MaxGap).Int("output", r.Prompt.ExpectedOutput)
	}
	if r.CopyTo != nil {
		log.Str("copy", r.CopyTo.Name)
	}
}

// addWait logs how the request waited for capacity.
func addWait(log *zerolog.Event, r *request.Request) {
	if r.Wait != (request.Wait{}) {
		log.Dur("waited", r.Wait.Waited).Float64("limit", r.Wait.Limit).Int("position", r.Wait.Position)
	}
}

// addResumption logs which stream a request resumes, and after which event.
func addResumption(log *zerolog.Event, r *request.Request) {
	if r.Resumes != "" {
		log.Str("resumes", r.Resumes)
	}
	if r.ResumedAfter != "" {
		log.Str("resumed_after", r.ResumedAfter)
	}
	if r.Resumption.Evidence != "" {
		log.Str("begun_at", *r.StreamVersion).Str("known_by", r.Resumption.Evidence).Dur("known_for", r.Resumption.Age)
	}
}

// addWithheld logs which candidates got nothing because of what they said of themselves.
func addWithheld(log *zerolog.Event, r *request.Request) {
	if len(r.BackingOff) > 0 {
		log.Strs("backing_off", r.BackingOff)
	}
	if r.Leaving > 0 {
		log.Int("leaving", r.Leaving)
	}
}

// routeKind returns the kind of a route. Requests are counted by kind because there may be
// hundreds of routes, and they change.
func routeKind(r *route.Route) string {
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

// timeToFirstPart is the time from the request's arrival to the first part of its answer; 0 if
// there was none.
func timeToFirstPart(r *request.Request) time.Duration {
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

// trailArray logs a request's attempts without first allocating a slice of strings.
type trailArray []request.Step

// MarshalZerologArray implements zerolog.LogArrayMarshaler.
func (t trailArray) MarshalZerologArray(a *zerolog.Array) {
	for _, step := range t {
		a.Str(step.String())
	}
}
