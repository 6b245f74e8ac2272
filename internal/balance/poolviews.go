package balance

import (
	"time"

	"coveferry/internal/bundle"
)

// availability reports whether an endpoint may be sent a request.
type availability uint8

const (
	accepting availability = iota
	// draining: it accepts no new requests.
	draining
	// atRateLimit: the endpoint has a rate limit, and this router has used up its share.
	atRateLimit
	// backingOff: the endpoint asked this router to back off, or takes no more requests yet in
	// the ramp after that.
	backingOff
)

// restoreIfAllEjected restores the weight of ejected endpoints if there are no others: a slow
// response is better than none.
func restoreIfAllEjected(views []View) {
	for i := range views {
		if views[i].Weight > 0 {
			return
		}
	}
	for i := range views {
		views[i].Weight = 1
	}
}

// fillView fills v and returns whether the endpoint may be sent the request.
func (p *Pool) fillView(now time.Time, c *bundle.Endpoint, v *View, req Request) availability {
	sh := p.shard(c.Name)
	sh.mu.Lock()
	st := sh.state(c.Name)
	change := st.updateDistrust(now)
	avail := p.fillViewOf(now, st, c, v, req)
	sh.mu.Unlock()
	p.notifyRefusals(RefusalEvent{Endpoint: c.Name}, change)
	return avail
}

// fillViewOf is fillView for the state of the endpoint, whose shard is locked.
func (p *Pool) fillViewOf(now time.Time, st *state, c *bundle.Endpoint, v *View, req Request) availability {
	if st.group == "" {
		st.group, st.domain = endpointGroup(c), c.FailureDomain
	}
	if st.speeds == nil {
		st.speeds = p.speedsOf(st.group)
	}
	st.fillView(c, v)
	paceNow := st.pace.At(now)
	v.Pace, v.PaceClass = paceNow.Factor, paceNow.Class
	speed := st.speeds.estimate(st.outputToken, v.Pace)
	v.SecondsPerOutputToken, v.SecondsPerPromptToken, v.PrefillOverhead = speed.SecondsPerOutputToken, speed.SecondsPerPromptToken, speed.PrefillOverhead
	v.CachedTokens = st.cachedParts.cached(now, req.Prompt)
	v.Full = st.full(now)
	v.Weight = st.health.weight(now, p.cfg.Outlier)
	if st.rateState.suspect || now.Before(st.avoidUntil) || st.backoff.avoided(now) {
		v.Weight = 0
	}
	if req.Retry && st.backoff.untested(now) {
		v.Weight = 0 // another refusal would cost another retry
	}
	_, limited := st.rateState.currentLimit(now, c, req)
	v.Metered = limited || st.backoff.ramping(now)
	v.ReducedCapacity = st.rateState.reducedCapacity(now, req.ColdRate)
	v.Suspect = st.rateState.suspect
	v.Distrusted = st.refusals.Distrusted()
	switch {
	case st.leaving:
		return draining
	case !st.backoff.allows(now, req.Tier):
		return backingOff
	case !p.ready(now, st, c, req):
		return atRateLimit
	}
	return accepting
}

func (p *Pool) speedsOf(group string) *engineSpeeds {
	speeds, _ := p.speedsByGroup.LoadOrStore(group, &engineSpeeds{})
	return speeds.(*engineSpeeds)
}

// Views returns the state of the candidates for status pages, in their order and including
// leaving ones.
func (p *Pool) Views(now time.Time, candidates []*bundle.Endpoint) []View {
	views := make([]View, len(candidates))
	for i, c := range candidates {
		p.fillView(now, c, &views[i], Request{})
	}
	comparePaces(views, nil)
	return views
}
