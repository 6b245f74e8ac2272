// Package match finds the route of a request and fills in what the route says
// of it. It is the first filter of routed requests.
package match

import (
	"cmp"
	"context"
	"net/http"
	"strings"
	"time"

	"coveferry/internal/api"
	"coveferry/internal/bundle"
	"coveferry/internal/pipeline"
	"coveferry/internal/request"
	"coveferry/internal/route"
	"coveferry/internal/upstream"
	"coveferry/internal/wire"
)

// Error is a request that no route answers for.
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

// Endpoints lists the endpoints of a service.
type Endpoints func(service string) []*bundle.Endpoint

// Filter implements pipeline.Filter.
type Filter struct {
	protocol  upstream.Protocol
	endpoints Endpoints
	random    func() float64
}

// New returns a filter that reads requests by the protocol. random returns
// numbers from [0, 1), by which a route's targets share its requests.
func New(p upstream.Protocol, endpoints Endpoints, random func() float64) *Filter {
	return &Filter{protocol: p, endpoints: endpoints, random: random}
}

// Name implements pipeline.Filter.
func (*Filter) Name() string { return "match" }

// Do fills the request in.
func (f *Filter) Do(ctx context.Context, r *request.Request, next pipeline.Next) error {
	path, _, _ := strings.Cut(r.Target, "?")
	found := r.Table.Match(r.Host, path)
	if found == nil {
		return &Error{Host: r.Host, Path: path}
	}
	in := f.protocol.Incoming(r.Header)
	r.Route = found
	r.CallerID = cmp.Or(in.ID, r.ID)
	r.Key = in.Key
	r.Prompt = in.Prompt
	r.Delivered.LastEvent = in.LastEvent
	r.Service = found.Pick(f.random())
	r.Stream = found.Stream
	r.Tier = max(0, found.Tier) // no rank is above the highest
	r.NonIdempotent = !isIdempotent(r)
	r.MaxRuns = found.MaxRuns
	r.Deadline = r.Arrived.Add(routeTimeout(found.Timeout, in.Patience))
	r.Candidates = f.endpoints(r.Service)
	return next(ctx, r)
}

// isIdempotent: a stream runs again only where it can be resumed, since the
// caller may hold a part of it.
func isIdempotent(r *request.Request) bool {
	if r.Route.Stream {
		return r.Route.Resumable
	}
	return r.Route.Repeat == route.Idempotent
}

// routeTimeout is how long the request may take: what the operator and the caller
// both allow. A route without a timeout, asked without a deadline, gets the
// default.
func routeTimeout(callerTimeout, caller time.Duration) time.Duration {
	switch {
	case callerTimeout <= 0 && caller <= 0:
		return defaultTimeout
	case callerTimeout <= 0:
		return caller
	case caller <= 0:
		return callerTimeout
	}
	return min(callerTimeout, caller)
}

// defaultTimeout bounds requests for which nobody states a time; it is far
// beyond what callers of interactive services wait.
const defaultTimeout = time.Minute
