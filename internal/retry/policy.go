package retry

import (
	"cmp"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Defaults of a Policy.
const (
	defaultMaxAttempts = 3
	defaultFirstDelay  = 25 * time.Millisecond
	defaultMaxDelay    = time.Second
	delayMultiplier    = 2

	defaultMaxRevisits       = 5
	defaultFirstRevisitDelay = 250 * time.Millisecond
	defaultMaxRevisitDelay   = 2 * time.Second
)

// Attempt describes an attempt that ended.
type Attempt struct {
	// Number is 1 for the first attempt of a request.
	Number int
	// Target is what is requested, such as a service. Each target has its own budget.
	Target  string
	Tier    int
	Outcome Outcome
	// Idempotent reports whether the request may run more than once.
	Idempotent bool
	// Copied reports whether another endpoint has a copy of the run's KV cache. Resuming
	// there continues the same run and doesn't count as another one.
	Copied bool
	// PossibleRuns is the number of attempts that ran or may have run. MaxRuns is their
	// limit; 0 means that the request sets none.
	PossibleRuns, MaxRuns int
	// Delivered reports whether the caller has received part of the response.
	Delivered bool
	// BudgetExempt reports that the failure is no sign of overload, for example at an
	// endpoint that is draining. A retry after it is charged only with ChargeAll or as a
	// revisit.
	BudgetExempt bool
	// Overloaded reports that the endpoint refused the attempt for lack of capacity.
	Overloaded bool
	// Deadline is when the response becomes useless; zero means never.
	Deadline time.Time
}

// Decision is what to do after an attempt.
type Decision struct {
	Action Action
	Reason Reason // set with ActionGiveUp
	// Delay is how long to wait before the next attempt.
	Delay time.Duration
	// Budget is the usage of the budget that was charged or that refused the retry; nil if
	// no budget was involved.
	Budget *Usage
	// Charge must be settled by whoever sends the retry; nil if none was charged.
	Charge *Charge
}

// Policy decides about retries. Its fields must not change while it is in use. Zero fields
// take their defaults.
type Policy struct {
	// MaxAttempts limits the attempts of one request, including the first.
	MaxAttempts int
	// FirstDelay is the maximum delay before the second attempt. It doubles with each
	// further attempt, up to MaxDelay.
	FirstDelay time.Duration
	MaxDelay   time.Duration
	// MaxRevisits limits how often a request is retried at endpoints that it has already
	// tried, after no other endpoint is left or MaxAttempts is reached.
	MaxRevisits int
	// FirstRevisitDelay is the maximum delay before the first revisit. It doubles with
	// each further revisit, up to MaxRevisitDelay.
	FirstRevisitDelay time.Duration
	MaxRevisitDelay   time.Duration
	// ChargeAll charges the budget for every attempt after the first, whatever its reason.
	// It is for external limits on the requests that endpoints receive.
	ChargeAll bool
	// Budget limits the retries of all requests together; nil means no limit.
	Budget *Budget
}

// RecordFirst counts the first attempt of a request of the tier at a target.
func (p *Policy) RecordFirst(now time.Time, target string, tier int) {
	if p.Budget != nil {
		p.Budget.RecordFirst(now, target, tier)
	}
}

// Decide decides what follows the attempt, and charges the budget for a retry. jitter is a
// random number from [0, 1), by which the maximum delay is multiplied (full jitter).
// Attempts of an idempotent request are retried until its deadline, whatever their
// outcome; others only after OutcomeNotRun.
func (p *Policy) Decide(a Attempt, now time.Time, jitter float64) Decision {
	reason := p.giveUpReason(a)
	if reason != ReasonNone {
		return Decision{Reason: reason}
	}
	delay := time.Duration(jitter * float64(p.delayBound(a.Number)))
	return p.checkDeadlineAndBudget(a, now, delay, p.charged(a))
}

// DecideRevisit decides whether a request that has no endpoint left, or has used up its
// attempts, is retried at endpoints already tried, and charges the budget for it. revisits
// is the number of earlier revisits. The delay is at least half its maximum, to give an
// endpoint time to recover. A request that was refused for lack of capacity is retried
// only if its caller has received part of the response.
func (p *Policy) DecideRevisit(a Attempt, revisits int, now time.Time, jitter float64) Decision {
	reason := p.giveUpReason(a)
	switch {
	case reason != ReasonNone && reason != ReasonAttempts:
		return Decision{Reason: reason}
	case revisits >= cmp.Or(p.MaxRevisits, defaultMaxRevisits):
		return Decision{Reason: ReasonAttempts}
	case a.Overloaded && !a.Delivered:
		return Decision{Reason: ReasonOverload}
	}
	half := p.revisitDelayBound(revisits+1) / 2
	delay := half + time.Duration(jitter*float64(half))
	return p.checkDeadlineAndBudget(a, now, delay, p.Budget != nil && (p.ChargeAll || !a.Delivered))
}

// checkDeadlineAndBudget applies the checks whose result depends on the current time.
func (p *Policy) checkDeadlineAndBudget(a Attempt, now time.Time, delay time.Duration, charged bool) Decision {
	if !a.Deadline.IsZero() && !now.Add(delay).Before(a.Deadline) {
		return Decision{Reason: ReasonDeadline}
	}
	d := Decision{Action: ActionRetry, Delay: delay}
	if a.Delivered {
		d.Action = ActionResume
	}
	if !charged {
		return d
	}
	if d.Charge = p.Budget.TryRetry(now, a.Target, a.Tier); d.Charge == nil {
		d = Decision{Reason: ReasonBudget}
	}
	usage := p.Budget.Usage(now, a.Target, a.Tier)
	d.Budget = &usage
	return d
}

// charged reports whether another attempt counts as a retry. Resuming a response doesn't:
// it completes work that was already accepted.
func (p *Policy) charged(a Attempt) bool {
	if p.Budget == nil {
		return false
	}
	return p.ChargeAll || !a.BudgetExempt && !a.Delivered
}

// giveUpReason returns why the attempt can't be retried at any time, or ReasonNone.
func (p *Policy) giveUpReason(a Attempt) Reason {
	if a.Outcome == OutcomeCompleted {
		return ReasonCompleted
	}
	// A partial response contradicts OutcomeNotRun.
	mayHaveRun := (a.Outcome != OutcomeNotRun || a.Delivered) && !a.Copied
	if mayHaveRun && !a.Idempotent {
		return ReasonNotIdempotent
	}
	if mayHaveRun && a.MaxRuns > 0 && a.PossibleRuns >= a.MaxRuns {
		return ReasonRuns
	}
	if a.Number >= cmp.Or(p.MaxAttempts, defaultMaxAttempts) {
		return ReasonAttempts
	}
	return ReasonNone
}

// delayBound returns the maximum delay after the attempt of the given number.
func (p *Policy) delayBound(number int) time.Duration {
	return backoffDelay(cmp.Or(p.FirstDelay, defaultFirstDelay), cmp.Or(p.MaxDelay, defaultMaxDelay), number)
}

// revisitDelayBound returns the maximum delay before the revisit of the given number.
func (p *Policy) revisitDelayBound(number int) time.Duration {
	first := cmp.Or(p.FirstRevisitDelay, defaultFirstRevisitDelay)
	return backoffDelay(first, cmp.Or(p.MaxRevisitDelay, defaultMaxRevisitDelay), number)
}

// backoffDelay returns the exponential backoff of the given number, counted from 1. The
// library's own jitter is off, because it uses the global random source.
func backoffDelay(first, longest time.Duration, number int) time.Duration {
	b := backoff.ExponentialBackOff{InitialInterval: first, Multiplier: delayMultiplier, MaxInterval: longest}
	d := b.NextBackOff()
	for range number - 1 {
		d = b.NextBackOff()
	}
	return d
}
