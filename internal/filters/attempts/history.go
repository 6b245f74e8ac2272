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
	// latest is how the latest attempt ended; last is that of the latest one
	// for which there was an endpoint, which says more.
	latest, last error
	// run is the most that any attempt did.
	run wire.Run
	// exhausted says that no endpoint was left for the latest attempt.
	exhausted bool
	// made counts the attempts since the request last came back to endpoints
	// that it had tried. One may ask two endpoints.
	made int
	// runs counts the attempts that ran or may have.
	runs int
	// returns counts how often endpoints were tried again.
	returns int
}

func newHistory() *history { return &history{run: wire.RunNot} }

// add notes how an attempt ended.
func (h *history) add(err error) {
	h.latest = err
	h.exhausted = errors.Is(err, choose.ErrNone)
	if h.exhausted && h.last != nil {
		return
	}
	h.last = err
	if h.exhausted {
		return // none was sent
	}
	h.made++
	outcome := judge(err, false).outcome
	if outcome != retry.OutcomeNotRun {
		h.runs++
	}
	switch outcome {
	case retry.OutcomeNotRun:
	case retry.OutcomeUnknown:
		if h.run == wire.RunNot {
			h.run = wire.RunUnknown
		}
	default:
		h.run = wire.RunYes
	}
}

// endAtLimit ends an answer of which only the end is missing.
func (h *history) endAtLimit(ctx context.Context, r *request.Request) (bool, error) {
	if h.last == nil || ctx.Err() != nil {
		return false, nil
	}
	ended, err := relay.EndAtLimit(r)
	if ended {
		note(r, h.latest, retry.Decision{Reason: retry.ReasonCompleted})
	}
	return ended, err
}

// result is the error that the caller is told: that of the last attempt, unless
// it says "not run" only of itself.
func (h *history) result() error {
	if h.last == nil || h.run == wire.RunNot || api.From(h.last).Run != wire.RunNot {
		return h.last
	}
	return &RanBeforeError{Run: h.run, Cause: h.last}
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
