package attempts

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"coveferry/internal/bundle"
	"coveferry/internal/filters/dispatch"
	"coveferry/internal/filters/relay"
	"coveferry/internal/request"
	"coveferry/internal/retry"
	"coveferry/internal/runend"
	"coveferry/internal/wire"
)

// RunEnds waits until a request no longer runs at an endpoint, or that endpoint can't be reached.
// Production uses *runend.Checker.
type RunEnds interface {
	Wait(ctx context.Context, e *bundle.Endpoint, requestID string) (runend.Evidence, error)
}

// AwaitRunEnds has a stream go on at another endpoint only once it no longer runs at the one before. It
// must be called before the filter is used.
func (f *Filter) AwaitRunEnds(runs RunEnds) *Filter {
	f.runs = runs
	return f
}

// awaitRunEnd waits until a stream no longer runs at the endpoint of the latest attempt. It returns false
// if ctx ends before.
func (f *Filter) awaitRunEnd(ctx context.Context, r *request.Request, latestErr error) bool {
	if f.runs == nil || !mayStillRun(r, latestErr) {
		return true
	}
	began := time.Now()
	evidence, err := f.runs.Wait(ctx, r.Endpoint, r.CallerID)
	step := &r.Trail[len(r.Trail)-1]
	step.RunEnd, step.RunEndAfter = string(evidence), time.Since(began)
	return err == nil
}

// mayStillRun reports whether a stream may still run at the endpoint of the latest attempt: it was sent,
// and the endpoint neither refused it nor ended its answer.
func mayStillRun(r *request.Request, latestErr error) bool {
	if r.Kind != wire.KindRouted || !r.Stream || r.Arrival == request.ArrivalNotSent {
		return false
	}
	var answered *relay.EndpointError
	if errors.As(latestErr, &answered) || errors.Is(latestErr, dispatch.ErrUnreachable) {
		return false
	}
	outcome := classify(latestErr, false).outcome
	return outcome == retry.OutcomeRan || outcome == retry.OutcomeUnknown
}
