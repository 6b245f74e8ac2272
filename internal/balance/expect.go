package balance

import "time"

// Estimate implements ChoiceEstimator.
func (p PromptAware) Estimate(req Request, views, leaving []View, chosen int) Estimates {
	decision := p.demand.lastIsolation(req.Service)
	regular, _ := splitReducedCapacity(views, usableViews(views))
	ranked := rankForTightGap(views, regular)
	e := Estimates{TightGap: decision.isolates(req.MaxGap), DedicatedEndpoints: decision.dedicated}
	group := decision.rankedGroup(e.TightGap, ranked)
	e.PrefillTime = prefillTime(req, &views[chosen])
	reach := group
	if e.TightGap {
		reach = ranked // tight-gap streams overflow to other endpoints if the dedicated ones are full
	}
	e.Forecast = views[chosen].forecasts
	if e.Forecast {
		e.Wait = views[chosen].answer(req).Start + e.PrefillTime
	} else {
		e.Wait = max(prefillWait(req, views, group, chosen), p.slotWait(req, views, reach, chosen)) + e.PrefillTime
	}
	e.FetchFrom = fetchSource(req, views, leaving, group, chosen)
	e.CopyTo = copyTarget(req, views, e, group, ranked, chosen)
	return e
}

// rankedGroup returns the endpoints dedicated to tight-gap streams or the other ones, from all in
// rank order. Each group has at least one.
func (s isolation) rankedGroup(tight bool, ranked []int) []int {
	if tight {
		return ranked[:min(max(s.dedicated, 1), len(ranked))]
	}
	return ranked[min(s.dedicated, max(len(ranked)-1, 0)):]
}

// prefillWait returns how long a request waits until the prefill of its own prompt starts.
// Prompts of higher tiers are prefilled first, so only those of its own tier and above count.
// What other routers sent to the endpoint isn't known; on average it is what this router sent to
// the endpoints of the request's group. Endpoints outside the group don't count: if they did,
// long prompts queued there would get streams on the dedicated endpoints rejected, 30 in half a
// second.
func prefillWait(req Request, views []View, group []int, chosen int) time.Duration {
	if req.Prompt.Tokens == 0 {
		return 0
	}
	if views[chosen].ReducedCapacity {
		// Few routers send to this endpoint, and this one is among them.
		return seconds(views[chosen].SecondsPerPromptToken * float64(views[chosen].prefillAhead(req.Tier)))
	}
	mean := 0.0
	for _, i := range group {
		mean += float64(views[i].prefillAhead(req.Tier)) / float64(len(group))
	}
	others := mean * (1/ownInflightShare(views) - 1)
	ahead := float64(views[chosen].prefillAhead(req.Tier)) + others
	return seconds(views[chosen].SecondsPerPromptToken * ahead)
}

// usableSlotShare is the share of the slots that requests of a tier may fill while there are
// higher tiers. The rest stays free for more urgent requests, which would otherwise preempt
// running ones.
const usableSlotShare = 0.9

// slotWait returns how long a request waits for a slot behind those of its tier and above if the
// slots of its group are in use. Engines start more urgent requests first and preempt others in
// the middle of their responses, so that a request that can't get a slot is better rejected. The
// estimate covers the whole group, because data on a single endpoint is sparse. In two overloads
// of 20 s with nine endpoints callers got .436 and .371 of the value of timely responses with
// this rule and per-route tiers, and .403 and .334 without them.
func (p PromptAware) slotWait(req Request, views []View, group []int, chosen int) time.Duration {
	if req.Prompt.Tokens == 0 || views[chosen].ReducedCapacity {
		return 0
	}
	requests, slots, inflight, ahead, higherTier := 0.0, 0.0, 0, 0, 0
	for _, i := range group {
		v := &views[i]
		requests += max(v.estimatedRequests(), v.EstimatedInflight)
		slots += v.slots()
		for tier, n := range v.InflightByTier {
			inflight += n
			if tier <= req.Tier {
				ahead += n
			}
			if tier < req.Tier {
				higherTier += n
			}
		}
	}
	if inflight == 0 {
		return 0
	}
	usable := slots
	if higherTier > 0 {
		usable *= usableSlotShare
	}
	waiting := requests*float64(ahead)/float64(inflight) - usable
	if waiting <= 0 {
		return 0
	}
	return seconds(waiting * p.demand.meanSlotTime(req.Service) / slots)
}

// prefillTime returns the prefill time of the request's own prompt.
func prefillTime(req Request, v *View) time.Duration {
	if req.Prompt.Tokens == 0 {
		return 0
	}
	return seconds(v.SecondsPerPromptToken * float64(max(0, req.Prompt.Tokens-v.CachedTokens)))
}
