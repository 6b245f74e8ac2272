// Package retry decides what follows an attempt that didn't complete: another
// endpoint, or the caller is told. It holds the budget that keeps retries from
// feeding an overload. Time and randomness are handed in.
package retry

// Outcome is what is known of an attempt after it ended.
type Outcome uint8

// The outcomes of an attempt. Only an agent's own word makes OutcomeNotRun: a
// timeout or a reset connection after the request went out is OutcomeUnknown.
const (
	// OutcomeCompleted: the whole answer arrived.
	OutcomeCompleted Outcome = iota
	// OutcomeNotRun: the request didn't run and will not.
	OutcomeNotRun
	// OutcomeRan: the request ran, in part at least, without a whole answer.
	OutcomeRan
	// OutcomeUnknown: it may have run, or may run yet.
	OutcomeUnknown
)

// Action is what to do next.
type Action uint8

// The actions that follow an attempt.
const (
	// ActionGiveUp: tell the caller the outcome as it is.
	ActionGiveUp Action = iota
	// ActionRetry: send the request to another endpoint.
	ActionRetry
	// ActionResume: have another endpoint go on after what was delivered.
	ActionResume
)

// Reason says why a request is given up.
type Reason string

// The reasons to give up.
const (
	ReasonNone Reason = ""
	// ReasonCompleted: there is nothing left to do.
	ReasonCompleted Reason = "completed"
	// ReasonNotIdempotent: it ran, or may have run, and must not run twice.
	ReasonNotIdempotent Reason = "not_idempotent"
	// ReasonAttempts: the most attempts for one request were made.
	ReasonAttempts Reason = "attempts"
	// ReasonRuns: it ran, or may have, at as many endpoints as it may.
	ReasonRuns Reason = "runs"
	// ReasonDeadline: its deadline comes before another attempt could.
	ReasonDeadline Reason = "deadline"
	// ReasonOverload: endpoints refused it for want of room, and coming back
	// to them would add to their load.
	ReasonOverload Reason = "overload"
	// ReasonBudget: retries are too large a share of the router's requests.
	ReasonBudget Reason = "budget"
)
