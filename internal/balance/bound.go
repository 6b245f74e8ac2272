package balance

import (
	"time"

	"coveferry/internal/bundle"
	"coveferry/internal/endpointrate"
)

const (
	// shareTTL is how long a router's share of an endpoint's rate is used before it is computed
	// again. Routers come and go more slowly.
	shareTTL = 500 * time.Millisecond
	// minRate is the rate, in requests a second from all routers, of an endpoint that states a
	// lower limit, 0 included: only a response tells the routers that the limit has risen.
	minRate = 0.1
)

// rateState is the state of an endpoint's rate limit, in requests a second from all routers.
type rateState struct {
	coldUntil time.Time
	// suspect says that connections to the endpoint fail or that it is unresponsive. Its process
	// may have just started, or may restart at any moment.
	suspect bool
	limit   limit
	pace    endpointrate.Pacer
	// share is this router's share of rate, as computed at shareAt.
	share, rate float64
	shareAt     time.Time
}

// cold reports whether the endpoint has just started or rejoined. rate is what a cold endpoint
// accepts; 0 means that cold endpoints aren't limited.
func (b *rateState) cold(t time.Time, rate float64) bool { return rate > 0 && t.Before(b.coldUntil) }

// treatAsCold reports whether the endpoint gets the rate of a cold one. A suspect endpoint does too:
// where no other endpoint may take requests, it must not get all of them at once.
func (b *rateState) treatAsCold(now time.Time, req Request) bool {
	return b.cold(now, req.ColdRate) || b.suspect && req.ColdRate > 0 && !req.majoritySuspect
}

// currentLimit is the rate limit that currently applies to the endpoint; false if none does.
func (b *rateState) currentLimit(now time.Time, e *bundle.Endpoint, req Request) (endpointrate.Bound, bool) {
	cold := b.treatAsCold(now, req)
	switch {
	case cold && (!b.limit.active || req.ColdRate <= b.limit.perSecond):
		return endpointrate.ColdBound(e.Name, e.FailureDomain, req.ColdRate), true
	case b.limit.active:
		return endpointrate.StatedBound(e.Name, e.FailureDomain, max(b.limit.perSecond, minRate)), true
	}
	return endpointrate.Bound{}, false
}

// tier is the tier by which requests yield their turn to others. At a cold endpoint all have the
// highest: it is cold for a few seconds only, and a turn that is yielded there goes unused.
func (b *rateState) tier(now time.Time, req Request) int {
	if b.treatAsCold(now, req) {
		return 0
	}
	return req.Tier
}

// reducedCapacity reports whether the endpoint is left out of the decisions on isolated kinds and
// preferred endpoints: it is cold, or its limit turns requests away. A limit that no request
// reaches changes nothing.
func (b *rateState) reducedCapacity(now time.Time, coldRate float64) bool {
	return b.cold(now, coldRate) || b.limit.active && b.pace.Limiting(now)
}

// shareOf is this router's share of a rate limit of the endpoint.
func (p *Pool) shareOf(now time.Time, b *rateState, limit endpointrate.Bound) float64 {
	if b.shareAt.IsZero() || now.Sub(b.shareAt) > shareTTL || b.rate != limit.PerSecond {
		b.share, b.rate, b.shareAt = p.cfg.RateShare(now, limit), limit.PerSecond, now
		b.pace.RateChanged(now, b.share)
	}
	return b.share
}

// ready reports whether the endpoint's rate limit admits the request now. The caller holds the lock
// of its shard.
func (p *Pool) ready(now time.Time, st *state, e *bundle.Endpoint, req Request) bool {
	limit, limited := st.rateState.currentLimit(now, e, req)
	if !limited {
		return true
	}
	return st.rateState.pace.Ready(now, p.shareOf(now, &st.rateState, limit), st.rateState.tier(now, req))
}

// SetCold sets the endpoint cold for the time left. It never shortens the time known already, since
// reports of it may arrive out of order.
func (p *Pool) SetCold(now time.Time, endpoint string, left time.Duration) {
	sh := p.shard(endpoint)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	st := sh.state(endpoint)
	if until := now.Add(left); until.After(st.rateState.coldUntil) {
		st.rateState.coldUntil = until
	}
}

// Take reports whether an endpoint may be sent a request now, by its rate limit and its backoff, and
// counts the request. Only the tier and the cold rate of req matter.
func (p *Pool) Take(now time.Time, e *bundle.Endpoint, req Request) bool {
	sh := p.shard(e.Name)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	st := sh.state(e.Name)
	if !st.backoff.allows(now, req.Tier) {
		return false
	}
	limit, limited := st.rateState.currentLimit(now, e, req)
	if !limited {
		st.backoff.take(now)
		return true
	}
	taken := st.rateState.pace.Take(now, p.shareOf(now, &st.rateState, limit), st.rateState.tier(now, req))
	if taken {
		st.backoff.take(now)
	}
	if taken && st.rateState.limit.active {
		p.limits.sent.Add(1)
	}
	return taken
}

// MayCheck reports whether an endpoint may be sent a health check and, if the endpoint states a
// limit, counts the check like a request. Checks of cold endpoints aren't counted, since only
// checks find out that such an endpoint has returned.
func (p *Pool) MayCheck(now time.Time, e *bundle.Endpoint) bool { return p.Take(now, e, Request{}) }

// recordUnserved records that no endpoint could take a request, so that the next turn at the
// candidates that are at their rate limit or back off is not given to a less urgent request.
func (p *Pool) recordUnserved(now time.Time, candidates []*bundle.Endpoint, req Request) {
	for _, e := range candidates {
		sh := p.shard(e.Name)
		sh.mu.Lock()
		if st, known := sh.states[e.Name]; known {
			st.rateState.pace.RecordUnserved(now, st.rateState.tier(now, req))
			st.backoff.recordUnserved(now, req.Tier)
		}
		sh.mu.Unlock()
	}
}

// recordRejected records that an endpoint couldn't take a request, and returns the time until it
// can take one from this router.
func (p *Pool) recordRejected(now time.Time, e *bundle.Endpoint, req Request) time.Duration {
	sh := p.shard(e.Name)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	b := &sh.state(e.Name).rateState
	limit, limited := b.currentLimit(now, e, req)
	if !limited {
		return 0
	}
	tier := b.tier(now, req)
	b.pace.RecordRejected(now)
	share := p.shareOf(now, b, limit)
	if share <= 0 {
		// The whole rate is assigned to other routers, which send at this interval.
		return endpointrate.Interval(limit.PerSecond)
	}
	return max(0, b.pace.FreeAt(now, share, tier).Sub(now))
}
