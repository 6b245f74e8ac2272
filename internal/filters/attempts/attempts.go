// Package attempts implements retries: it calls the next filter until the caller has the
// complete response or no further attempt is allowed. Put it before choose.
package attempts

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"coveferry/internal/api"
	"coveferry/internal/bundle"
	"coveferry/internal/clock"
	"coveferry/internal/filters/choose"
	"coveferry/internal/filters/relay"
	"coveferry/internal/filters/wait"
	"coveferry/internal/pipeline"
	"coveferry/internal/request"
	"coveferry/internal/retry"
	"coveferry/internal/upstream"
	"coveferry/internal/wire"
)

// agentDeadlineGrace is how long the router waits past the deadline for the agent's final
// status, which tells reliably whether the request ran.
const agentDeadlineGrace = 250 * time.Millisecond

// directDeadlineGrace is the grace for endpoints without an agent. The caller waits
// meanwhile, so it covers only the transfer of the endpoint's own response at the
// deadline.
const directDeadlineGrace = 100 * time.Millisecond

func deadlineGraceFor(r *request.Request) time.Duration {
	if r.Kind == wire.KindRouted {
		return directDeadlineGrace
	}
	return agentDeadlineGrace
}

// DeadlineError is a request whose deadline and grace period passed without a result.
type DeadlineError struct{ Cause error }

// Error implements error.
func (e *DeadlineError) Error() string { return "attempts: the deadline passed: " + e.Cause.Error() }

// Unwrap returns the error of the last attempt.
func (e *DeadlineError) Unwrap() error { return e.Cause }

// API implements api.Convertible.
func (e *DeadlineError) API() *api.Error {
	return &api.Error{
		Status: http.StatusGatewayTimeout, Type: api.TypeTimeout, Code: "deadline",
		Message: "the deadline passed without an answer; the request may have run",
		Run:     wire.RunUnknown,
	}
}

// Filter implements pipeline.Filter.
type Filter struct {
	policy      Policy
	jitter      func() float64
	copyHolders CopyHolders // nil accepts any
	runs        RunEnds     // nil takes a run for ended when its connection has
}

// Policy decides whether and how to retry after an attempt. Production uses *retry.Policy.
type Policy interface {
	// RecordFirst counts the first attempt of a request at a target.
	RecordFirst(now time.Time, target string, tier int)
	Decide(a retry.Attempt, now time.Time, jitter float64) retry.Decision
	// DecideRevisit decides whether to retry at endpoints that were already tried.
	// revisits is how often the request has done so.
	DecideRevisit(a retry.Attempt, revisits int, now time.Time, jitter float64) retry.Decision
}

// New returns a filter that retries according to the policy. jitter returns random numbers
// from [0, 1).
func New(policy Policy, jitter func() float64) *Filter {
	return &Filter{policy: policy, jitter: jitter}
}

// Name implements pipeline.Filter.
func (*Filter) Name() string { return "attempts" }

// Do returns nil once the caller has the complete response, or else the most informative
// error of the attempts.
func (f *Filter) Do(ctx context.Context, r *request.Request, next pipeline.Next) error {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline.Add(deadlineGraceFor(r)))
	defer cancel()
	err := f.retryLoop(ctx, r, next)
	var neverSent *wait.RefusedError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &neverSent):
		return err // the request didn't run, also if its deadline has passed
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return &DeadlineError{Cause: err}
	case errors.Is(ctx.Err(), context.Canceled):
		return &relay.CallerError{Cause: err}
	default:
		return err
	}
}

func (f *Filter) retryLoop(ctx context.Context, r *request.Request, send pipeline.Next) error {
	f.policy.RecordFirst(time.Now(), r.Service, r.Tier)
	h := newHistory()
	var charge *retry.Charge
	for r.Epoch = 1; ; r.Epoch++ {
		h.add(sendAttempt(ctx, r, charge, send))
		if ended, err := h.completeAtTokenLimit(ctx, r); ended {
			return err
		}
		next := f.decide(ctx, r, h)
		appendTrail(r, h.latestErr, next.Decision)
		r.ResumeFrom = next.resumeFrom
		charge = next.Charge
		if next.Action == retry.ActionGiveUp || !f.awaitNext(ctx, r, h, next.Delay) {
			charge.NotSent(time.Now())
			return h.result()
		}
		discardUndelivered(r)
	}
}

// awaitNext waits until the next attempt may be made. It returns false if none may any more.
func (f *Filter) awaitNext(ctx context.Context, r *request.Request, h *history, delay time.Duration) bool {
	return clock.Sleep(ctx, delay) && f.awaitRunEnd(ctx, r, h.latestErr) && f.recheckCopy(r, h)
}

// sendAttempt makes an attempt and settles what it was charged as soon as it is known whether it
// arrived.
func sendAttempt(ctx context.Context, r *request.Request, charge *retry.Charge, next pipeline.Next) error {
	r.Signals, r.LimitPart, r.Connections, r.Arrival = upstream.Signals{}, "", 0, request.ArrivalNotSent
	r.ReusedConnection = false
	r.Events, r.EndsWithConnection = request.EventRange{After: r.Delivered.Position.LastID}, false
	r.OnAnswered = charge.Arrived
	if r.Kind != wire.KindRouted {
		charge.Arrived() // an agent bounds by itself what waits there
	}
	defer func() {
		r.OnAnswered = nil
		settle(charge, r.Arrival)
	}()
	return next(ctx, r)
}

// settle tells a charge what is known of its attempt's arrival.
func settle(charge *retry.Charge, arrival request.Arrival) {
	switch arrival {
	case request.ArrivalNotSent:
		charge.NotSent(time.Now())
	case request.ArrivalPending:
		charge.Abandoned(time.Now())
	default:
		charge.Arrived()
	}
}

// decision is what to do after an attempt.
type decision struct {
	retry.Decision
	// resumeFrom is the endpoint with the copy from which the next attempt resumes; nil for none.
	resumeFrom *bundle.Endpoint
}

// decide returns what to do after the latest attempt. Whether a copy is used is decided once: a request
// that must not run twice is sent again for its sake only.
func (f *Filter) decide(ctx context.Context, r *request.Request, h *history) decision {
	var noVersion *choose.VersionError
	if errors.As(h.latestErr, &noVersion) {
		return decision{Decision: retry.Decision{Reason: reasonVersion}}
	}
	delivered := r.Delivered.Tokens > 0
	result := classify(h.resultErr, delivered)
	unresumable := r.Delivered.Unresumable && r.Delivered.Started && h.resultErr != nil
	if ctx.Err() != nil || result.final || unresumable {
		return decision{Decision: retry.Decision{Reason: result.reason}}
	}
	resumeFrom := f.copyToResumeFrom(r, result.outcome)
	d := decision{Decision: f.consultPolicy(r, h, retry.Attempt{
		Number:       h.attemptsInRound,
		Target:       r.Service,
		Tier:         r.Tier,
		Outcome:      result.outcome,
		Idempotent:   !r.NonIdempotent,
		Copied:       resumeFrom != nil,
		PossibleRuns: h.possibleRuns,
		MaxRuns:      r.MaxRuns,
		Delivered:    delivered,
		BudgetExempt: result.budgetExempt,
		Overloaded:   result.overloaded,
		Deadline:     r.Deadline,
	})}
	if d.Action == retry.ActionResume {
		d.resumeFrom = resumeFrom
	}
	return d
}

// consultPolicy asks the policy for a retry at another endpoint, or for a revisit if none
// is left.
func (f *Filter) consultPolicy(r *request.Request, h *history, a retry.Attempt) retry.Decision {
	if !h.exhausted {
		decision := f.policy.Decide(a, time.Now(), f.jitter())
		if decision.Reason != retry.ReasonAttempts {
			return decision
		}
	}
	decision := f.policy.DecideRevisit(a, h.revisits, time.Now(), f.jitter())
	if decision.Action != retry.ActionGiveUp {
		h.revisits++
		h.attemptsInRound = 0
		r.RoundStart = len(r.Tried)
	}
	return decision
}

// discardUndelivered drops a partial response that no engine can continue, if nothing of
// it has been sent to the caller.
func discardUndelivered(r *request.Request) {
	if !r.Delivered.Unresumable || r.Delivered.Started {
		return
	}
	r.Delivered = request.Delivered{FirstToken: r.Delivered.FirstToken}
	r.Collected = nil
}

// appendTrail adds the attempt that just ended to the request's trail.
func appendTrail(r *request.Request, err error, d retry.Decision) {
	step := request.Step{Epoch: r.Epoch, Outcome: "complete", Tokens: r.Delivered.Tokens, Next: string(d.Reason)}
	step.Signals, step.LimitPart = r.Signals, r.LimitPart
	step.Connections, step.ReusedConnection = r.Connections, r.ReusedConnection
	step.Arrival, step.SentAfter, step.EndedAfter = r.Arrival, r.SentAt.Sub(r.Arrived), time.Since(r.Arrived)
	step.FromCopy = r.ResumeFrom != nil
	step.Events, step.EndsWithConnection = r.Events, r.EndsWithConnection
	var endless *upstream.EndlessError
	if errors.As(err, &endless) {
		step.Endless = endless.Part
	}
	if d.Budget != nil {
		step.Budget = d.Budget.String()
	}
	if err != nil {
		step.Outcome = err.Error()
	}
	if d.Action != retry.ActionGiveUp {
		step.Next = request.NextRepeat
	}
	if r.Endpoint != nil && !errors.Is(err, choose.ErrNoEndpoint) && d.Reason != reasonQuarantined {
		step.Endpoint, step.Version, step.Address = r.Endpoint.Name, r.Endpoint.Version, r.Endpoint.Address
	}
	r.Trail = append(r.Trail, step)
}
