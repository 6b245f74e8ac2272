package balance

import (
	"time"

	"coveferry/internal/bundle"
	"coveferry/internal/endpointrate"
)

const (
	// partFor is how long a router's part of an endpoint's rate holds before it is worked out
	// again: routers come and go more slowly.
	partFor = 500 * time.Millisecond
	// leastRate is what an endpoint gets that names a limit of less, 0 included, in requests
	// a second from all routers: by the answer they hear that it takes more again.
	leastRate = 0.1
)

// bound is what is known of how many requests a second an endpoint takes from all routers.
type bound struct {
	coldUntil time.Time
	// suspect says that connections to the endpoint fail or it is silent: it may be a process
	// that has just started, or be one at any moment.
	suspect bool
	limit   limit
	pace    endpointrate.Pace
	// part is this router's requests a second of rate, as worked out at partAt.
	part, rate float64
	partAt     time.Time
}

// cold says whether the endpoint has just started or was taken back. rate is what a cold one
// takes; 0 bounds nothing.
func (b *bound) cold(now time.Time, rate float64) bool { return rate > 0 && now.Before(b.coldUntil) }

// takenForCold says whether the endpoint gets what a cold one does. Where nothing else may take a
// request it goes to one that is suspect, which must not get all there is then.
func (b *bound) takenForCold(now time.Time, req Request) bool {
	return b.cold(now, req.ColdRate) || b.suspect && req.ColdRate > 0 && !req.mostUnsure
}

// now is what the endpoint takes at present; false if anything.
func (b *bound) now(now time.Time, e *bundle.Endpoint, req Request) (endpointrate.Bound, bool) {
	cold := b.takenForCold(now, req)
	switch {
	case cold && (!b.limit.named || req.ColdRate <= b.limit.perSecond):
		return endpointrate.Cold(e.Name, e.FailureDomain, req.ColdRate), true
	case b.limit.named:
		return endpointrate.Limited(e.Name, e.FailureDomain, max(b.limit.perSecond, leastRate)), true
	}
	return endpointrate.Bound{}, false
}

// rankOf is the rank by which requests yield to each other. Cold endpoints have none: they are
// cold for a few seconds, and what yields there is lost.
func (b *bound) rankOf(now time.Time, req Request) int {
	if b.takenForCold(now, req) {
		return 0
	}
	return req.Tier
}

// aside says whether the endpoint has no place among those by which it is decided who is kept
// apart and where homes are: a cold one, or one whose limit leaves requests out. A limit that
// nothing comes up against changes nothing.
func (b *bound) aside(now time.Time, coldRate float64) bool {
	return b.cold(now, coldRate) || b.limit.named && b.pace.Binds(now)
}

// partOf is this router's part of a bound of the endpoint.
func (p *Pool) partOf(now time.Time, b *bound, of endpointrate.Bound) float64 {
	if b.partAt.IsZero() || now.Sub(b.partAt) > partFor || b.rate != of.PerSecond {
		b.part, b.rate, b.partAt = p.cfg.Part(now, of), of.PerSecond, now
		b.pace.Change(now, b.part)
	}
	return b.part
}

// ready says whether the endpoint, whose shard is locked, may be sent the request now.
func (p *Pool) ready(now time.Time, st *state, e *bundle.Endpoint, req Request) bool {
	of, bounded := st.bound.now(now, e, req)
	if !bounded {
		return true
	}
	return st.bound.pace.Ready(now, p.partOf(now, &st.bound, of), st.bound.rankOf(now, req))
}

// SetCold notes that an endpoint is cold for so much longer. What is known already isn't
// shortened: a word of how long may be older than another one.
func (p *Pool) SetCold(now time.Time, endpoint string, left time.Duration) {
	sh := p.shard(endpoint)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	st := sh.state(endpoint)
	if until := now.Add(left); until.After(st.bound.coldUntil) {
		st.bound.coldUntil = until
	}
}

// Take says whether an endpoint may be sent a request, and counts it where the endpoint takes
// so many a second from all routers. Of the request, only the tier and the cold rate count.
func (p *Pool) Take(now time.Time, e *bundle.Endpoint, req Request) bool {
	sh := p.shard(e.Name)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	st := sh.state(e.Name)
	of, bounded := st.bound.now(now, e, req)
	if !bounded {
		return true
	}
	taken := st.bound.pace.Take(now, p.partOf(now, &st.bound, of), st.bound.rankOf(now, req))
	if taken && st.bound.limit.named {
		p.limits.sent.Add(1)
	}
	return taken
}

// MayCheck says whether an endpoint may be sent a health check, and counts it where the
// endpoint names a limit: a check takes a place like any request. Those of cold endpoints
// aren't counted, as that they have returned is found out by checks.
func (p *Pool) MayCheck(now time.Time, e *bundle.Endpoint) bool { return p.Take(now, e, Request{}) }

// refuse notes that there was no endpoint for a request, so that less urgent ones leave it what
// comes next at those that take so many a second.
func (p *Pool) refuse(now time.Time, candidates []*bundle.Endpoint, req Request) {
	for _, e := range candidates {
		sh := p.shard(e.Name)
		sh.mu.Lock()
		if st, known := sh.states[e.Name]; known {
			st.bound.pace.Refuse(now, st.bound.rankOf(now, req))
		}
		sh.mu.Unlock()
	}
}

// turnAway notes that a request wasn't sent to an endpoint, and returns how long that takes no
// further one from this router.
func (p *Pool) turnAway(now time.Time, e *bundle.Endpoint, req Request) time.Duration {
	sh := p.shard(e.Name)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	b := &sh.state(e.Name).bound
	of, bounded := b.now(now, e, req)
	if !bounded {
		return 0
	}
	rank := b.rankOf(now, req)
	b.pace.TurnAway(now)
	part := p.partOf(now, b, of)
	if part <= 0 {
		// Its owners send what it takes: another one may.
		return endpointrate.Gap(of.PerSecond)
	}
	return max(0, b.pace.FreeAt(now, part, rank).Sub(now))
}
