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
	statedLimit    bool
	servedRecorded bool
	prefillOnce    sync.Once
	releaseOnce    sync.Once
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
func (t *TrackedRequest) register(st *state, w Work) {
	t.state = st
	t.statedLimit = st.rateState.limit.active
	if !t.statedLimit && !t.sent.Before(st.rateState.coldUntil) {
		t.speeds = st.speeds // a cold endpoint or one with a stated rate limit isn't typical of its group
	}
	st.recordSent(t.sent)
	st.inflightByTier[t.tier]++
	if w.TightGap {
		st.tightGapStreams++
	}
	if w.Prompt.Tokens > 0 {
		t.promptTokens = st.recordPrompt(t.sent, w.Prompt)
		t.measuresPrefill = t.promptTokens <= w.Prompt.UnsharedTokens() && st.pendingPrefillTokens() == 0
		st.pendingPrefill[t.tier] += t.promptTokens
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
func (t *TrackedRequest) DataReceived(now time.Time) {
	t.update(func(st *state) {
		if t.speeds != nil {
			t.speeds.recordResponseGap(now.Sub(st.waitingSince))
		}
		st.waitingSince, st.lastResponseAt = now, now
	})
}

// EventReceived records an event of the response. It isn't safe for concurrent use.
func (t *TrackedRequest) EventReceived(now time.Time) {
	if t.firstEventAt.IsZero() {
		t.firstEventAt = now
		t.PrefillDone()
		t.recordServed(now)
		if t.measuresPrefill && t.speeds != nil {
			t.speeds.recordFirstToken(now.Sub(t.sent).Seconds(), t.promptTokens, t.endpointPace(now))
		}
	}
	perToken := t.pace.record(now)
	if perToken == 0 || t.speeds == nil {
		return // no sample
	}
	paceFactor := 0.0
	t.update(func(st *state) {
		st.outputToken.add(perToken, outputTokenQuantile)
		paceFactor = st.pace.At(now).Factor
	})
	t.speeds.recordOutputToken(perToken, paceFactor)
}

// endpointPace returns the endpoint's pace, 0 if it is unknown.
func (t *TrackedRequest) endpointPace(now time.Time) (factor float64) {
	t.update(func(st *state) { factor = st.pace.At(now).Factor })
	return factor
}

// PrefillDone records that the prompt is prefilled or no longer needs to be. Further calls have
// no effect.
func (t *TrackedRequest) PrefillDone() {
	t.prefillOnce.Do(func() {
		t.update(func(st *state) { st.pendingPrefill[t.tier] = max(0, st.pendingPrefill[t.tier]-t.promptTokens) })
	})
}

// Release records that the request no longer holds a slot at its endpoint. Further calls have no
// effect.
func (t *TrackedRequest) Release() {
	t.PrefillDone()
	t.releaseOnce.Do(func() {
		t.update(func(st *state) {
			st.inflightByTier[t.tier] = max(0, st.inflightByTier[t.tier]-1)
			if t.tightGap {
				st.tightGapStreams = max(0, st.tightGapStreams-1)
			}
		})
		if learner, ok := t.pool.cfg.Policy.(StreamObserver); ok && !t.firstEventAt.IsZero() && !t.statedLimit {
			learner.StreamEnded(t.pace.last, t.service, t.maxGap, t.pace.last.Sub(t.sent), t.late())
		}
	})
}

// late reports whether the response exceeded its objective or gap limit.
func (t *TrackedRequest) late() bool {
	firstEventLate := t.objective > 0 && t.firstEventAt.Sub(t.sent) > t.objective
	gapExceeded := t.maxGap > 0 && t.pace.longestGap > t.maxGap
	return firstEventLate || gapExceeded
}

// Refused records that the endpoint refused the request for lack of capacity.
func (t *TrackedRequest) Refused(now time.Time) {
	t.update(func(st *state) {
		st.refusedAt, st.requestsAtRefusal = now, st.load.TotalRunning()+st.load.TotalQueued()
	})
}

// Done records the outcome of the request. Times to first token depend on the prompts rather than
// the endpoints, so that they aren't compared between endpoints.
func (t *TrackedRequest) Done(now time.Time, res Result) {
	if res == ResultOK {
		t.recordServed(now)
	}
	if t.statedLimit {
		res = ResultCancelled // doesn't affect the endpoint's health
	}
	failing := false
	t.update(func(st *state) {
		st.recordDone(now, res, 0, t.pool.cfg.FirstTokenSmoothing)
		failing = res == ResultFailed && st.health.failureShare > t.pool.cfg.Outlier.FailureShare
	})
	t.pool.detectOutliers(now, failing)
}

func (t *TrackedRequest) update(f func(*state)) {
	sh := t.pool.shard(t.endpoint)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.states[t.endpoint] == t.state {
		f(t.state)
	}
}
