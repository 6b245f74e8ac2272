package balance

import (
	"math/rand/v2"
	"slices"
	"time"
)

// spillThreshold is the slot utilization from which the endpoints dedicated to tight-gap streams
// count as full, so that the next endpoint in the order receives some as well. At 0.85 some
// endpoints are filled beyond their slots before routers notice, and preempt running requests.
const spillThreshold = 0.7

// PromptAware chooses by what a prompt costs concurrent streams. Prompts are prefilled in chunks
// between the output tokens of all running streams, so that a long prompt makes each of them
// pause. PromptAware therefore dedicates some endpoints to streams with a tight gap limit, in
// proportion to their demand and the same ones at all routers, and sends prompts that share parts
// to the same endpoint.
type PromptAware struct{ demand *demand }

// NewPromptAware returns a policy without recorded demand.
func NewPromptAware() PromptAware { return PromptAware{demand: &demand{}} }

// Demand returns the demand that this router sees.
func (p PromptAware) Demand(now time.Time) Demand { return p.demand.own(now) }

// SetPeerDemand sets the source of the demand that other routers see. It must be called before
// the policy is used.
func (p PromptAware) SetPeerDemand(others func() PeerDemand) { p.demand.peerDemand = others }

// Name implements Policy.
func (PromptAware) Name() string { return "prompt-aware" }

// Choose implements Policy.
func (p PromptAware) Choose(now time.Time, req Request, views []View, rnd *rand.Rand) (int, bool) {
	usable := usableViews(views)
	if req.Retry {
		usable = slices.DeleteFunc(usable, func(i int) bool { return views[i].Full })
	}
	if len(usable) == 0 {
		return 0, false
	}
	if req.Prompt.Tokens == 0 {
		return leastLoadedOf(views, usable, rnd), true
	}
	regular, reduced := splitReducedCapacity(views, usable)
	decision := p.isolationFor(now, req, views, regular)
	tightGap := decision.isolates(req.MaxGap)
	share := p.demand.share()
	group := endpointsFor(now, tightGap, decision, share, views, regular)
	preferred := preferredEndpoint(req, views, group)
	sampled := sampleSize(len(group), share)
	estimateOtherRouters(views, share, float64(sampled)/float64(len(group)))
	p.describe(now, req, views, forecastGroup{group, reduced, len(regular), tightGap, decision})
	chosen := lowestCostEndpoint(req, views, group, preferred, sampled, tightGap, rnd)
	chosen = earlierEndpoint(req, views, group, chosen, rnd)
	chosen = cheaperReducedCapacity(req, views, reduced, chosen, preferred, tightGap)
	prefillTokens := req.Prompt.UnsharedTokens() + recomputedTokens(req, &views[chosen], chosen == preferred && !p.demand.cold())
	p.demand.add(now, req.kind(), req.Tier, seconds(views[chosen].PrefillOverhead+views[chosen].SecondsPerPromptToken*float64(prefillTokens)))
	return chosen, true
}

// isolationFor returns the isolation decision for a request, which is made anew unless the views
// are only some of the service's endpoints.
func (p PromptAware) isolationFor(now time.Time, req Request, views []View, regular []int) isolation {
	if req.Subset {
		return p.demand.updateShare(now, req.Service)
	}
	return p.demand.decideIsolation(now, req.Service, summarizeEndpoints(req, views, regular))
}

// StreamEnded implements StreamObserver.
func (p PromptAware) StreamEnded(now time.Time, service string, gap, held time.Duration, late bool) {
	p.demand.recordEnded(now, kindKey{service, gap.Milliseconds()}, held, late)
}

// summarizeEndpoints returns the averages of the usable endpoints.
func summarizeEndpoints(req Request, views []View, usable []int) serviceEndpoints {
	f := serviceEndpoints{endpoints: len(usable)}
	token := 0.0
	for _, i := range usable {
		f.slots += views[i].slots() / float64(len(usable))
		token += views[i].SecondsPerOutputToken / float64(len(usable))
	}
	f.gap = seconds(token * float64(max(req.Stride, 1)))
	return f
}

// endpointsFor returns the endpoints that a kind of request uses. share is this router's share of
// all requests.
func endpointsFor(now time.Time, tight bool, decision isolation, share float64, views []View, usable []int) []int {
	ranked := rankForTightGap(views, usable)
	group := decision.rankedGroup(tight, ranked)
	if !tight {
		return group
	}
	size := len(group)
	for size < len(ranked) && groupFull(now, views, ranked[:size], share) {
		size++
	}
	return ranked[:size]
}

// reportFreshness is how long a report is evidence that an endpoint is full: streams last a
// second or two. An endpoint that receives no requests sends no reports, and would otherwise
// count as full for ever.
const reportFreshness = time.Second

// currentRequests returns the number of requests at an endpoint according to a recent report, or
// estimated from this router's own requests, which are the given share of all. After an old
// report the smaller number counts, since the estimate from a router's few own requests is
// unreliable.
func (v *View) currentRequests(now time.Time, share float64) float64 {
	byShare := float64(v.Inflight) / share
	switch {
	case v.ReportedAt.IsZero():
		return byShare
	case now.Sub(v.ReportedAt) > reportFreshness:
		return min(v.estimatedRequests(), byShare)
	}
	return v.estimatedRequests()
}

// groupFull reports whether the slot utilization of a group has reached spillThreshold.
func groupFull(now time.Time, views []View, group []int, share float64) bool {
	requests, slots := 0.0, 0.0
	for _, i := range group {
		v := &views[i]
		requests += v.currentRequests(now, share)
		slots += v.slots()
	}
	return requests >= spillThreshold*slots
}

// usableViews returns the indexes of the endpoints with a weight above 0.
func usableViews(views []View) []int {
	usable := make([]int, 0, len(views))
	for i := range views {
		if views[i].Weight > 0 {
			usable = append(usable, i)
		}
	}
	return usable
}

// splitReducedCapacity separates regular endpoints, among which dedicated and preferred endpoints
// are selected, from those with reduced capacity that admit this request. If all have reduced
// capacity they are used as regular ones.
func splitReducedCapacity(views []View, usable []int) (regular, reduced []int) {
	for _, i := range usable {
		if views[i].ReducedCapacity {
			reduced = append(reduced, i)
		} else {
			regular = append(regular, i)
		}
	}
	if len(regular) == 0 {
		return reduced, nil
	}
	return regular, reduced
}

// cheaperReducedCapacity returns the chosen endpoint, or one with reduced capacity at which the
// request costs less. A cold endpoint has no part of a prompt cached, so that it receives
// requests that would wait elsewhere for longer than their prefill takes.
func cheaperReducedCapacity(req Request, views []View, reduced []int, chosen, preferred int, tightGap bool) int {
	best, bestCost := chosen, promptCost(req, &views[chosen], chosen == preferred, tightGap)
	for _, i := range reduced {
		if cost := promptCost(req, &views[i], false, tightGap); cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// leastLoadedOf returns the least loaded endpoint. Ties go to the first one after a random start.
func leastLoadedOf(views []View, among []int, rnd *rand.Rand) int {
	start := rnd.IntN(len(among))
	best := among[start]
	for n := range among {
		i := among[(start+n)%len(among)]
		if views[i].loadPerSlot() < views[best].loadPerSlot() {
			best = i
		}
	}
	return best
}
