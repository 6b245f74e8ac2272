package agent

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"coveferry/internal/wire"
)

// errPreempted is the cause with which a running job is stopped for a higher
// tier.
var errPreempted = errors.New("preempted by a higher tier")

// errDeadline is the cause with which a job is stopped at its deadline.
var errDeadline = errors.New("the deadline passed")

// errLeaving is the cause with which a job is stopped so that its router sends it
// to another endpoint.
var errLeaving = errors.New("the endpoint is leaving")

// errWithdrawn: the router withheld the body because another endpoint read it
// first, or the router disconnected.
var errWithdrawn = errors.New("the router withdrew the request")

// errCutOff: the engine's answer ended without a final chunk.
var errCutOff = errors.New("the engine's answer was cut off")

// errStalled: the engine stopped sending tokens in the middle of an answer.
var errStalled = errors.New("the engine stalled")

// errRelay: writing to the router failed.
var errRelay = errors.New("the router disconnected")

// errKeyMoved: the agent can no longer guarantee that the attempt's key runs at
// most once.
var errKeyMoved = errors.New("the key's home has changed")

// engineError is a failure of the engine before its answer began.
type engineError struct {
	Reason string // one of wire's reasons
	Status int
	Body   string
	Cause  error
}

func (e *engineError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("%s: %v", e.Reason, e.Cause)
	}
	return fmt.Sprintf("%s: status %d", e.Reason, e.Status)
}

func (e *engineError) Unwrap() error { return e.Cause }

// refusal returns the error as a Refusal. The caller sets Run.
func (e *engineError) refusal() wire.Refusal {
	return wire.Refusal{Reason: e.Reason, EngineStatus: e.Status, EngineBody: e.Body}
}
