// Package retry implements the retry policy: whether a failed attempt is retried at
// another endpoint or its error is returned. A retry budget keeps retries from adding to
// an overload. Time and randomness are passed in by the caller.
package retry

// Outcome is what is known about an attempt after it ended.
type Outcome uint8

// The outcomes of an attempt. Once a request was sent, only an explicit statement of the
// agent or endpoint results in OutcomeNotRun: a timeout or reset connection then is
// OutcomeUnknown.
const (
	// OutcomeCompleted: the complete response arrived.
	OutcomeCompleted Outcome = iota
	// OutcomeNotRun: the request didn't run and will not run.
	OutcomeNotRun
	// OutcomeRan: the request ran at least in part, without a complete response.
	OutcomeRan
	// OutcomeUnknown: the request may have run, or may still run.
	OutcomeUnknown
)

// Action is what to do after an attempt.
type Action uint8

// The actions that follow an attempt.
const (
	// ActionGiveUp: return the outcome to the caller.
	ActionGiveUp Action = iota
	// ActionRetry: send the request to another endpoint.
	ActionRetry
	// ActionResume: continue at another endpoint after what was delivered.
	ActionResume
)

// Reason says why a request is not retried.
type Reason string

// The reasons to give up.
const (
	ReasonNone Reason = ""
	// ReasonCompleted: the response is complete.
	ReasonCompleted Reason = "completed"
	// ReasonNotIdempotent: the request ran or may have run, and must not run twice.
	ReasonNotIdempotent Reason = "not_idempotent"
	// ReasonAttempts: the maximum number of attempts is reached.
	ReasonAttempts Reason = "attempts"
	// ReasonRuns: the request ran or may have run at the maximum number of endpoints.
	ReasonRuns Reason = "runs"
	// ReasonDeadline: the deadline passes before the next attempt could start.
	ReasonDeadline Reason = "deadline"
	// ReasonOverload: endpoints refused the request for lack of capacity, and revisiting
	// them would add to their load.
	ReasonOverload Reason = "overload"
	// ReasonBudget: the retry budget is used up.
	ReasonBudget Reason = "budget"
)
