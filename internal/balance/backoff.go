package balance

import (
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxBackoff bounds for how long an endpoint is left alone at its own request, so that no
	// value loses it for good.
	maxBackoff = 5 * time.Minute
	// maxBackoffJitter is how much longer a router may wait, so that not all routers return to an
	// endpoint at once; at most backoffJitterShare of the time that the endpoint asked for.
	maxBackoffJitter   = 500 * time.Millisecond
	backoffJitterShare = 0.25
	// rampDuration is how long after the first accepted request the ramp ends.
	rampDuration = time.Second
	// rampGrowth is how many further requests each accepted one allows during the ramp.
	rampGrowth = 2
	// rampTimeout is how long a request of the ramp may go without an answer before another one
	// is sent.
	rampTimeout = time.Second
	// rampRetryDelay is when a request may come back that finds the requests of the ramp in use.
	rampRetryDelay = 100 * time.Millisecond
)

// backoff is an endpoint's request to send it nothing for a while, and the ramp after that: a first
// request shows whether the endpoint accepts any, and each accepted one allows more. Otherwise all
// routers would return with their whole share at once, by load reports from before.
type backoff struct {
	until   time.Time // zero: no backoff and no ramp
	askedAt time.Time
	asked   time.Duration // as the endpoint stated it last
	// credit is how many requests the ramp still allows.
	credit     int
	lastSentAt time.Time
	// acceptedAt is when the first request after until was accepted; zero if none was.
	acceptedAt time.Time
}

// ask begins or extends a backoff. A shorter one doesn't end a longer one.
func (b *backoff) ask(now time.Time, asked, jitter time.Duration) {
	b.askedAt, b.asked = now, asked
	b.until = maxTime(b.until, now.Add(min(asked, maxBackoff)+jitter))
	b.credit, b.acceptedAt = 1, time.Time{}
}

// waiting reports whether the endpoint gets nothing.
func (b *backoff) waiting(now time.Time) bool { return now.Before(b.until) }

// ramping reports whether the number of requests is limited after a backoff.
func (b *backoff) ramping(now time.Time) bool {
	return !b.until.IsZero() && !b.waiting(now) && (b.acceptedAt.IsZero() || now.Sub(b.acceptedAt) < rampDuration)
}

// allows reports whether the endpoint may be sent a request now.
func (b *backoff) allows(now time.Time) bool {
	switch {
	case b.waiting(now):
		return false
	case b.ramping(now):
		return b.credit > 0 || now.Sub(b.lastSentAt) > rampTimeout
	}
	return true
}

// take counts a request that is sent now.
func (b *backoff) take(now time.Time) {
	if b.ramping(now) {
		b.credit = max(0, b.credit-1)
		b.lastSentAt = now
	}
}

// accept records an answer without backoff to a request sent at the given time. It reports whether
// this is the first one since the backoff.
func (b *backoff) accept(now, sent time.Time) (first bool) {
	if !b.ramping(now) || sent.Before(b.until) {
		return false
	}
	first = b.acceptedAt.IsZero()
	if first {
		b.acceptedAt = now
	}
	b.credit += rampGrowth
	return first
}

// availableIn returns the time until the endpoint may be sent a request.
func (b *backoff) availableIn(now time.Time) time.Duration {
	switch {
	case b.waiting(now):
		return b.until.Sub(now)
	case !b.allows(now):
		return rampRetryDelay
	}
	return 0
}

// backoffStats counts over all endpoints.
type backoffStats struct {
	// asked counts the answers that asked for backoff.
	asked atomic.Int64
}

// BackoffEvent says that an endpoint asked this router to back off, or accepts requests again.
type BackoffEvent struct {
	Endpoint string
	// Asked is what the endpoint stated, 0 if it accepts requests again.
	Asked time.Duration
	// Since is the time since it last asked; 0 if it asks now.
	Since time.Duration
}

// askForBackoff applies an answer that asks this router to back off.
func (p *Pool) askForBackoff(now time.Time, endpoint string, asked time.Duration) {
	p.backoffs.asked.Add(1)
	sh := p.shard(endpoint)
	sh.mu.Lock()
	b := &sh.state(endpoint).backoff
	begins := !b.waiting(now)
	b.ask(now, asked, p.backoffJitter(now, endpoint, asked))
	sh.mu.Unlock()
	if begins {
		p.notifyBackoff(BackoffEvent{Endpoint: endpoint, Asked: asked})
	}
}

// acceptAfterBackoff applies an answer that doesn't ask for backoff.
func (p *Pool) acceptAfterBackoff(now, sent time.Time, endpoint string) {
	sh := p.shard(endpoint)
	sh.mu.Lock()
	b := &sh.state(endpoint).backoff
	first := b.accept(now, sent)
	since := now.Sub(b.askedAt)
	sh.mu.Unlock()
	if first {
		p.notifyBackoff(BackoffEvent{Endpoint: endpoint, Since: since})
	}
}

func (p *Pool) notifyBackoff(e BackoffEvent) {
	if p.cfg.OnBackoff != nil {
		p.cfg.OnBackoff(e)
	}
}

// backoffJitter differs between routers, endpoints and backoffs.
func (p *Pool) backoffJitter(now time.Time, endpoint string, asked time.Duration) time.Duration {
	longest := min(maxBackoffJitter, time.Duration(backoffJitterShare*float64(asked)))
	const parts = 1024
	part := mix(xxhash.Sum64String(endpoint)^p.cfg.Seed^uint64(now.UnixNano())) % parts
	return longest * time.Duration(part) / parts
}

// BackoffTotals sums up the backoffs of all endpoints.
type BackoffTotals struct {
	// Endpoints is how many endpoints get nothing now.
	Endpoints int
	// Asked counts the answers that asked for backoff.
	Asked int64
}

// Backoffs sums up the backoffs of all endpoints.
func (p *Pool) Backoffs(now time.Time) BackoffTotals {
	sum := BackoffTotals{Asked: p.backoffs.asked.Load()}
	for i := range p.shards {
		sum.Endpoints += p.shards[i].countBackingOff(now)
	}
	return sum
}

func (sh *shard) countBackingOff(now time.Time) int {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	n := 0
	for _, st := range sh.states {
		if st.backoff.waiting(now) {
			n++
		}
	}
	return n
}
