package balance

import (
	"math/rand/v2"
	"time"
)

// Defaults of PromptAware.
const (
	// defaultTightShare is the part of the endpoints kept for streams with a
	// tight gap; a fifth was best of 15 to 35% in the trial that the users'
	// platform page reports.
	defaultTightShare = 0.2
	// defaultTightGap is the pause up to which a stream's gap counts as tight:
	// a prompt's chunk between two tokens then takes most of it.
	defaultTightGap = 300 * time.Millisecond
	// defaultSlack is how far above the mean load an endpoint may be and still
	// be chosen for its cache, as in consistent hashing with bounded loads.
	defaultSlack = 1.25
	// smallPrompt is the size in tokens of a prompt that hardly delays others.
	smallPrompt = 1024
)

// PromptAware chooses by what a prompt costs those that run beside it. Prompts
// are read in chunks between the tokens of all running streams, so that a long
// one makes each of them pause. It therefore keeps some endpoints for streams
// whose gaps are tight, the same ones at all routers, and brings prompts that
// share parts together while loads stay near their mean.
type PromptAware struct {
	// TightShare is the part of the endpoints kept for tight streams.
	TightShare float64
	// TightGap is the gap up to which a stream is tight.
	TightGap time.Duration
	// Slack bounds the load of an endpoint chosen for its cache, as a
	// multiple of the mean.
	Slack float64
}

// Name implements Policy.
func (PromptAware) Name() string { return "prompt-aware" }

// Choose implements Policy.
func (p PromptAware) Choose(_ time.Time, req Request, views []View, rnd *rand.Rand) (int, bool) {
	usable := usableViews(views)
	if len(usable) == 0 {
		return 0, false
	}
	if req.Prompt.Tokens == 0 {
		return leastBusy(views, usable, rnd), true
	}
	group := p.group(req, views, usable)
	if home := req.Prompt.Home(); home != 0 {
		return p.byCache(home, views, group), true
	}
	return leastBusy(views, group, rnd), true
}

func (p PromptAware) tight(req Request) bool {
	gap := p.TightGap
	if gap <= 0 {
		gap = defaultTightGap
	}
	return req.MaxGap > 0 && req.MaxGap <= gap
}

// group is the part of the endpoints that the request's kind uses.
func (p PromptAware) group(req Request, views []View, usable []int) []int {
	share := p.TightShare
	if share == 0 {
		share = defaultTightShare
	}
	kept := int(share*float64(len(usable)) + 0.5)
	if len(usable) > 1 {
		kept = max(kept, 1)
	}
	ranked := rankForTight(views, usable)
	if p.tight(req) {
		return ranked[:max(kept, 1)]
	}
	return ranked[min(kept, len(ranked)-1):]
}

// byCache is the first endpoint in the home's own order whose load is near the
// mean.
func (p PromptAware) byCache(home uint64, views []View, group []int) int {
	slack := p.Slack
	if slack == 0 {
		slack = defaultSlack
	}
	total := 0.0
	for _, i := range group {
		total += views[i].promptLoad()
	}
	bound := slack*total/float64(len(group)) + 1
	best, found := group[0], false
	var bestRank uint64
	for _, i := range group {
		rank := rendezvous(home, views[i].Endpoint)
		if views[i].promptLoad() <= bound && (!found || rank > bestRank) {
			best, bestRank, found = i, rank, true
		}
	}
	return best
}

// promptLoad is the load of a model's endpoint in requests: those that run or
// wait there, and the prompts that it has yet to read.
func (v *View) promptLoad() float64 {
	n := v.Load.TotalQueued() + v.Load.TotalRunning() + v.SinceReport
	return float64(max(n, v.Inflight)) + float64(v.Prefill)/smallPrompt
}

// usableViews are the endpoints that are healthy, or all if none is.
func usableViews(views []View) []int {
	usable := make([]int, 0, len(views))
	for i := range views {
		if views[i].Weight > 0 {
			usable = append(usable, i)
		}
	}
	return usable
}

// leastBusy is the endpoint with the least requests, a random one of several.
func leastBusy(views []View, among []int, rnd *rand.Rand) int {
	start := rnd.IntN(len(among))
	best := among[start]
	for n := range among {
		i := among[(start+n)%len(among)]
		if views[i].knownLoad() < views[best].knownLoad() {
			best = i
		}
	}
	return best
}
