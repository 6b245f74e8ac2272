package balance

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"coveferry/internal/load"
	"coveferry/internal/refusals"
)

// refusalStats counts over all endpoints.
type refusalStats struct {
	// contradictions counts the refusals that contradict the stated load.
	contradictions atomic.Int64
	// seen is set once this router saw a refusal that may be one, or a peer reported one. Until
	// then served requests aren't counted.
	seen atomic.Bool
}

// RefusalEvent says that an endpoint begins or ends to be distrusted for its refusals.
type RefusalEvent struct {
	Endpoint   string
	Distrusted bool
}

// ContradictedLoad records that the endpoint refused the request for lack of room, though its load
// in the same answer (nil if it stated none) leaves room. Refusals without a load count only if the
// endpoint never stated one and serves nothing, while another one of its group does. Answers that ask
// for backoff, state a rate limit, or say that the endpoint is cold or leaving aren't to be recorded.
func (t *TrackedRequest) ContradictedLoad(now time.Time, stated *load.Report, slots int) {
	kind := refusals.KindOf(stated, slots)
	if kind == refusals.Consistent || t.pool.cfg.TrustStatedLoad || t.statedLimit {
		return
	}
	p := t.pool
	p.refusals.seen.Store(true)
	event := RefusalEvent{Endpoint: t.endpoint}
	change := refusals.Unchanged
	t.update(func(st *state) {
		if st.mayRefuse(now) || kind == refusals.Unstated && !st.refusesWhileOthersServe(now) {
			return
		}
		p.refusals.contradictions.Add(1)
		if st.refusals == nil {
			st.refusals = refusals.New()
		}
		st.refusals.Contradicted(now)
		change = st.refusals.Update(now)
	})
	p.notifyRefusals(event, change)
}

// mayRefuse reports whether the endpoint has another reason to refuse than its load: it is cold, leaves
// or is in the ramp after a backoff. Health checks may have said so instead of the answer.
func (st *state) mayRefuse(now time.Time) bool {
	return st.leaving || now.Before(st.rateState.coldUntil) || st.backoff != nil && !st.backoff.over(now)
}

// servedRecently is how recently another endpoint of the group must have served a request.
const servedRecently = time.Second

// refusesWhileOthersServe reports whether the endpoint never stated its load and served no request
// lately, while another endpoint of the group did.
func (st *state) refusesWhileOthersServe(now time.Time) bool {
	if st.speeds == nil || !st.reportedAt.IsZero() || now.Sub(st.servedAt) < servedRecently {
		return false
	}
	return now.Sub(time.Unix(0, st.speeds.servedAt.Load())) < servedRecently
}

// recordServed records, once, that the endpoint served the request or began to.
func (t *TrackedRequest) recordServed(now time.Time) {
	if t.servedRecorded || !t.pool.refusals.seen.Load() {
		return
	}
	t.servedRecorded = true
	change := refusals.Unchanged
	t.update(func(st *state) {
		st.servedAt = now
		if st.speeds != nil {
			st.speeds.servedAt.Store(now.UnixNano())
		}
		if st.refusals != nil {
			st.refusals.Served(now)
			change = st.refusals.Update(now)
		}
	})
	t.pool.notifyRefusals(RefusalEvent{Endpoint: t.endpoint}, change)
}

func (p *Pool) notifyRefusals(e RefusalEvent, c refusals.Change) {
	e.Distrusted = c == refusals.Begins
	if c != refusals.Unchanged && p.cfg.OnRefusals != nil {
		p.cfg.OnRefusals(e)
	}
}

// distrustedView takes the distrusted endpoints out of the choice by load, and returns the index of
// one that the request is sent to by what it serves, -1 if there is none. If no other endpoint can
// take the request, it does nothing.
func (p *Pool) distrustedView(now time.Time, req Request, views []View, rnd *rand.Rand) int {
	trusted, distrusted := 0, 0
	for i := range views {
		switch v := &views[i]; {
		case v.Weight <= 0:
		case v.Distrusted:
			distrusted++
		case !v.Full:
			trusted++
		}
	}
	if trusted == 0 || distrusted == 0 {
		return -1
	}
	chosen, draw := -1, rnd.Float64()
	for i := range views {
		v := &views[i]
		if !v.Distrusted || v.Weight <= 0 {
			continue
		}
		v.Weight = 0
		if req.Retry || v.Metered {
			continue
		}
		draw -= p.distrustedShare(now, v.Endpoint, trusted+distrusted)
		if draw < 0 && chosen < 0 {
			chosen = i
		}
	}
	return chosen
}

// recordDistrustedChoice has the policy count the demand of a request that it didn't choose the
// endpoint for.
func (p *Pool) recordDistrustedChoice(now time.Time, req Request, v View, rnd *rand.Rand) {
	v.Weight, req.Subset = 1, true
	p.cfg.Policy.Choose(now, req, []View{v}, rnd)
}

// distrustedShare returns the probability with which a request is sent to a distrusted endpoint, one
// of endpoints in all.
func (p *Pool) distrustedShare(now time.Time, endpoint string, endpoints int) float64 {
	sh := p.shard(endpoint)
	sh.mu.Lock()
	st, known := sh.states[endpoint]
	if !known || !st.refusals.Distrusted() {
		sh.mu.Unlock()
		return 0
	}
	change := st.refusals.Update(now)
	share := st.refusals.Share(now, endpoints)
	sh.mu.Unlock()
	p.notifyRefusals(RefusalEvent{Endpoint: endpoint}, change)
	return share
}

// ownRefusals returns this router's outcomes at the endpoint, and drops old evidence.
func (st *state) ownRefusals(now time.Time) refusals.Counts {
	if st.refusals == nil {
		return refusals.Counts{}
	}
	if st.refusals.Over(now) {
		st.refusals = nil
		return refusals.Counts{}
	}
	return st.refusals.Own(now)
}

// addRefusals adds this router's outcomes at the endpoint to its report to peers.
func (s *FailureSummary) addRefusals(c refusals.Counts) {
	s.Contradicted, s.Served, s.Distrusting = c.Contradicted, c.Served, c.Routers
}

// applyPeerRefusals applies the outcomes that peers report of endpoints whose refusals contradict
// their load.
func (p *Pool) applyPeerRefusals(now time.Time, reports []FailureSummary) {
	if p.cfg.TrustStatedLoad {
		return
	}
	for _, w := range reports {
		if c := (refusals.Counts{Contradicted: w.Contradicted, Served: w.Served, Routers: w.Distrusting}); c != (refusals.Counts{}) {
			p.applyPeerRefusal(now, w.Endpoint, c)
		}
	}
}

func (p *Pool) applyPeerRefusal(now time.Time, endpoint string, c refusals.Counts) {
	sh := p.shard(endpoint)
	sh.mu.Lock()
	st, known := sh.states[endpoint]
	if !known || now.Sub(st.restartedAt) <= restartGracePeriod || st.refusals == nil && !c.Matters() {
		sh.mu.Unlock()
		return
	}
	if st.refusals == nil {
		p.refusals.seen.Store(true)
		st.refusals = refusals.New()
	}
	st.refusals.Report(now, c)
	change := st.refusals.Update(now)
	sh.mu.Unlock()
	p.notifyRefusals(RefusalEvent{Endpoint: endpoint}, change)
}

// RefusalTotals sums up the refusals that contradict the stated load.
type RefusalTotals struct {
	// Endpoints is how many endpoints are distrusted now.
	Endpoints int
	// Contradictions counts the refusals since the start.
	Contradictions int64
}

// Refusals sums up the refusals that contradict the stated load.
func (p *Pool) Refusals() RefusalTotals {
	sum := RefusalTotals{Contradictions: p.refusals.contradictions.Load()}
	if !p.refusals.seen.Load() {
		return sum
	}
	for i := range p.shards {
		sh := &p.shards[i]
		sh.mu.Lock()
		for _, st := range sh.states {
			if st.refusals.Distrusted() {
				sum.Endpoints++
			}
		}
		sh.mu.Unlock()
	}
	return sum
}
