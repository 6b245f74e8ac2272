package attempts

import (
	"github.com/cockroachdb/errors"

	"coveferry/internal/filters/choose"
	"coveferry/internal/filters/dispatch"
	"coveferry/internal/filters/quarantine"
	"coveferry/internal/filters/relay"
	"coveferry/internal/filters/wait"
	"coveferry/internal/retry"
	"coveferry/internal/sched"
	"coveferry/internal/wire"
)

// reasonFinal is recorded if no other endpoint could do better.
const reasonFinal retry.Reason = "final"

// reasonQuarantined is recorded if endpoints were lost while running the request.
const reasonQuarantined retry.Reason = "quarantined"

// reasonVersion is recorded if no endpoint has the version that began the stream.
const reasonVersion retry.Reason = "version"

// classification is what an attempt's error implies for a retry.
type classification struct {
	outcome retry.Outcome
	// final reports that no other endpoint could do better.
	final  bool
	reason retry.Reason
	// budgetExempt reports that the failure is no sign of overload, so a retry isn't
	// charged to the budget.
	budgetExempt bool
	// overloaded reports that the endpoint refused the attempt for lack of capacity.
	overloaded bool
}

// classify classifies the error of an attempt. delivered reports whether the caller has
// received part of the response.
func classify(err error, delivered bool) classification {
	var refused *dispatch.RefusedError
	var noResponse *dispatch.NoResponseError
	var broken *relay.BrokenError
	var endpointErr *relay.EndpointError
	var expired *dispatch.ExpiredError
	var pinned *choose.PinnedError
	var late *choose.LateError
	var share *choose.ShareError
	var noCapacity *wait.RefusedError
	var quarantined *quarantine.QuarantinedError
	switch {
	case err == nil:
		return classification{outcome: retry.OutcomeCompleted}
	case errors.As(err, &pinned):
		return classification{outcome: outcomeForRun(pinned.Run()), final: true, reason: reasonFinal}
	case errors.As(err, &late), errors.As(err, &share), errors.As(err, &noCapacity):
		return classification{outcome: retry.OutcomeNotRun, final: true, reason: retry.ReasonOverload}
	case errors.As(err, &quarantined):
		return classification{outcome: retry.OutcomeNotRun, final: true, reason: reasonQuarantined}
	case errors.As(err, &refused):
		return classifyRefusal(refused, delivered)
	case errors.As(err, &expired):
		return classification{outcome: retry.OutcomeNotRun, final: true, reason: retry.ReasonDeadline}
	case errors.As(err, &noResponse):
		return classification{outcome: outcomeForRun(noResponse.Run()), budgetExempt: !noResponse.Sent}
	case errors.As(err, &endpointErr):
		return classification{outcome: retry.OutcomeRan}
	case errors.As(err, &broken):
		return classifyBroken(broken)
	default:
		return classification{outcome: retry.OutcomeUnknown, final: true, reason: reasonFinal}
	}
}

func classifyRefusal(e *dispatch.RefusedError, delivered bool) classification {
	c := classification{outcome: outcomeForRun(e.Run)}
	switch e.Reason {
	case wire.ReasonEngineRefused:
		// A refused continuation may still be accepted by another engine.
		if !delivered {
			c.final = true
			c.reason = reasonFinal
		}
	case string(wire.EndingExpired):
		c.final = true
		c.reason = retry.ReasonDeadline
	case wire.ReasonLeaving, wire.ReasonStale, wire.ReasonWrongEndpoint, wire.ReasonEngineDown:
		c.budgetExempt = true
	case string(sched.ReasonQueueFull), string(sched.ReasonTooLate), string(sched.ReasonDisplaced):
		c.overloaded = true
	}
	return c
}

func classifyBroken(e *relay.BrokenError) classification {
	c := classification{outcome: retry.OutcomeRan, budgetExempt: e.Ending == wire.EndingLeaving}
	if e.Ending == wire.EndingExpired {
		c.final = true
		c.reason = retry.ReasonDeadline
	}
	return c
}

func outcomeForRun(run wire.Run) retry.Outcome {
	switch run {
	case wire.RunNot:
		return retry.OutcomeNotRun
	case wire.RunYes:
		return retry.OutcomeRan
	default:
		return retry.OutcomeUnknown
	}
}
