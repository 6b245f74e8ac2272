package attempts

import (
	"github.com/cockroachdb/errors"

	"coveferry/internal/filters/choose"
	"coveferry/internal/filters/dispatch"
	"coveferry/internal/filters/quarantine"
	"coveferry/internal/filters/relay"
	"coveferry/internal/retry"
	"coveferry/internal/sched"
	"coveferry/internal/wire"
)

// reasonFinal is noted where no other endpoint could do better.
const reasonFinal retry.Reason = "final"

// reasonQuarantined is noted where endpoints ended under the request.
const reasonQuarantined retry.Reason = "quarantined"

// judgement is what an attempt's error says of it.
type judgement struct {
	outcome retry.Outcome
	// final says that no other endpoint could do better.
	final  bool
	reason retry.Reason
	// free says that the load is not to blame.
	free bool
	// overloaded says that the endpoint had no room.
	overloaded bool
}

// judge turns the error that an attempt ended with. held says that the caller
// holds a part of the answer.
func judge(err error, held bool) judgement {
	var refused *dispatch.RefusedError
	var lost *dispatch.LostError
	var brk *relay.BrokenError
	var answer *relay.AnswerError
	var expired *dispatch.ExpiredError
	var pinned *choose.PinnedError
	var late *choose.LateError
	var quarantined *quarantine.HeldError
	switch {
	case err == nil:
		return judgement{outcome: retry.OutcomeCompleted}
	case errors.As(err, &pinned):
		return judgement{outcome: outcomeOf(pinned.Run()), final: true, reason: reasonFinal}
	case errors.As(err, &late):
		return judgement{outcome: retry.OutcomeNotRun, final: true, reason: retry.ReasonOverload}
	case errors.As(err, &quarantined):
		return judgement{outcome: retry.OutcomeNotRun, final: true, reason: reasonQuarantined}
	case errors.As(err, &refused):
		return judgeRefusal(refused, held)
	case errors.As(err, &expired):
		return judgement{outcome: retry.OutcomeNotRun, final: true, reason: retry.ReasonDeadline}
	case errors.As(err, &lost):
		return judgement{outcome: outcomeOf(lost.Run()), free: !lost.Sent}
	case errors.As(err, &answer):
		return judgement{outcome: retry.OutcomeRan}
	case errors.As(err, &brk):
		return judgeBroken(brk)
	default:
		return judgement{outcome: retry.OutcomeUnknown, final: true, reason: reasonFinal}
	}
}

func judgeRefusal(e *dispatch.RefusedError, held bool) judgement {
	j := judgement{outcome: outcomeOf(e.Run)}
	switch e.Reason {
	case wire.ReasonEngineSaysNo:
		// What an engine says of a continuation doesn't hold for another one.
		if !held {
			j.final = true
			j.reason = reasonFinal
		}
	case string(wire.EndingExpired):
		j.final = true
		j.reason = retry.ReasonDeadline
	case wire.ReasonLeaving, wire.ReasonStale, wire.ReasonNotHere, wire.ReasonEngineDown:
		j.free = true
	case string(sched.ReasonQueueFull), string(sched.ReasonTooLate), string(sched.ReasonDisplaced):
		j.overloaded = true
	}
	return j
}

func judgeBroken(e *relay.BrokenError) judgement {
	j := judgement{outcome: retry.OutcomeRan, free: e.Ending == wire.EndingLeaving}
	if e.Ending == wire.EndingExpired {
		j.final = true
		j.reason = retry.ReasonDeadline
	}
	return j
}

func outcomeOf(run wire.Run) retry.Outcome {
	switch run {
	case wire.RunNot:
		return retry.OutcomeNotRun
	case wire.RunYes:
		return retry.OutcomeRan
	default:
		return retry.OutcomeUnknown
	}
}
