package retry

import "time"

// Naive is the baseline: another attempt after any error, at once and whether
// or not the request ran, up to Max attempts.
type Naive struct{ Max int }

// First does nothing: there is no budget.
func (Naive) First(time.Time, string, int) {}

// Decide repeats while attempts are left.
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

// DecideRevisit gives up: the baseline doesn't come back to an endpoint.
func (Naive) DecideRevisit(Attempt, int, time.Time, float64) Decision {
	return Decision{Reason: ReasonAttempts}
}
