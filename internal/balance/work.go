package balance

import (
	"sync"
	"time"

	"coveferry/internal/prompt"
)

// Work describes the resources that a request needs at its endpoint.
type Work struct {
	Service string // set for requests routed by service
	Tier    int    // as in Request
	Prompt  prompt.Prompt
	// TightGap is set if long prompts beside the stream make it exceed its gap limit.
	TightGap bool
	// MaxGap and Stride are as in Request.
	MaxGap time.Duration
	Stride int
	// Objective is the target for the time to the first event of the response; 0 means none.
	Objective time.Duration
}

// TrackedRequest tracks a request in the pool's state of its endpoint. Release and PrefillDone
// take effect once.
type TrackedRequest struct {
	pool     *Pool
	endpoint string
	// state belongs to the process to which the request was sent. Later results aren't attributed
	// to another process under the same endpoint name.
	state        *state
	tier         int
	promptTokens int
	tightGap     bool
	sent         time.Time
	service      string
	maxGap       time.Duration
	objective    time.Duration
	// measuresPrefill is set if the time to first token measures this prompt's prefill: this
	// router knows which tokens were cached, and has no other prompts pending there.
	measuresPrefill bool
	pace            eventPace
	firstEventAt    time.Time
	// speeds are the estimates of the endpoint group; nil if the endpoint wasn't chosen by the
	// pool, is cold or states a rate limit.
	speeds *engineSpeeds
	// statedLimit is set if the endpoint stated a rate limit when the request was sent. Such an
	// endpoint is overloaded: that it is slow and fails requests says nothing about its speed and
	// health within the limit.
	statedLimit bool
	prefillOnce sync.Once
	releaseOnce sync.Once
}

// Track is Sent for a request with known work, and returns the TrackedRequest.
func (p *Pool) Track(now time.Time, endpoint string, w Work) *TrackedRequest {
	a := &TrackedRequest{
		pool: p, endpoint: endpoint, tier: min(w.Tier, maxTiers-1), tightGap: w.TightGap,
		sent: now, service: w.Service, maxGap: w.MaxGap, objective: w.Objective, pace: eventPace{stride: float64(w.Stride)},
	}
	sh := p.shard(endpoint)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	a.register(sh.state(endpoint), w)
	return a
}

// register adds the request to the state of its endpoint, whose shard is locked.
func (a *TrackedRequest) register(st *state, w Work) {
	a.state = st
	a.statedLimit = st.rateState.limit.active
	if !a.statedLimit && !a.sent.Before(st.rateState.coldUntil) {
		a.speeds = st.speeds // a cold endpoint or one with a stated rate limit isn't typical of its group
	}
	st.recordSent(a.sent)
	st.inflightByTier[a.tier]++
	if w.TightGap {
		st.tightGapStreams++
	}
	if w.Prompt.Tokens > 0 {
		a.promptTokens = st.recordPrompt(a.sent, w.Prompt)
		a.measuresPrefill = a.promptTokens <= w.Prompt.UnsharedTokens() && st.pendingPrefillTokens() == 0
		st.pendingPrefill[a.tier] += a.promptTokens
	}
}

// recordPrompt marks the parts of a prompt as cached and returns the number of tokens to prefill.
func (st *state) recordPrompt(now time.Time, p prompt.Prompt) int {
	tokens := p.Tokens - st.cachedParts.cached(now, p)
	if st.cachedParts == nil {
		st.cachedParts = make(recentParts)
	}
	st.cachedParts.record(now, p)
	return tokens
}

// pendingPrefillTokens returns the number of prompt tokens sent by this router that may not be
// prefilled yet.
func (st *state) pendingPrefillTokens() int {
	tokens := 0
	for _, n := range st.pendingPrefill {
		tokens += n
	}
	return tokens
}

// DataReceived records that any part of a response arrived from the endpoint.
func (a *TrackedRequest) DataReceived(now time.Time) {
	a.update(func(st *state) {
		if a.speeds != nil {
			a.speeds.recordResponseGap(now.Sub(st.waitingSince))
		}
		st.waitingSince, st.lastResponseAt = now, now
	})
}

// EventReceived records an event of the response. It isn't safe for concurrent use.
func (a *TrackedRequest) EventReceived(now time.Time) {
	if a.firstEventAt.IsZero() {
		a.firstEventAt = now
		a.PrefillDone()
		if a.measuresPrefill && a.speeds != nil {
			a.speeds.recordFirstToken(now.Sub(a.sent).Seconds(), a.promptTokens)
		}
	}
	perToken := a.pace.record(now)
	if perToken == 0 || a.speeds == nil {
		return // no sample
	}
	a.update(func(st *state) { st.outputToken.add(perToken, outputTokenQuantile) })
	a.speeds.recordOutputToken(perToken)
}

// PrefillDone records that the prompt is prefilled or no longer needs to be. Further calls have
// no effect.
func (a *TrackedRequest) PrefillDone() {
	a.prefillOnce.Do(func() {
		a.update(func(st *state) { st.pendingPrefill[a.tier] = max(0, st.pendingPrefill[a.tier]-a.promptTokens) })
	})
}

// Release records that the request no longer holds a slot at its endpoint. Further calls have no
// effect.
func (a *TrackedRequest) Release() {
	a.PrefillDone()
	a.releaseOnce.Do(func() {
		a.update(func(st *state) {
			st.inflightByTier[a.tier] = max(0, st.inflightByTier[a.tier]-1)
			if a.tightGap {
				st.tightGapStreams = max(0, st.tightGapStreams-1)
			}
		})
		if learner, ok := a.pool.cfg.Policy.(StreamObserver); ok && !a.firstEventAt.IsZero() && !a.statedLimit {
			learner.StreamEnded(a.pace.last, a.service, a.maxGap, a.pace.last.Sub(a.sent), a.late())
		}
	})
}

// late reports whether the response exceeded its objective or maximum gap.
func (a *TrackedRequest) late() bool {
	firstEventLate := a.objective > 0 && a.firstEventAt.Sub(a.sent) > a.objective
	gapExceeded := a.maxGap > 0 && a.pace.longestGap > a.maxGap
	return firstEventLate || gapExceeded
}

// Refused records that the endpoint refused the request for lack of capacity.
func (a *TrackedRequest) Refused(now time.Time) {
	a.update(func(st *state) {
		st.refusedAt, st.requestsAtRefusal = now, st.load.TotalRunning()+st.load.TotalQueued()
	})
}

// Done records the outcome of the request. Times to first token depend on the prompts rather than
// the endpoints, so that they aren't compared between endpoints.
func (a *TrackedRequest) Done(now time.Time, res Result) {
	if a.statedLimit {
		res = ResultCancelled // doesn't affect the endpoint's health
	}
	failing := false
	a.update(func(st *state) {
		st.recordDone(now, res, 0, a.pool.cfg.FirstTokenSmoothing)
		failing = res == ResultFailed && st.health.failureShare > a.pool.cfg.Outlier.FailureShare
	})
	a.pool.detectOutliers(now, failing)
}

func (a *TrackedRequest) update(f func(*state)) {
	sh := a.pool.shard(a.endpoint)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.states[a.endpoint] == a.state {
		f(a.state)
	}
}
