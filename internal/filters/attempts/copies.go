package attempts

import (
	"time"

	"coveferry/internal/bundle"
	"coveferry/internal/request"
	"coveferry/internal/retry"
)

// CopyHolders tells of endpoints that were asked to keep copies. *balance.Pool implements it.
type CopyHolders interface {
	// AcceptsWork reports whether an endpoint accepts new work.
	AcceptsWork(now time.Time, endpoint string) bool
	// LosesAnswers reports whether requests that were sent to an endpoint lately got no answer.
	LosesAnswers(now time.Time, endpoint string) bool
	// ManyLoseAnswers reports whether many of the endpoints do.
	ManyLoseAnswers(now time.Time, endpoints []*bundle.Endpoint) bool
}

// ResumeOnlyAt restricts resuming from KV cache copies by the state of their endpoints. It must be called
// before the filter is used.
func (f *Filter) ResumeOnlyAt(holders CopyHolders) *Filter {
	f.copyHolders = holders
	return f
}

// copyToResumeFrom returns the endpoint with the KV cache copy from which a broken stream can resume, after
// the last event delivered to the caller; nil if there is none.
func (f *Filter) copyToResumeFrom(r *request.Request, outcome retry.Outcome) *bundle.Endpoint {
	if r.CopyTo == nil || r.Delivered.Tokens == 0 || outcome != retry.OutcomeRan || !r.MayContinue(r.CopyTo) || !f.mayHoldCopy(r, r.CopyTo) {
		return nil
	}
	return r.CopyTo
}

// recheckCopy reports whether the next attempt may still be made as it was decided before the wait for the
// end of the run. A stream that may run once more goes on at any endpoint if its copy can't be used any
// more.
func (f *Filter) recheckCopy(r *request.Request, h *history) bool {
	if r.ResumeFrom == nil || f.mayHoldCopy(r, r.ResumeFrom) {
		return true
	}
	r.ResumeFrom = nil
	return !r.NonIdempotent && (r.MaxRuns == 0 || h.possibleRuns < r.MaxRuns)
}

// mayHoldCopy reports whether the stream may resume from a copy by the state of its endpoint. Endpoints
// that are draining or evacuated get no resumed streams. That a copy isn't there only its endpoint can say;
// one that loses answers may have begun the request anew instead, which must not run twice.
func (f *Filter) mayHoldCopy(r *request.Request, e *bundle.Endpoint) bool {
	if f.copyHolders == nil {
		return true
	}
	now := time.Now()
	if !f.copyHolders.AcceptsWork(now, e.Name) {
		return false
	}
	if !r.NonIdempotent {
		return true
	}
	return !f.copyHolders.LosesAnswers(now, e.Name) && !f.copyHolders.ManyLoseAnswers(now, r.Candidates)
}
