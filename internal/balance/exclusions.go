package balance

import (
	"time"

	"coveferry/internal/bundle"
)

// exclusions counts the candidates that aren't among the views.
type exclusions struct {
	skipped, leaving int
	// rateLimited counts the endpoints at their rate limit and backingOff those that asked this
	// router to back off; one of them admits a request after availableIn.
	rateLimited, backingOff int
	availableIn             time.Duration
	// suspect counts all suspect candidates, at their rate limit or not.
	suspect int
}

// addRateLimited counts an endpoint that admits its next request after availableIn.
func (e *exclusions) addRateLimited(availableIn time.Duration) {
	e.addAvailableIn(availableIn)
	e.rateLimited++
}

// addBackingOff counts an endpoint that admits its next request after availableIn.
func (e *exclusions) addBackingOff(availableIn time.Duration) {
	e.addAvailableIn(availableIn)
	e.backingOff++
}

// addSkipped counts an endpoint that the caller ruled out. It counts as backing off if it does: that
// is when the caller can be served there after all.
func (e *exclusions) addSkipped(backoffLeft time.Duration) {
	if backoffLeft > 0 {
		e.addBackingOff(backoffLeft)
		return
	}
	e.skipped++
}

func (e *exclusions) addAvailableIn(availableIn time.Duration) {
	if e.rateLimited+e.backingOff == 0 || availableIn < e.availableIn {
		e.availableIn = availableIn
	}
}

func (e *exclusions) error(candidates int) *NoEndpointError {
	return &NoEndpointError{
		Candidates: candidates, Skipped: e.skipped, Leaving: e.leaving,
		RateLimited: e.rateLimited, BackingOff: e.backingOff, AvailableIn: e.availableIn,
	}
}

// AvailableIn returns the time until the first of the candidates may be sent a request, as far as
// that is known: 0 if any of them asked for no backoff.
func (p *Pool) AvailableIn(now time.Time, candidates []*bundle.Endpoint) time.Duration {
	var backingOff exclusions
	for _, c := range candidates {
		left := p.backoffLeft(now, c.Name, 0)
		if left == 0 && p.AcceptsWork(now, c.Name) {
			return 0
		}
		if left > 0 {
			backingOff.addBackingOff(left)
		}
	}
	return backingOff.availableIn
}

// backoffLeft returns the time until an endpoint that asked for backoff may be sent a request of a
// tier; 0 if it may be now.
func (p *Pool) backoffLeft(now time.Time, endpoint string, tier int) time.Duration {
	sh := p.shard(endpoint)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	st, known := sh.states[endpoint]
	if !known {
		return 0
	}
	return st.backoff.availableIn(now, tier)
}
