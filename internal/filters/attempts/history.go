package attempts

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	"coveferry/internal/api"
	"coveferry/internal/filters/choose"
	"coveferry/internal/filters/relay"
	"coveferry/internal/request"
	"coveferry/internal/retry"
	"coveferry/internal/wire"
)

// history summarizes the attempts of one request so far.
type history struct {
	// latestErr is the error of the latest attempt. resultErr is the error for the caller:
	// that of the latest attempt, or if no endpoint was left for it, that of the last one
	// that had an endpoint, if any.
	latestErr, resultErr error
	// runStatus is the strongest statement of all attempts on whether the request ran.
	runStatus wire.Run
	// exhausted reports that no endpoint was left for the latest attempt.
	exhausted bool
	// attemptsInRound counts the attempts since the latest revisit. An attempt at a pair
	// of endpoints counts once.
	attemptsInRound int
	// possibleRuns counts the attempts that ran or may have run.
	possibleRuns int
	// revisits counts the rounds of retries at endpoints already tried.
	revisits int
}

func newHistory() *history { return &history{runStatus: wire.RunNot} }

// add records the result of an attempt.
func (h *history) add(err error) {
	h.latestErr = err
	h.exhausted = errors.Is(err, choose.ErrNoEndpoint)
	if h.exhausted && h.resultErr != nil {
		return
	}
	h.resultErr = err
	if h.exhausted {
		return // nothing was sent
	}
	h.attemptsInRound++
	outcome := classify(err, false).outcome
	if outcome != retry.OutcomeNotRun {
		h.possibleRuns++
	}
	switch outcome {
	case retry.OutcomeNotRun:
	case retry.OutcomeUnknown:
		if h.runStatus == wire.RunNot {
			h.runStatus = wire.RunUnknown
		}
	default:
		h.runStatus = wire.RunYes
	}
}

// completeAtTokenLimit completes a response that has all its tokens and lacks only the end
// marker.
func (h *history) completeAtTokenLimit(ctx context.Context, r *request.Request) (bool, error) {
	if h.resultErr == nil || ctx.Err() != nil {
		return false, nil
	}
	ended, err := relay.EndAtLimit(r)
	if ended {
		appendTrail(r, h.latestErr, retry.Decision{Reason: retry.ReasonCompleted})
	}
	return ended, err
}

// result returns the error for the caller: that of the last attempt, with the run status
// of an earlier attempt if that one ran or may have run and the last one didn't.
func (h *history) result() error {
	if h.resultErr == nil || h.runStatus == wire.RunNot || api.From(h.resultErr).Run != wire.RunNot {
		return h.resultErr
	}
	return &RanBeforeError{Run: h.runStatus, Cause: h.resultErr}
}

// RanBeforeError is the error of a request whose last attempt didn't run while an earlier
// one did or may have.
type RanBeforeError struct {
	Run   wire.Run
	Cause error
}

// Error implements error.
func (e *RanBeforeError) Error() string {
	return "attempts: after an attempt that was " + string(e.Run) + ": " + e.Cause.Error()
}

// Unwrap returns the error of the last attempt.
func (e *RanBeforeError) Unwrap() error { return e.Cause }

// API implements api.Convertible.
func (e *RanBeforeError) API() *api.Error {
	out := api.From(e.Cause)
	out.Run = e.Run
	if out.Type == api.TypeInvalid { // the engine rejected the router's continuation, not the caller's request
		out.Status, out.Type, out.Code = http.StatusBadGateway, api.TypeUpstream, "answer_cut_off"
		out.Message = "the endpoint failed before the answer was whole, and no other could go on"
	}
	return out
}
