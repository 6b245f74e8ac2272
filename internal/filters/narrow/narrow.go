// Package narrow restricts a request's candidates to this router's subset of the
// endpoints, so that a router connects to a bounded number of agents. It needs the
// candidates, so put it behind classify. Requests pinned to one endpoint go there even if
// it is outside the subset.
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

// New returns a filter that uses the selector's subsets.
func New(s *subset.Selector) *Filter { return &Filter{selector: s} }

// Name implements pipeline.Filter.
func (*Filter) Name() string { return "narrow" }

// Do restricts the request's candidates.
func (f *Filter) Do(ctx context.Context, r *request.Request, next pipeline.Next) error {
	r.Candidates = f.Candidates(r.Snapshot, r)
	return next(ctx, r)
}

// Latest returns this router's subset for the request from the current snapshot, or nil if
// the request keeps its initial snapshot.
func (f *Filter) Latest(r *request.Request) []*bundle.Endpoint {
	if r.LatestSnapshot == nil {
		return nil
	}
	return f.Candidates(r.LatestSnapshot(), r)
}

// Candidates returns this router's subset of a snapshot's endpoints for the request.
func (f *Filter) Candidates(s *bundle.Snapshot, r *request.Request) []*bundle.Endpoint {
	return f.selector.Select(s, string(r.Kind)+"/"+r.Model+r.Service, r.EndpointsIn(s))
}
