// Package choose selects the endpoint of each attempt by load balancing. It runs inside
// the attempts filter, so each retry selects again and skips endpoints already tried.
package choose

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"coveferry/internal/api"
	"coveferry/internal/balance"
	"coveferry/internal/bundle"
	"coveferry/internal/fairshare"
	"coveferry/internal/pipeline"
	"coveferry/internal/request"
	"coveferry/internal/wire"
)

// retryAfterNoEndpoint is the Retry-After sent if no endpoint is usable at all. That
// changes only with a new bundle or when an endpoint returns to service.
const retryAfterNoEndpoint = 5 * time.Second

// ErrNoEndpoint means that no endpoint is left for another attempt.
var ErrNoEndpoint = errors.New("choose: no endpoint may take the request")

// Error reports that no endpoint can serve the request.
type Error struct{ Cause error }

// Error implements error.
func (e *Error) Error() string { return ErrNoEndpoint.Error() + ": " + e.Cause.Error() }

// Is makes errors.Is(err, ErrNoEndpoint) true.
func (e *Error) Is(target error) bool { return target == ErrNoEndpoint }

// Unwrap returns why.
func (e *Error) Unwrap() error { return e.Cause }

// API implements api.Convertible.
func (e *Error) API() *api.Error {
	out := &api.Error{
		Status: http.StatusServiceUnavailable, Type: api.TypeUnavailable,
		Code: "no_endpoint", Message: "no endpoint can take the request now",
		Run: wire.RunNot, RetryAfter: retryAfterNoEndpoint,
	}
	var noVersion *VersionError
	if errors.As(e.Cause, &noVersion) {
		out.Code, out.Message = "no_version", "no endpoint has the software version that began the stream"
		if noVersion.Gone { // not a refusal that invites the caller to come back with the same stream
			out.Status, out.Type, out.RetryAfter = http.StatusBadGateway, api.TypeUpstream, 0
			out.Message += " any more; begin it anew, without the ID of an event"
		}
	}
	if delay, limited := e.AvailableIn(); limited {
		out.Type, out.Code = api.TypeOverloaded, "limited"
		out.Message = "overloaded: all endpoints have had the requests that they take now"
		out.RetryAfter = max(minRetryAfter, delay)
	}
	return out
}

// AvailableIn returns the time until an endpoint accepts the next request, if rate limits
// and backoffs of the endpoints are the only reason for the error. Otherwise it returns
// false.
func (e *Error) AvailableIn() (time.Duration, bool) {
	var noEndpoint *balance.NoEndpointError
	if !errors.As(e.Cause, &noEndpoint) {
		return 0, false
	}
	temporary := noEndpoint.RateLimited + noEndpoint.BackingOff
	if temporary == 0 || temporary < noEndpoint.Candidates-noEndpoint.Leaving {
		return 0, false
	}
	return noEndpoint.AvailableIn, true
}

// Filter implements pipeline.Filter.
type Filter struct {
	pool         *balance.Pool
	latest       Latest
	homeResolver *homeResolver // nil ignores idempotency keys
	lateBinding  bool
	// refuseLateFactor is Config.RefuseLateFactor.
	refuseLateFactor float64
	shares           *fairshare.Ledger // nil shares nothing
	refusals         *refusalMetrics
}

// Latest lists the endpoints that may serve a request at the time of the call.
type Latest func(r *request.Request) []*bundle.Endpoint

// Config configures a Filter.
type Config struct {
	Pool *balance.Pool
	// Latest lists the candidates after a failed attempt. If nil, the request keeps its
	// initial candidates.
	Latest Latest
	// IgnoreKeys routes requests with an idempotency key to any endpoint instead of the
	// key's home. It serves as the baseline in comparisons.
	IgnoreKeys bool
	// LateBinding queues a request at two endpoints if no endpoint is known to have free
	// capacity. The endpoint that is free first runs it.
	LateBinding bool
	// RefuseLateFactor refuses a request whose expected wait for other requests exceeds
	// the longest objective of its service times this factor; 0 refuses none. If all
	// requests wait in an overload, all of them miss the objective. Refusing some early
	// keeps the others on time.
	RefuseLateFactor float64
	// Shares decides which teams' requests are refused while capacity is short, where the route
	// table lists teams; nil refuses none.
	Shares *fairshare.Ledger
	// Metrics may be nil.
	Metrics prometheus.Registerer
}

// New returns a filter that selects endpoints from the pool.
func New(cfg Config) *Filter {
	f := &Filter{pool: cfg.Pool, latest: cfg.Latest, lateBinding: cfg.LateBinding, refuseLateFactor: cfg.RefuseLateFactor, shares: cfg.Shares}
	if cfg.Shares != nil {
		f.refusals = newRefusalMetrics(cfg.Metrics)
	}
	if !cfg.IgnoreKeys {
		f.homeResolver = &homeResolver{}
	}
	return f
}

// Name implements pipeline.Filter.
func (*Filter) Name() string { return "choose" }

// Do sets the request's endpoint.
func (f *Filter) Do(ctx context.Context, r *request.Request, next pipeline.Next) error {
	if r.Epoch > 1 || r.Wait.Waited > 0 {
		f.refresh(r)
	}
	if f.homeResolver != nil && !r.KeyIssued.IsZero() {
		return f.doPinned(ctx, r, next)
	}
	if err := f.keepToVersion(r); err != nil {
		return &Error{Cause: err}
	}
	if err := f.choose(r); err != nil {
		return err
	}
	return next(ctx, r)
}

// choose sets the request's endpoint, or both endpoints with late binding.
func (f *Filter) choose(r *request.Request) error {
	if r.ResumeFrom != nil {
		return f.resumeFromCopy(r)
	}
	query := balance.Request{Service: r.Service, Tier: r.Tier, Prefix: r.Prefix, Prompt: r.Prompt, AtMostOnce: r.NonIdempotent, Retry: len(r.Tried) > 0, Subset: r.StreamVersion != nil}
	if r.Route != nil {
		r.TokensPerEvent = tokensPerEvent(r)
		query.MaxGap, query.Stride, query.Objective = r.Route.MaxGap, r.TokensPerEvent, r.Route.Objective
		query.Tier = r.Routes.Table.Rank(r.Tier, r.Route.Tier)
		query.ColdRate = r.Routes.Table.Cold(r.Service).Rate
		query.TimeLeft = timeLeft(r)
	}
	if r.Class != nil {
		query.Class = r.Class.Name
	}
	pair, err := f.pick(r, query)
	if err != nil {
		return &Error{Cause: err}
	}
	if err := f.checkOverload(r, query.Tier); err != nil {
		return err
	}
	r.Endpoint, r.SecondEndpoint = pair.First, pair.Second
	f.recordLimitPart(r)
	r.Tried = append(r.Tried, r.Endpoint.Name)
	if r.SecondEndpoint != nil {
		r.Tried = append(r.Tried, r.SecondEndpoint.Name)
	}
	return nil
}

// timeLeft returns the time until the caller's deadline, 0 if there is none or it is past.
func timeLeft(r *request.Request) time.Duration {
	if r.Deadline.IsZero() {
		return 0
	}
	return max(0, time.Until(r.Deadline))
}

// errCopyRateLimited means that the endpoint with the KV cache copy is at its rate limit.
var errCopyRateLimited = errors.New("the endpoint that has the copy takes no further request now")

// resumeFromCopy sends the request to the endpoint that holds a copy of its KV cache. The
// endpoint's rate limit applies to these attempts as well.
func (f *Filter) resumeFromCopy(r *request.Request) error {
	query := balance.Request{Tier: r.Routes.Table.Rank(r.Tier, r.Route.Tier), ColdRate: r.Routes.Table.Cold(r.Service).Rate}
	if !f.pool.Take(time.Now(), r.ResumeFrom, query) {
		return &Error{Cause: errCopyRateLimited}
	}
	r.Endpoint, r.FetchFrom, r.CopyTo = r.ResumeFrom, nil, nil
	f.recordLimitPart(r)
	r.Tried = append(r.Tried, r.Endpoint.Name)
	return nil
}

// recordLimitPart records for the log which share of the endpoint's rate limit the attempt is
// charged to.
func (f *Filter) recordLimitPart(r *request.Request) {
	if part, limited := f.pool.LimitOf(time.Now(), r.Endpoint); limited {
		r.LimitPart = part.String()
	}
}

// copiesKVCache reports whether the service's engines copy the KV cache of running requests.
func copiesKVCache(r *request.Request) bool {
	if r.Route == nil {
		return false
	}
	s := r.Routes.Table.Service(r.Service)
	return s != nil && s.Engine != nil && s.Engine.Backups
}

// tokensPerEvent returns the number of tokens per event that the route table states for
// the service, or 0 if unknown.
func tokensPerEvent(r *request.Request) int {
	s := r.Routes.Table.Service(r.Service)
	if s == nil || s.Engine == nil {
		return 0
	}
	return s.Engine.Stride
}

func (f *Filter) pick(r *request.Request, query balance.Request) (balance.Pair, error) {
	if f.lateBinding && r.Kind != wire.KindService && r.Kind != wire.KindRouted {
		return f.pool.ChoosePair(time.Now(), query, r.Candidates, r.TriedEndpoint)
	}
	c, err := f.pool.ChooseWithEstimates(time.Now(), query, r.Candidates, r.TriedEndpoint)
	r.PrefillTime, r.ExpectedWait, r.FetchFrom, r.CopyTo, r.TightGap = c.PrefillTime, c.Wait, c.FetchFrom, nil, c.TightGap
	r.TightGapEndpoints, r.SecondsPerOutputToken, r.Forecast = c.DedicatedEndpoints, c.SecondsPerOutputToken, c.Forecast
	r.BackingOff, r.Leaving = f.describeBackoffs(r, c.BackingOff), c.Leaving
	if copiesKVCache(r) {
		r.CopyTo = c.CopyTo
	}
	return balance.Pair{First: c.Endpoint}, err
}

// maxLoggedBackoffs bounds the endpoints that one log line describes.
const maxLoggedBackoffs = 3

// describeBackoffs describes, for the log, up to maxLoggedBackoffs of the given number of
// candidates that asked this router to back off.
func (f *Filter) describeBackoffs(r *request.Request, backingOff int) []string {
	if backingOff == 0 {
		return nil
	}
	var texts []string
	for _, e := range r.Candidates {
		use, found := f.pool.BackoffOf(time.Now(), e.Name)
		if !found {
			continue
		}
		if len(texts) == maxLoggedBackoffs {
			return append(texts, "and others")
		}
		texts = append(texts, e.Name+": "+use.String())
	}
	return texts
}

// refresh replaces the candidates by the endpoints of the current bundle, since the
// initial ones may have been replaced. All other settings stay those of the bundle that
// the request began with. If the current bundle has no endpoint for the request, the
// candidates are kept.
func (f *Filter) refresh(r *request.Request) {
	if f.latest == nil {
		return
	}
	if candidates := f.latest(r); len(candidates) > 0 {
		r.Candidates = candidates
	}
}
