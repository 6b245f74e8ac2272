package balance

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"coveferry/internal/age"
)

const (
	// maxBackoff bounds for how long an endpoint is left alone at its own request, so that no
	// value loses it for good.
	maxBackoff = 5 * time.Minute
	// maxBackoffJitter is how much longer a router may wait, so that not all routers return to an
	// endpoint at once; at most backoffJitterShare of the time that the endpoint asked for.
	maxBackoffJitter   = 500 * time.Millisecond
	backoffJitterShare = 0.25
	// peerBackoffGrace is how much longer routers wait that heard of a backoff from others, so that
	// those that were asked return first.
	peerBackoffGrace = 750 * time.Millisecond
	// reportDelay bounds by how much a report of another router makes a backoff look later than
	// it was asked for.
	reportDelay = 500 * time.Millisecond
	// rampDuration is how long after the first accepted request the ramp ends.
	rampDuration = time.Second
	// rampGrowth is how many further requests each accepted one allows during the ramp.
	rampGrowth = 2
	// rampTimeout is how long a request of the ramp may go without an answer before another one
	// is sent.
	rampTimeout = time.Second
	// yieldPeriod is how long the ramp is left to more urgent requests that found no endpoint.
	yieldPeriod = time.Second
	// rampRetryDelay is when a request may come back that finds the requests of the ramp in use.
	rampRetryDelay = 100 * time.Millisecond
)

// backoff is an endpoint's request to send it nothing for a while, and the ramp after that: a first
// request shows whether the endpoint accepts any, and each accepted one allows more. Otherwise all
// routers would return with their whole share at once, by load reports from before. A nil backoff
// allows everything.
type backoff struct {
	// until is when this router may send again; zero if only other routers were asked.
	until   time.Time
	askedAt time.Time
	// peersUntil is until when the endpoint is avoided since it asked other routers to back off at
	// peersAskedAt. It may accept this router's requests, so it is still chosen where no other
	// endpoint may be.
	peersUntil, peersAskedAt time.Time
	// credit is how many requests the ramp still allows.
	credit     int
	lastSentAt time.Time
	// acceptedAt is when the first request after the backoff was accepted; zero if none was.
	acceptedAt time.Time
	// unservedTier is the most urgent tier of requests that no endpoint could take lately, and
	// unservedAt when the last one of it came. Less urgent ones leave the ramp to it.
	unservedTier int
	unservedAt   time.Time
}

// ask begins or extends a backoff. A shorter one doesn't end a longer one.
func (b *backoff) ask(now time.Time, asked, jitter time.Duration) {
	b.askedAt = now
	b.until = maxTime(b.until, now.Add(min(asked, maxBackoff)+jitter))
	b.restartRamp()
}

// applyPeerReport applies a report that the endpoint asked other routers at the given time for a
// backoff that ends after left.
func (b *backoff) applyPeerReport(now, askedAt time.Time, left, jitter time.Duration) {
	b.peersAskedAt = maxTime(b.peersAskedAt, askedAt)
	if !now.Before(b.peersUntil) {
		b.restartRamp()
	}
	b.peersUntil = maxTime(b.peersUntil, now.Add(min(left, maxBackoff)+peerBackoffGrace+jitter))
}

func (b *backoff) restartRamp() { b.credit, b.acceptedAt = 1, time.Time{} }

// waiting reports whether the endpoint gets nothing.
func (b *backoff) waiting(now time.Time) bool { return b != nil && now.Before(b.until) }

// avoided reports whether the endpoint asked other routers to back off.
func (b *backoff) avoided(now time.Time) bool { return b != nil && now.Before(b.peersUntil) }

// ramping reports whether the number of requests is limited after a backoff.
func (b *backoff) ramping(now time.Time) bool {
	return b != nil && !b.waiting(now) && !b.avoided(now) && (b.acceptedAt.IsZero() || now.Sub(b.acceptedAt) < rampDuration)
}

// untested reports whether no request has been accepted since the backoff.
func (b *backoff) untested(now time.Time) bool { return b.ramping(now) && b.acceptedAt.IsZero() }

// over reports whether the backoff and the ramp have ended.
func (b *backoff) over(now time.Time) bool {
	return !b.waiting(now) && !b.avoided(now) && !b.ramping(now)
}

// allows reports whether the endpoint may be sent a request of a tier now, 0 for the most urgent.
func (b *backoff) allows(now time.Time, tier int) bool {
	switch {
	case b.waiting(now):
		return false
	case b.ramping(now):
		return !b.yields(now, tier) && (b.credit > 0 || now.Sub(b.lastSentAt) > rampTimeout)
	}
	return true
}

// yields reports whether a request of a tier leaves the ramp to more urgent ones.
func (b *backoff) yields(now time.Time, tier int) bool {
	return tier > b.unservedTier && now.Sub(b.unservedAt) < yieldPeriod
}

// recordUnserved records that no endpoint could take a request of a tier.
func (b *backoff) recordUnserved(now time.Time, tier int) {
	if b == nil {
		return
	}
	if tier <= b.unservedTier || now.Sub(b.unservedAt) >= yieldPeriod {
		b.unservedTier, b.unservedAt = tier, now
	}
}

// take counts a request that is sent now.
func (b *backoff) take(now time.Time) {
	if b.ramping(now) {
		b.credit = max(0, b.credit-1)
		b.lastSentAt = now
	}
}

// accept records that a request sent at the given time was accepted. It reports whether this is the
// first one since the endpoint asked this router to back off.
func (b *backoff) accept(now, sent time.Time) (first bool) {
	if sent.Before(b.until) || sent.Before(b.peersAskedAt) {
		return false
	}
	b.peersUntil = time.Time{}
	first = b.acceptedAt.IsZero()
	if first {
		b.acceptedAt = now
	}
	b.credit += rampGrowth
	return first && !b.until.IsZero()
}

// availableIn returns the time until the endpoint may be sent a request of a tier.
func (b *backoff) availableIn(now time.Time, tier int) time.Duration {
	switch {
	case b.waiting(now):
		return b.until.Sub(now)
	case !b.allows(now, tier):
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
	b := sh.state(endpoint).startBackoff()
	begins := !b.waiting(now)
	b.ask(now, asked, p.backoffJitter(now, endpoint, asked))
	sh.mu.Unlock()
	if begins {
		p.notifyBackoff(BackoffEvent{Endpoint: endpoint, Asked: asked})
	}
}

// RecordAccepted records that an endpoint accepted a request or a health check that was sent at the
// given time, whatever became of it.
func (p *Pool) RecordAccepted(now, sent time.Time, endpoint string) {
	sh := p.shard(endpoint)
	sh.mu.Lock()
	event := BackoffEvent{Endpoint: endpoint}
	first := sh.state(endpoint).recordAccepted(now, sent, &event)
	sh.mu.Unlock()
	if first {
		p.notifyBackoff(event)
	}
}

func (st *state) recordAccepted(now, sent time.Time, event *BackoffEvent) (first bool) {
	st.acceptedSentAt = maxTime(st.acceptedSentAt, sent)
	if st.backoff == nil {
		return false
	}
	first = st.backoff.accept(now, sent)
	event.Since = now.Sub(st.backoff.askedAt)
	if st.backoff.over(now) {
		st.backoff = nil
	}
	return first
}

// startBackoff returns the endpoint's backoff, a new one if it has none.
func (st *state) startBackoff() *backoff {
	if st.backoff == nil {
		st.backoff = &backoff{}
	}
	return st.backoff
}

// applyPeerBackoffs avoids endpoints that asked other routers to back off, unless they have accepted
// a request of this router that was sent since.
func (p *Pool) applyPeerBackoffs(now time.Time, reports []FailureSummary) {
	for _, w := range reports {
		if w.BackoffMillis > 0 {
			p.applyPeerBackoff(now, w)
		}
	}
}

func (p *Pool) applyPeerBackoff(now time.Time, w FailureSummary) {
	askedAt, dated := age.FromMillis(w.BackoffAgeMillis).Before(now)
	left, bounded := age.FromMillis(w.BackoffMillis).Get()
	if !dated || !bounded {
		return
	}
	sh := p.shard(w.Endpoint)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	st, known := sh.states[w.Endpoint]
	if !known || askedAt.Before(st.restartedAt.Add(reportDelay)) || askedAt.Before(st.acceptedSentAt) {
		return
	}
	if st.backoff.waiting(now) && askedAt.Before(st.backoff.askedAt.Add(reportDelay)) {
		return // the other routers were asked when this one was
	}
	st.startBackoff().applyPeerReport(now, askedAt, left, p.backoffJitter(now, w.Endpoint, left))
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

// BackoffUse is the backoff of an endpoint that gets nothing from this router now.
type BackoffUse struct {
	// Age is the time since the endpoint last asked for it, and Left that until it ends.
	Age, Left time.Duration
}

// String formats the backoff for a log line.
func (u BackoffUse) String() string {
	return fmt.Sprintf("asked %s ago, %s left", u.Age.Round(time.Millisecond), u.Left.Round(time.Millisecond))
}

// BackoffOf returns an endpoint's backoff; false if it may be sent requests or is in the ramp.
func (p *Pool) BackoffOf(now time.Time, endpoint string) (BackoffUse, bool) {
	sh := p.shard(endpoint)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	st, known := sh.states[endpoint]
	if !known || !st.backoff.waiting(now) {
		return BackoffUse{}, false
	}
	return BackoffUse{Age: now.Sub(st.backoff.askedAt), Left: st.backoff.until.Sub(now)}, true
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
