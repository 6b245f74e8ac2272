package quarantine

import (
	"context"

	"coveferry/internal/pipeline"
	"coveferry/internal/request"
)

// Filter implements pipeline.Filter.
type Filter struct{}

// Name implements pipeline.Filter.
func (Filter) Name() string { return "quarantine" }

// Do notes whether the attempt ended with its endpoint. Its error is that of the rest of
// the pipe.
func (Filter) Do(ctx context.Context, r *request.Request, next pipeline.Next) error {
	err := next(ctx, r)
	if ctx.Err() == nil && endpointLost(err) {
		r.Lost++
	}
	return err
}
