package balance

import (
	"fmt"
	"math"
	"sync/atomic"
	"time"

	"coveferry/internal/bundle"
	"coveferry/internal/upstream"
)

// limit is the rate limit that an endpoint states in its responses, for all routers together.
type limit struct {
	active    bool
	perSecond float64
	// statedAt is when the endpoint last stated it, as far as known; zero if it never stated one.
	statedAt time.Time
	// changedAt is when this router learned of the last change to report to its peers, and
	// advertised the limit at that time.
	changedAt  time.Time
	advertised float64
}

// minRelativeChange is the share by which a limit must differ from the last advertised one to be
// reported to peers again. Routers that have a share of the limit learn its value from the
// endpoint's own responses; the others need only its magnitude.
const minRelativeChange = 0.1

// applyResponse applies what a response to a request sent at the given time states. Responses can
// arrive out of order: one whose request was sent before the last statement neither ends a limit
// nor sets one that has ended.
func (l *limit) applyResponse(now, sent time.Time, stated upstream.RateLimit) (changed bool) {
	outdated := sent.Before(l.statedAt)
	switch stated.Kind {
	case upstream.LimitSet:
		if outdated && !l.active {
			return false
		}
		return l.set(now, now, true, stated.PerSecond)
	case upstream.LimitNone:
		if !l.active || outdated {
			return false
		}
		return l.set(now, now, false, 0)
	}
	return false
}

// set stores a limit that the endpoint stated at the given time.
func (l *limit) set(now, at time.Time, stated bool, perSecond float64) (changed bool) {
	changed = stated != l.active || math.Abs(perSecond-l.advertised) > minRelativeChange*l.advertised
	l.active, l.perSecond, l.statedAt = stated, perSecond, at
	if changed {
		l.changedAt, l.advertised = now, perSecond
	}
	return changed
}

// limitStats is the state shared by the rate limits of all endpoints.
type limitStats struct {
	// seen says that some endpoint has stated a limit since this router started.
	seen atomic.Bool
	// sent counts requests to endpoints with a limit.
	sent atomic.Int64
	// rotation is the offset of the next batch for peers, where there are too many for one.
	rotation atomic.Uint64
}

// LimitEvent is a change of the limit that an endpoint states.
type LimitEvent struct {
	Endpoint string
	// Limited says that the endpoint limits all routers together to PerSecond; false if it no
	// longer does.
	Limited   bool
	PerSecond float64
	// FromPeer says that another router reported the change.
	FromPeer bool
}

// ApplyLimit applies what an endpoint states about its limit in the response to a request sent at
// the given time.
func (p *Pool) ApplyLimit(now, sent time.Time, endpoint string, stated upstream.RateLimit) {
	if stated.Kind == upstream.LimitNone && !p.limits.seen.Load() {
		return
	}
	sh := p.shard(endpoint)
	sh.mu.Lock()
	l := &sh.state(endpoint).rateState.limit
	changed := l.applyResponse(now, sent, stated)
	event := LimitEvent{Endpoint: endpoint, Limited: l.active, PerSecond: l.perSecond}
	sh.mu.Unlock()
	if changed {
		p.notifyLimit(event)
	}
}

func (p *Pool) notifyLimit(e LimitEvent) {
	p.limits.seen.Store(true)
	if p.cfg.OnLimit != nil {
		p.cfg.OnLimit(e)
	}
}

// LimitUse is the limit of an endpoint and this router's use of it.
type LimitUse struct {
	// PerSecond is what the endpoint accepts from all routers, as stated Age ago, Share
	// this router's share of it and Used what this router sent recently, each in requests a second.
	PerSecond   float64
	Share, Used float64
	Age         time.Duration
}

// String formats the use for a log line.
func (u LimitUse) String() string {
	return fmt.Sprintf("part %.3g/s, %.3g/s used, of %.3g/s said %s ago", u.Share, u.Used, u.PerSecond, u.Age.Round(time.Millisecond))
}

// LimitOf is the use of an endpoint's limit; false if the endpoint states none.
func (p *Pool) LimitOf(now time.Time, e *bundle.Endpoint) (LimitUse, bool) {
	if !p.limits.seen.Load() {
		return LimitUse{}, false
	}
	sh := p.shard(e.Name)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	st, ok := sh.states[e.Name]
	if !ok || !st.rateState.limit.active {
		return LimitUse{}, false
	}
	b := &st.rateState
	return LimitUse{
		PerSecond: b.limit.perSecond, Share: b.share, Used: b.pace.Admitted(now), Age: now.Sub(b.limit.statedAt),
	}, true
}

// LimitTotals sums up the limits that endpoints state.
type LimitTotals struct {
	// Endpoints is how many endpoints state one.
	Endpoints int
	// PerSecond is what they accept together from all routers, and Share this router's share.
	PerSecond, Share float64
	// Sent counts this router's requests to such endpoints.
	Sent int64
}

// Limits sums up the limits that endpoints state.
func (p *Pool) Limits() LimitTotals {
	sum := LimitTotals{Sent: p.limits.sent.Load()}
	if !p.limits.seen.Load() {
		return sum
	}
	for i := range p.shards {
		p.shards[i].addLimits(&sum)
	}
	return sum
}

func (sh *shard) addLimits(sum *LimitTotals) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for _, st := range sh.states {
		if st.rateState.limit.active {
			sum.Endpoints++
			sum.PerSecond += st.rateState.limit.perSecond
			sum.Share += st.rateState.share
		}
	}
}
