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

// history is what the attempts of one request came to so far.
type history struct {
	// latestErr is how the latestErr attempt ended; lastSentErr is that of the latestErr one
	// for which there was an endpoint, which says more.
	latestErr, lastSentErr error
	// mostRun is the most that any attempt did.
	mostRun wire.Run
	// exhausted says that no endpoint was left for the latest attempt.
	exhausted bool
	// attemptsInRound counts the attempts since the request last came back to endpoints
	// that it had tried. One may ask two endpoints.
	attemptsInRound int
	// possibleRuns counts the attempts that ran or may have.
	possibleRuns int
	// revisits counts how often endpoints were tried again.
	revisits int
}

func newHistory() *history { return &history{mostRun: wire.RunNot} }

// add notes how an attempt ended.
func (h *history) add(err error) {
	h.latestErr = err
	h.exhausted = errors.Is(err, choose.ErrNoEndpoint)
	if h.exhausted && h.lastSentErr != nil {
		return
	}
	h.lastSentErr = err
	if h.exhausted {
		return // none was sent
	}
	h.attemptsInRound++
	outcome := classify(err, false).outcome
	if outcome != retry.OutcomeNotRun {
		h.possibleRuns++
	}
	switch outcome {
	case retry.OutcomeNotRun:
	case retry.OutcomeUnknown:
		if h.mostRun == wire.RunNot {
			h.mostRun = wire.RunUnknown
		}
	default:
		h.mostRun = wire.RunYes
	}
}

// completeAtTokenLimit ends an answer of which only the end is missing.
func (h *history) completeAtTokenLimit(ctx context.Context, r *request.Request) (bool, error) {
	if h.lastSentErr == nil || ctx.Err() != nil {
		return false, nil
	}
	ended, err := relay.EndAtLimit(r)
	if ended {
		appendTrail(r, h.latestErr, retry.Decision{Reason: retry.ReasonCompleted})
	}
	return ended, err
}

// result is the error that the caller is told: that of the last attempt, unless
// it says "not run" only of itself.
func (h *history) result() error {
	if h.lastSentErr == nil || h.mostRun == wire.RunNot || api.From(h.lastSentErr).Run != wire.RunNot {
		return h.lastSentErr
	}
	return &RanBeforeError{Run: h.mostRun, Cause: h.lastSentErr}
}

// RanBeforeError is a request whose last attempt didn't run, while an earlier
// one did, or may have.
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
	if out.Type == api.TypeInvalid { // what was wrong is the router's continuation, not the call
		out.Status, out.Type, out.Code = http.StatusBadGateway, api.TypeUpstream, "answer_cut_off"
		out.Message = "the endpoint failed before the answer was whole, and no other could go on"
	}
	return out
}
