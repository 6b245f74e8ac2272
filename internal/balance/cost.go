package balance

import (
	"math"
	"math/rand/v2"
	"time"
)

// Cost weights in milliseconds. Only their ratios matter; design note 0013 and the commits of this
// file have the measurements.
const (
	// perStreamCost is the delay that one more stream in a batch causes the others. A value of 4
	// does no better.
	perStreamCost = 2.0
	// noFreeSlotCost is added if all slots are in use, scaled by the ratio of requests to slots:
	// the request waits for another one to end, which takes part of a stream's two to three
	// seconds, or preempts one.
	noFreeSlotCost = 500.0
	// recomputeFactor weights the prefill time of tokens that are cached elsewhere and have to be
	// recomputed or fetched, because that delays concurrent streams as well. 0.4 and 1 do worse,
	// 4 and 6 no better.
	recomputeFactor = 2.5
	// pausePenalty is the cost of a long prompt for each tight-gap stream on the endpoint, which
	// will probably exceed its gap limit.
	pausePenalty = 80.0
	// perQueuedCost is the cost of one request in the endpoint's queue: the prefill time of a
	// typical prompt.
	perQueuedCost = 50.0
)

// prefillAhead returns the number of prompt tokens sent by this router that the endpoint prefills
// before a new request of the tier.
func (v *View) prefillAhead(tier int) int {
	tokens := 0
	for _, n := range v.PendingPrefill[:min(tier, maxTiers-1)+1] {
		tokens += n
	}
	return tokens
}

// lowestCostEndpoint returns the endpoint with the lowest cost among the preferred endpoint, if
// there is one, and a random sample of the group.
func lowestCostEndpoint(req Request, views []View, group []int, preferred, sampled int, tightGap bool, rnd *rand.Rand) int {
	start := rnd.IntN(len(group))
	best, bestCost := group[start], promptCost(req, &views[group[start]], group[start] == preferred, tightGap)
	if preferred >= 0 {
		best, bestCost = preferred, promptCost(req, &views[preferred], true, tightGap)
	}
	for _, i := range alternatesFor(req, views, group, preferred) {
		if cost := promptCost(req, &views[i], false, tightGap) - alternateSaving(req, &views[i]); cost < bestCost {
			best, bestCost = i, cost
		}
	}
	for n := range sampled {
		i := group[(start+n)%len(group)]
		if sampled < len(group) {
			i = group[rnd.IntN(len(group))]
		}
		if cost := promptCost(req, &views[i], i == preferred, tightGap); cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// alternatesFor returns the alternates of the preferred endpoint, if there is one and forecasts apply:
// without them this router can't tell whether the preferred endpoint is backlogged.
func alternatesFor(req Request, views []View, group []int, preferred int) []int {
	if preferred < 0 || !views[preferred].forecasts {
		return nil
	}
	return alternates(req, views, group, preferred)
}

// alternateCachedShare is the probability that an alternate has the shared parts cached: it has if
// another router sent such a prompt there lately.
const alternateCachedShare = 0.5

// alternateSaving returns the part of promptCost, in milliseconds, that is saved at an alternate
// because it may have the shared parts cached.
func alternateSaving(req Request, v *View) float64 {
	return alternateCachedShare * recomputeCost(req, v, false)
}

// ownInflightShare returns this router's share, from 0 to 1, of all requests at the endpoints.
func ownInflightShare(views []View) float64 {
	own, all := 1.0, 1.0
	for i := range views {
		own += float64(views[i].Inflight)
		all += views[i].estimatedRequests()
	}
	return own / all
}

// estimateOtherRouters sets EstimatedUnreported and EstimatedInflight in all views. share is this
// router's share of all requests and scales the estimate for endpoints without a report.
// correlation, from 0 to 1, says how far routers that see the same reports make the same choice:
// an endpoint that appears idle to all routers and is sampled by all receives the requests of
// all.
func estimateOtherRouters(views []View, share, correlation float64) {
	ownShare := ownInflightShare(views)
	inflight, unreported := 0.0, 0.0
	for i := range views {
		inflight += float64(views[i].Inflight) / float64(len(views))
		unreported += float64(views[i].OwnUnreported) / float64(len(views))
	}
	for i := range views {
		v := &views[i]
		v.EstimatedUnreported = estimateUnreported(float64(v.OwnUnreported), unreported, ownShare, correlation)
		if v.ReportedAt.IsZero() {
			// With few requests per router the counts differ mostly by chance, so that they are
			// shrunk towards the mean, the more the fewer there are.
			estimate := (float64(v.Inflight) + 1) * inflight / (inflight + 1)
			v.EstimatedInflight = estimate / share
		}
	}
}

// estimateUnreported estimates how many requests all routers sent to an endpoint since its last
// report. This router has the given share of all requests, and sent own to this endpoint and mean
// to an average one. Requests of routers that sample independently are random, and a single own
// request says little about them: counted in full, it would stand for a hundred requests at one
// router of a hundred, which would leave preferred endpoints that have capacity; a fifth to two
// fifths of the prompts would go elsewhere.
func estimateUnreported(own, mean, share, correlation float64) float64 {
	estimate := own / share
	if independence := 1 - correlation; independence > 0 && mean > 0 {
		// The posterior mean of a gamma distribution around the mean of all endpoints, with a
		// prior of one request, less for correlated choices.
		estimate = (own + independence) / (share + independence*share/mean)
	}
	return own + (1-share)*estimate
}

const (
	// samplesPerRequest is the average number of routers that sample an endpoint for each request
	// that it receives: enough for idle endpoints to be found, and few enough for them not to be
	// overloaded by all routers at once.
	samplesPerRequest = 3
	// minSampledEndpoints is the minimum sample size: the better of two random choices is
	// exponentially better than one.
	minSampledEndpoints = 2
)

// sampleSize returns how many endpoints of a group a router with the given share of all requests
// compares: all if it is the only router, a few if it is one of many.
func sampleSize(group int, share float64) int {
	n := int(math.Ceil(samplesPerRequest * share * float64(group)))
	return min(max(n, minSampledEndpoints), group)
}

// recomputedTokens returns the number of shared prompt tokens that the endpoint would have to
// recompute. The preferred endpoint has them cached or has to prefill them once anyway.
func recomputedTokens(req Request, v *View, preferred bool) int {
	if preferred {
		return 0
	}
	return max(0, req.Prompt.SharedTokens()-v.CachedTokens)
}

// recomputeCost returns the part of promptCost, in milliseconds, for shared prompt tokens that the
// endpoint would have to recompute.
func recomputeCost(req Request, v *View, preferred bool) float64 {
	return 1000 * v.SecondsPerPromptToken * v.recomputeFactor() * float64(recomputedTokens(req, v, preferred))
}

// promptCost returns the cost of sending the request to the endpoint, in milliseconds.
func promptCost(req Request, v *View, preferred, tightGap bool) float64 {
	cost := v.waitCost(req) + recomputeCost(req, v, preferred) + perStreamCost*v.estimatedRequests()
	if !tightGap {
		cost += pausePenalty * float64(v.TightGapStreams)
	}
	if inflight := max(v.estimatedRequests(), v.EstimatedInflight); inflight >= v.slots() {
		cost += noFreeSlotCost * inflight / v.slots()
	}
	return cost
}

// recomputeFactor weights the prefill time of tokens that are cached elsewhere: where prompts wait,
// it delays each of them.
func (v *View) recomputeFactor() float64 {
	if v.forecasts {
		return recomputeFactor + v.forecast.Delayed()
	}
	return recomputeFactor
}

// waitCost returns the cost of waiting for prompts that are prefilled first, in milliseconds.
func (v *View) waitCost(req Request) float64 {
	if v.forecasts {
		return v.forecastWaitCost(req)
	}
	waiting := 1000*v.SecondsPerPromptToken*float64(v.prefillAhead(maxTiers)) + perQueuedCost*float64(v.Load.TotalQueued())
	return waiting * waitWeight(req.Objective)
}

// shortObjective is the longest objective for which waiting time counts in full.
const shortObjective = 500 * time.Millisecond

// waitWeight returns the weight of waiting time relative to recomputation. Waiting well within
// the objective harms nobody, whereas recomputing tokens delays other requests. Without an
// objective, waiting counts in full.
func waitWeight(objective time.Duration) float64 {
	if objective <= shortObjective {
		return 1
	}
	return shortObjective.Seconds() / objective.Seconds()
}

// estimatedRequests estimates how many of all routers run or are queued there, based on its last
// report. EstimatedInflight is the value for endpoints without a report.
func (v *View) estimatedRequests() float64 {
	n := float64(v.Load.TotalQueued()+v.Load.TotalRunning()) + max(v.EstimatedUnreported, float64(v.OwnUnreported))
	return max(n, float64(v.Inflight))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
