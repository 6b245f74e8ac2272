// Package choose picks the endpoint of each attempt. It stands inside the
// filter attempts, so that a retry chooses anew and leaves out what was tried.
package choose

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"coveferry/internal/api"
	"coveferry/internal/balance"
	"coveferry/internal/bundle"
	"coveferry/internal/pipeline"
	"coveferry/internal/request"
	"coveferry/internal/wire"
)

// retryAfterNoEndpoint is when to come back if no endpoint can be used at all, which
// takes a change of the bundle or the return of an endpoint.
const retryAfterNoEndpoint = 5 * time.Second

// ErrNoEndpoint means that no endpoint is left for another attempt.
var ErrNoEndpoint = errors.New("choose: no endpoint may take the request")

// Error is a request for which there is no endpoint.
type Error struct{ Cause error }

// Error implements error.
func (e *Error) Error() string { return ErrNoEndpoint.Error() + ": " + e.Cause.Error() }

// Is makes errors.Is(err, ErrNone) true.
func (e *Error) Is(target error) bool { return target == ErrNoEndpoint }

// API implements api.Convertible.
func (e *Error) API() *api.Error {
	out := &api.Error{
		Status: http.StatusServiceUnavailable, Type: api.TypeUnavailable,
		Code: "no_endpoint", Message: "no endpoint can take the request now",
		Run: wire.RunNot, RetryAfter: retryAfterNoEndpoint,
	}
	if delay, limited := e.FreeIn(); limited {
		out.Type, out.Code = api.TypeOverloaded, "limited"
		out.Message = "overloaded: all endpoints have had the requests that they take a second"
		out.RetryAfter = max(minRetryAfter, delay)
	}
	return out
}

// FreeIn is when an endpoint takes the next request, where all would take it but for what
// they take a second; false if there is another reason.
func (e *Error) FreeIn() (time.Duration, bool) {
	var noEndpoint *balance.NoEndpointError
	if !errors.As(e.Cause, &noEndpoint) || noEndpoint.Bounded == 0 || noEndpoint.Bounded < noEndpoint.Candidates-noEndpoint.Leaving {
		return 0, false
	}
	return noEndpoint.FreeIn, true
}

// Filter implements pipeline.Filter.
type Filter struct {
	pool         *balance.Pool
	latest       Latest
	homeResolver *homeResolver // nil leaves keys out of account
	lateBinding  bool
	// refuseLateFactor is Config.RefuseLate.
	refuseLateFactor float64
}

// Latest lists the endpoints that may serve a request by now.
type Latest func(r *request.Request) []*bundle.Endpoint

// Config says how a Filter chooses.
type Config struct {
	Pool *balance.Pool
	// Latest lists the endpoints to choose among after a failed attempt; nil
	// leaves the request those that it began with.
	Latest Latest
	// IgnoreKeys sends requests with an idempotency key anywhere rather than
	// to the key's home, to compare.
	IgnoreKeys bool
	// LateBinding has a request wait at two endpoints where none is known to
	// have room, and run at the one that has room first.
	LateBinding bool
	// RefuseLate refuses a request whose answer would probably begin later
	// than its route's objective, times this factor; 0 refuses none. Where all
	// wait, all are late; refusing some at once lets the others be on time.
	RefuseLate float64
}

// New returns a filter that chooses from the pool.
func New(cfg Config) *Filter {
	f := &Filter{pool: cfg.Pool, latest: cfg.Latest, lateBinding: cfg.LateBinding, refuseLateFactor: cfg.RefuseLate}
	if !cfg.IgnoreKeys {
		f.homeResolver = &homeResolver{}
	}
	return f
}

// Name implements pipeline.Filter.
func (*Filter) Name() string { return "choose" }

// Do sets the request's endpoint.
func (f *Filter) Do(ctx context.Context, r *request.Request, next pipeline.Next) error {
	if r.Epoch > 1 {
		f.refresh(r)
	}
	if f.homeResolver != nil && !r.KeyIssued.IsZero() {
		return f.doPinned(ctx, r, next)
	}
	if err := f.choose(r); err != nil {
		return err
	}
	return next(ctx, r)
}

// choose sets the request's endpoint, or two where it may wait at both.
func (f *Filter) choose(r *request.Request) error {
	if r.Resume != nil {
		return f.resumeFromCopy(r)
	}
	query := balance.Request{Service: r.Service, Tier: r.Tier, Prefix: r.Prefix, Prompt: r.Prompt, Once: r.NonIdempotent, Again: len(r.Tried) > 0}
	if r.Route != nil {
		r.Stride = tokensPerEvent(r)
		query.MaxGap, query.Stride, query.Objective = r.Route.MaxGap, r.Stride, r.Route.Objective
		query.Tier = r.Table.Rank(r.Tier, r.Route.Tier)
		query.ColdRate = r.Table.Cold(r.Service).Rate
	}
	if r.Class != nil {
		query.Class = r.Class.Name
	}
	pair, err := f.pick(r, query)
	if err != nil {
		return &Error{Cause: err}
	}
	if err := f.checkWait(r, r.Wait-r.Read); err != nil {
		return err
	}
	r.Endpoint, r.Second = pair.First, pair.Second
	f.recordLimitPart(r)
	r.Tried = append(r.Tried, r.Endpoint.Name)
	if r.Second != nil {
		r.Tried = append(r.Tried, r.Second.Name)
	}
	return nil
}

// errCopyRateLimited is a copy at an endpoint that takes no further request now.
var errCopyRateLimited = errors.New("the endpoint that has the copy takes no further request now")

// resumeFromCopy has the request go on from the copy of its memory. An endpoint that takes so many
// requests a second is sent no more, also of these.
func (f *Filter) resumeFromCopy(r *request.Request) error {
	query := balance.Request{Tier: r.Table.Rank(r.Tier, r.Route.Tier), ColdRate: r.Table.Cold(r.Service).Rate}
	if !f.pool.Take(time.Now(), r.Resume, query) {
		return &Error{Cause: errCopyRateLimited}
	}
	r.Endpoint, r.Source, r.Copy = r.Resume, nil, nil
	f.recordLimitPart(r)
	r.Tried = append(r.Tried, r.Endpoint.Name)
	return nil
}

// recordLimitPart notes by which limit of its endpoint the attempt is sent, for the log.
func (f *Filter) recordLimitPart(r *request.Request) {
	if part, limited := f.pool.LimitOf(time.Now(), r.Endpoint); limited {
		r.LimitPart = part.String()
	}
}

// backsUpRuns says whether the service's engines copy the memory of runs.
func backsUpRuns(r *request.Request) bool {
	if r.Route == nil {
		return false
	}
	s := r.Table.Service(r.Service)
	return s != nil && s.Engine != nil && s.Engine.Backups
}

// tokensPerEvent is how many tokens an event holds, as the table says of the service.
func tokensPerEvent(r *request.Request) int {
	s := r.Table.Service(r.Service)
	if s == nil || s.Engine == nil {
		return 0
	}
	return s.Engine.Stride
}

func (f *Filter) pick(r *request.Request, query balance.Request) (balance.Pair, error) {
	if f.lateBinding && r.Kind != wire.KindService && r.Kind != wire.KindRouted {
		return f.pool.ChoosePair(time.Now(), query, r.Candidates, r.TriedEndpoint)
	}
	c, err := f.pool.ChooseExpecting(time.Now(), query, r.Candidates, r.TriedEndpoint)
	r.Read, r.Wait, r.Source, r.Copy, r.Tight = c.Read, c.Wait, c.Source, nil, c.Tight
	r.Kept = c.Kept
	if backsUpRuns(r) {
		r.Copy = c.Copy
	}
	return balance.Pair{First: c.Endpoint}, err
}

// refresh takes the endpoints of the bundle in force, since those that were
// there when the request arrived may have been replaced. All else stays by the
// bundle that the request began with. One that names no endpoint is passed over.
func (f *Filter) refresh(r *request.Request) {
	if f.latest == nil {
		return
	}
	if candidates := f.latest(r); len(candidates) > 0 {
		r.Candidates = candidates
	}
}
