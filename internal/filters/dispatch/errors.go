package dispatch

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"coveferry/internal/api"
	"coveferry/internal/sched"
	"coveferry/internal/wire"
)

// retryAfterDown is the minimum Retry-After after an endpoint failed or refused an
// attempt.
const retryAfterDown = time.Second

// RefusedError is an agent's refusal of an attempt.
type RefusedError struct {
	wire.Refusal
	// LacksRoom is set if an endpoint without an agent refused the attempt with a 503.
	LacksRoom bool
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("dispatch: the agent refused the attempt: %s (%s)", e.Reason, e.Run)
}

// API implements api.Convertible.
func (e *RefusedError) API() *api.Error {
	out := &api.Error{
		Status: http.StatusServiceUnavailable, Type: api.TypeUnavailable,
		Code: e.Reason, Message: "the endpoint can't take the request now",
		Run: e.Run, RetryAfter: max(e.RetryAfter(), retryAfterDown),
	}
	switch sched.Reason(e.Reason) {
	case sched.ReasonQueueFull, sched.ReasonDisplaced, sched.ReasonTooLate:
		out.Status = http.StatusTooManyRequests
		out.Type = api.TypeOverloaded
		out.Message = "overloaded: the answer could not come in time for this tier"
	case sched.ReasonExpired:
		out.Status = http.StatusGatewayTimeout
		out.Type = api.TypeTimeout
		out.Message = "the deadline passed while the request waited"
	}
	switch e.Reason {
	case wire.ReasonEngineRefused:
		out.Status = e.EngineStatus
		out.Type = api.TypeInvalid
		out.Message = "the engine refused the request: " + e.EngineBody
		out.RetryAfter = 0
	case wire.ReasonEngineFailed:
		out.Status = http.StatusBadGateway
		out.Type = api.TypeUpstream
		out.Message = "the engine failed before it answered"
	}
	return out
}

// NoResponseError is an attempt that ended without a valid response of its endpoint.
type NoResponseError struct {
	// Sent reports whether a connection was established, so the attempt may have run.
	Sent  bool
	Cause error
}

// notSent returns the error of an attempt whose request can't be made, as for an endpoint whose address is
// no valid part of a URL.
func notSent(cause error) error {
	return &NoResponseError{Cause: errors.Wrap(cause, "make the attempt's request")}
}

// Error implements error.
func (e *NoResponseError) Error() string {
	return fmt.Sprintf("dispatch: no answer (sent: %t): %v", e.Sent, e.Cause)
}

// Unwrap returns the cause.
func (e *NoResponseError) Unwrap() error { return e.Cause }

// Run reports whether the attempt ran: not if no connection was established, otherwise
// unknown.
func (e *NoResponseError) Run() wire.Run {
	if e.Sent {
		return wire.RunUnknown
	}
	return wire.RunNot
}

// API implements api.Convertible.
func (e *NoResponseError) API() *api.Error {
	out := &api.Error{
		Status: http.StatusBadGateway, Type: api.TypeUpstream,
		Code: "endpoint_lost", Message: "the connection to the endpoint broke; the request may have run",
		Run: e.Run(),
	}
	if !e.Sent {
		out.Status = http.StatusServiceUnavailable
		out.Message = "the endpoint can't be reached"
		out.RetryAfter = retryAfterDown
	}
	return out
}

// ExpiredError is an attempt that was not sent because the deadline had passed.
type ExpiredError struct{}

// Error implements error.
func (*ExpiredError) Error() string { return "dispatch: the deadline had passed" }

// API implements api.Convertible.
func (*ExpiredError) API() *api.Error {
	return &api.Error{
		Status: http.StatusGatewayTimeout, Type: api.TypeTimeout, Code: "deadline",
		Message: "the deadline passed before an endpoint was asked", Run: wire.RunNot,
	}
}
