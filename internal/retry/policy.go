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
	// Target is what is asked, such as a service; each has a budget of its own.
	Target  string
	Tier    int
	Outcome Outcome
	// Idempotent says that the request may run more than once.
	Idempotent bool
	// Copied says that another endpoint has a copy of the run's memory: to go
	// on there is the same run and not another.
	Copied bool
	// PossibleRuns is how many attempts ran or may have, and MaxRuns the most that
	// may; 0 is no bound of the request's own.
	PossibleRuns, MaxRuns int
	// Delivered says that a part of the answer has reached the caller.
	Delivered bool
	// BudgetExempt says that the attempt ended by no fault of the load, such as at an
	// endpoint that is leaving: the next one isn't charged to the budget.
	BudgetExempt bool
	// Overloaded says that the endpoint refused the attempt for want of room.
	Overloaded bool
	// Deadline is when the answer loses its worth; zero is never.
	Deadline time.Time
}

// Decision is what to do after an attempt.
type Decision struct {
	Action Action
	Reason Reason // with ActionGiveUp
	// Delay is how long to wait before the next attempt.
	Delay time.Duration
	// Budget is what was used of the budget that was charged or that refused; nil if neither.
	Budget *Usage
}

// Policy decides about retries. Its fields must not change while it is in use;
// those that are zero take their defaults.
type Policy struct {
	// MaxAttempts bounds the attempts of one request, the first included.
	MaxAttempts int
	// FirstDelay bounds the delay before the second attempt; each further
	// one doubles it, up to MaxDelay.
	FirstDelay time.Duration
	MaxDelay   time.Duration
	// MaxRevisits bounds how often a request comes back to endpoints that it
	// has tried, once no other is left or MaxAttempts were made.
	MaxRevisits int
	// FirstRevisitDelay bounds the delay before the first return; each
	// further one doubles it, up to MaxReturnDelay.
	FirstRevisitDelay time.Duration
	MaxRevisitDelay   time.Duration
	// ChargeAll charges the budget for every further attempt, where a bound
	// from outside counts what endpoints receive, whatever the reason.
	ChargeAll bool
	// Budget bounds the retries of all requests together; nil is no bound.
	Budget *Budget
}

// First counts the first attempt of a request of the tier at a target.
func (p *Policy) First(now time.Time, target string, tier int) {
	if p.Budget != nil {
		p.Budget.First(now, target, tier)
	}
}

// Decide says what follows the attempt, and charges the budget for a retry.
// jitter is a random number from [0, 1): the delay is that part of its bound
// (full jitter). An idempotent request is retried until its deadline, whatever
// the outcome; any other one only after OutcomeNotRun.
func (p *Policy) Decide(a Attempt, now time.Time, jitter float64) Decision {
	reason := p.giveUpReason(a)
	if reason != ReasonNone {
		return Decision{Reason: reason}
	}
	delay := time.Duration(jitter * float64(p.delayBound(a.Number)))
	return p.checkDeadlineAndBudget(a, now, delay, p.charged(a))
}

// DecideRevisit says whether a request that found no further endpoint, or used up its
// attempts, may come back to those it has tried, and charges the budget for it.
// returns counts those before. The delay is at least half its bound: what is
// waited for is an endpoint's return. A request that found no room comes back
// only if its caller holds a part of the answer.
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

// checkDeadlineAndBudget decides by what may change from one moment to the next.
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
	if !p.Budget.TryRetry(now, a.Target, a.Tier) {
		d = Decision{Reason: ReasonBudget}
	}
	usage := p.Budget.Usage(now, a.Target, a.Tier)
	d.Budget = &usage
	return d
}

// charged says whether another attempt counts as a retry. One that resumes an
// answer doesn't: it is the rest of work that was accepted, not work on top.
func (p *Policy) charged(a Attempt) bool {
	if p.Budget == nil {
		return false
	}
	return p.ChargeAll || !a.BudgetExempt && !a.Delivered
}

// giveUpReason says why the attempt can't be followed by another at any time.
func (p *Policy) giveUpReason(a Attempt) Reason {
	if a.Outcome == OutcomeCompleted {
		return ReasonCompleted
	}
	// Part of an answer delivered contradicts "not run".
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

// delayBound is the longest delay after the attempt of the given number.
func (p *Policy) delayBound(number int) time.Duration {
	return backoffDelay(cmp.Or(p.FirstDelay, defaultFirstDelay), cmp.Or(p.MaxDelay, defaultMaxDelay), number)
}

// revisitDelayBound is the longest delay before the return of the given number.
func (p *Policy) revisitDelayBound(number int) time.Duration {
	first := cmp.Or(p.FirstRevisitDelay, defaultFirstRevisitDelay)
	return backoffDelay(first, cmp.Or(p.MaxRevisitDelay, defaultMaxRevisitDelay), number)
}

// backoffDelay is the delay of the given number, from 1. The library's own jitter is
// off, because it draws from the global source.
func backoffDelay(first, longest time.Duration, number int) time.Duration {
	b := backoff.ExponentialBackOff{InitialInterval: first, Multiplier: delayMultiplier, MaxInterval: longest}
	d := b.NextBackOff()
	for range number - 1 {
		d = b.NextBackOff()
	}
	return d
}
