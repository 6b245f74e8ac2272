package balance

import "coveferry/internal/prompt"

// copyRatio is the largest ratio of prompt to output tokens at which a run's KV cache is copied:
// the cost of copying grows with the tokens, the benefit with how long the stream runs.
const copyRatio = 5

// copyTarget is the index of the endpoint to copy the run's KV cache to, -1 if none. A run is
// copied if it couldn't be repeated after its endpoint crashed, or if its stream would be late when
// resumed elsewhere, and only if its prompt is short relative to the output. Since copies take
// memory they are spread over the endpoints dedicated to such streams, if possible in another
// failure domain. group are the endpoints of the request's kind. A retry leaves out those already
// tried, so that they may be fewer than at the last isolation decision.
func copyTarget(req Request, views []View, e Estimates, group, all []int, chosen int) int {
	if !e.TightGap && !req.AtMostOnce || req.Prompt.Tokens > copyRatio*req.Prompt.ExpectedOutput {
		return -1
	}
	if e.TightGap {
		if to := bestCopyTarget(req.Prompt, views, group, chosen); to >= 0 {
			return to
		}
	}
	return bestCopyTarget(req.Prompt, views, all, chosen)
}

// bestCopyTarget is the index of the endpoint in a group that takes the copy, -1 if none may. Only
// endpoints with the software of the chosen one can go on with its run.
func bestCopyTarget(p prompt.Prompt, views []View, group []int, chosen int) int {
	best := -1
	for _, i := range group {
		if i == chosen || views[i].Version != views[chosen].Version || views[i].Metered || views[i].estimatedRequests() >= views[i].slots() {
			continue
		}
		if best < 0 || betterCopyTarget(p, views, chosen, i, best) {
			best = i
		}
	}
	return best
}

// betterCopyTarget reports whether a is a better place for the copy than b: in another failure
// domain than the chosen endpoint, or else by rendezvous hashing.
func betterCopyTarget(p prompt.Prompt, views []View, chosen, a, b int) bool {
	farA := views[a].FailureDomain != views[chosen].FailureDomain
	farB := views[b].FailureDomain != views[chosen].FailureDomain
	if farA != farB {
		return farA
	}
	return rendezvous(p.LastPartID(), views[a].Endpoint) > rendezvous(p.LastPartID(), views[b].Endpoint)
}
