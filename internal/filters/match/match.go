// Package match finds the route of a request and applies the route's settings to it. It is
// the first filter of routed requests.
package match

import (
	"cmp"
	"context"
	"net/http"
	"net/url"
	"strings"
	"time"

	"coveferry/internal/age"
	"coveferry/internal/api"
	"coveferry/internal/bundle"
	"coveferry/internal/pipeline"
	"coveferry/internal/request"
	"coveferry/internal/route"
	"coveferry/internal/upstream"
	"coveferry/internal/wire"
)

// Error is a request that matches no route.
type Error struct{ Host, Path string }

// Error implements error.
func (e *Error) Error() string { return "match: no route for host " + e.Host + " and path " + e.Path }

// API implements api.Convertible.
func (e *Error) API() *api.Error {
	return &api.Error{
		Status: http.StatusNotFound, Type: api.TypeInvalid, Code: "no_route",
		Message: "no route answers for this host and path", Run: wire.RunNot,
	}
}

// TargetError is a request whose target no endpoint can be sent as it came.
type TargetError struct{ Cause error }

// Error implements error.
func (e *TargetError) Error() string { return "match: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *TargetError) Unwrap() error { return e.Cause }

// API implements api.Convertible.
func (e *TargetError) API() *api.Error {
	return &api.Error{
		Status: http.StatusBadRequest, Type: api.TypeInvalid, Code: "bad_target",
		Message: "the request's target can't be passed on unchanged", Run: wire.RunNot,
	}
}

// targetOf returns the URL that sends the request's target to an endpoint as it came.
func targetOf(r *request.Request) (*url.URL, error) {
	target, err := upstream.Target(r.RequestURI)
	if err == nil && r.Method == http.MethodConnect && target.ForceQuery {
		err = &upstream.TargetError{Target: r.RequestURI} // net/http would drop the query
	}
	if err != nil {
		return nil, &TargetError{err}
	}
	return target, nil
}

// retryAfterOutdated is the Retry-After sent while the table is outdated: about the time until the
// next read.
const retryAfterOutdated = 100 * time.Millisecond

// OutdatedError is a request that matches no route of a table too old to tell that there is none.
type OutdatedError struct {
	Host, Path string
	Age        age.Age
}

// Error implements error.
func (e *OutdatedError) Error() string {
	return "match: no route for host " + e.Host + " and path " + e.Path + ", by a table of age " + e.Age.String()
}

// API implements api.Convertible.
func (e *OutdatedError) API() *api.Error {
	return &api.Error{
		Status: http.StatusServiceUnavailable, Type: api.TypeUnavailable, Code: "routes_stale",
		Message: "this router knows no such route, but there may be one by now; another may know it",
		Run:     wire.RunNot, RetryAfter: retryAfterOutdated,
	}
}

// Endpoints lists the endpoints of a service.
type Endpoints func(service string) []*bundle.Endpoint

// Filter implements pipeline.Filter.
type Filter struct {
	protocol  upstream.Protocol
	endpoints Endpoints
	maxAge    func() time.Duration
	random    func() float64
}

// New returns a filter that reads request headers by the protocol. A table older than maxAge can't
// tell that there is no route; 0 means that any can. random returns numbers from [0, 1), which
// select among a route's weighted targets.
func New(p upstream.Protocol, endpoints Endpoints, maxAge func() time.Duration, random func() float64) *Filter {
	return &Filter{protocol: p, endpoints: endpoints, maxAge: maxAge, random: random}
}

// Name implements pipeline.Filter.
func (*Filter) Name() string { return "match" }

// Do sets the request's route and the fields that follow from it. Its errors are *Error,
// *OutdatedError and *TargetError.
func (f *Filter) Do(ctx context.Context, r *request.Request, next pipeline.Next) error {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	found := r.Routes.Table.Match(r.Host, path)
	if found == nil {
		return f.noRoute(r, path)
	}
	target, err := targetOf(r)
	if err != nil {
		return err
	}
	in := f.protocol.Incoming(r.Header)
	r.Route, r.Target = found, target
	r.CallerID = cmp.Or(in.ID, r.ID)
	r.APIKey = in.APIKey
	r.Prompt = in.Prompt
	r.Resumes, r.CallerTimeout = in.Resumes, in.CallerTimeout
	r.ResumedAfter, r.Delivered.Position.LastID = in.LastEvent, in.LastEvent
	r.Service = found.Pick(f.random())
	r.Stream = found.Stream
	r.Tier = max(0, found.Tier) // clamped: 0 is the highest rank
	r.NonIdempotent = !isIdempotent(r)
	r.MaxRuns = found.MaxRuns
	r.Deadline = r.Arrived.Add(requestTimeout(found.Timeout, in.CallerTimeout))
	r.Candidates = f.endpoints(r.Service)
	return next(ctx, r)
}

func (f *Filter) noRoute(r *request.Request, path string) error {
	if r.Routes.OlderThan(f.maxAge()) {
		return &OutdatedError{Host: r.Host, Path: path, Age: r.Routes.Age}
	}
	return &Error{Host: r.Host, Path: path}
}

// isIdempotent reports whether the request may run more than once. A stream may only if it
// is resumable, since the caller may have received part of it.
func isIdempotent(r *request.Request) bool {
	if r.Route.Stream {
		return r.Route.Resumable
	}
	return r.Route.Repeat == route.Idempotent
}

// requestTimeout returns the smaller of the route's and the caller's timeout, or the
// default if neither is set.
func requestTimeout(routeTimeout, callerTimeout time.Duration) time.Duration {
	switch {
	case routeTimeout <= 0 && callerTimeout <= 0:
		return DefaultTimeout
	case routeTimeout <= 0:
		return callerTimeout
	case callerTimeout <= 0:
		return routeTimeout
	}
	return min(routeTimeout, callerTimeout)
}

// DefaultTimeout applies if neither the route nor the caller sets a timeout. It is far
// longer than callers of interactive services wait.
const DefaultTimeout = time.Minute
