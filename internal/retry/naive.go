package retry

import "time"

// Naive is the baseline policy: it retries after any error, immediately and whether or not
// the request ran, up to Max attempts.
type Naive struct{ Max int }

// RecordFirst does nothing, as there is no budget.
func (Naive) RecordFirst(time.Time, string, int) {}

// Decide retries while attempts are left.
func (n Naive) Decide(a Attempt, _ time.Time, _ float64) Decision {
	switch {
	case a.Outcome == OutcomeCompleted:
		return Decision{Reason: ReasonCompleted}
	case a.Number >= n.Max:
		return Decision{Reason: ReasonAttempts}
	case a.Delivered:
		return Decision{Action: ActionResume}
	default:
		return Decision{Action: ActionRetry}
	}
}

// DecideRevisit always gives up.
func (Naive) DecideRevisit(Attempt, int, time.Time, float64) Decision {
	return Decision{Reason: ReasonAttempts}
}
