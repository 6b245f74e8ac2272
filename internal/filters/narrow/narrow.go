// Package narrow leaves a request only the endpoints that this router uses, so
// that a router talks with a bounded number of agents. It needs the candidates,
// so put it behind classify. Requests that are pinned to one endpoint go there
// whether or not it is among them.
package narrow

import (
	"context"

	"coveferry/internal/bundle"
	"coveferry/internal/pipeline"
	"coveferry/internal/request"
	"coveferry/internal/subset"
)

// Filter implements pipeline.Filter.
type Filter struct{ selector *subset.Selector }

// New returns a filter that uses the selector's endpoints.
func New(s *subset.Selector) *Filter { return &Filter{selector: s} }

// Name implements pipeline.Filter.
func (*Filter) Name() string { return "narrow" }

// Do narrows the request's candidates.
func (f *Filter) Do(ctx context.Context, r *request.Request, next pipeline.Next) error {
	r.Candidates = f.Candidates(r.Snapshot, r)
	return next(ctx, r)
}

// Latest are the endpoints of the snapshot in force that this router uses for
// the request; none if the request keeps the snapshot that it began with.
func (f *Filter) Latest(r *request.Request) []*bundle.Endpoint {
	if r.Latest == nil {
		return nil
	}
	return f.Candidates(r.Latest(), r)
}

// Candidates are the endpoints of a snapshot that this router uses for the
// request.
func (f *Filter) Candidates(s *bundle.Snapshot, r *request.Request) []*bundle.Endpoint {
	return f.selector.Of(s, string(r.Kind)+"/"+r.Model+r.Service, r.EndpointsIn(s))
}
