// Package reside enforces data residency: it restricts requests to endpoints in the
// regions that their route and team allow. It needs the team, so put it behind admit.
package reside

import (
	"context"
	"net/http"
	"slices"

	"coveferry/internal/api"
	"coveferry/internal/bundle"
	"coveferry/internal/pipeline"
	"coveferry/internal/request"
	"coveferry/internal/wire"
)

// Error is a request for which no endpoint is in an allowed region.
type Error struct {
	Route, Team string
}

// Error implements error.
func (e *Error) Error() string {
	return "reside: no endpoint is in a region in which route " + e.Route + " and team " + e.Team + " may be served"
}

// API implements api.Convertible. There is no Retry-After: the error persists until the
// operator changes the allowed regions or the endpoints in them.
func (e *Error) API() *api.Error {
	return &api.Error{
		Status: http.StatusServiceUnavailable, Type: api.TypeUnavailable, Code: "no_region",
		Message: "no endpoint is in a region in which this request may be served", Run: wire.RunNot,
	}
}

// Filter implements pipeline.Filter.
type Filter struct {
	region func(*bundle.Endpoint) string
}

// New returns a filter. region returns the region of an endpoint, or "" if unknown.
func New(region func(*bundle.Endpoint) string) *Filter { return &Filter{region: region} }

// Name implements pipeline.Filter.
func (*Filter) Name() string { return "reside" }

// Do restricts the candidates to those in allowed regions. Its error is an *Error.
func (f *Filter) Do(ctx context.Context, r *request.Request, next pipeline.Next) error {
	if !isRestricted(r) {
		return next(ctx, r)
	}
	r.Candidates = f.Allowed(r, r.Candidates)
	if len(r.Candidates) == 0 {
		return &Error{Route: r.Route.Name, Team: r.TeamName}
	}
	return next(ctx, r)
}

// Allowed returns the endpoints whose region the request's route and team allow.
func (f *Filter) Allowed(r *request.Request, endpoints []*bundle.Endpoint) []*bundle.Endpoint {
	if !isRestricted(r) {
		return endpoints
	}
	return slices.DeleteFunc(slices.Clone(endpoints), func(e *bundle.Endpoint) bool {
		region := f.region(e)
		return !r.Route.Residency.Allows(region) || !r.TeamResidency.Allows(region)
	})
}

func isRestricted(r *request.Request) bool { return r.Route.Residency != nil || r.TeamResidency != nil }
