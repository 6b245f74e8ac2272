// Package pipeline runs a request through a chain of filters. A filter does one job and calls
// the next one, possibly several times (retries) or not at all (refusals).
package pipeline

import (
	"context"

	"coveferry/internal/request"
)

// Next runs the rest of the chain.
type Next func(ctx context.Context, r *request.Request) error

// Filter is one element of the chain.
type Filter interface {
	// Name is used in metrics and logs.
	Name() string
	// Do runs the filter. It returns an error of its own or the error of next.
	Do(ctx context.Context, r *request.Request, next Next) error
}

// Compose chains the filters; the first is the outermost.
func Compose(filters ...Filter) Next {
	next := func(context.Context, *request.Request) error { return nil }
	for i := len(filters) - 1; i >= 0; i-- {
		next = bind(filters[i], next)
	}
	return next
}

func bind(f Filter, next Next) Next {
	return func(ctx context.Context, r *request.Request) error {
		return f.Do(ctx, r, next)
	}
}
