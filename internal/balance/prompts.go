package balance

import (
	"math/rand/v2"
	"time"
)

// Times of an engine, in milliseconds, by which PromptAware weighs its choices.
// They are measured at engines of the kind that the users run; what matters is
// their proportion.
const (
	// readPerToken is what the prefill of one prompt token takes.
	readPerToken = 0.0176
	// streamCost is what one more stream in a batch costs those in it.
	streamCost = 2.0
	// fullCost is added where all slots are taken: a request waits there for
	// another one's end.
	fullCost = 500.0
	// rereadFactor is how much more a token that is read again counts than its
	// time: it delays the streams beside it as well, and is work done twice.
	rereadFactor = 2.0
	// chunkPause is the time between two tokens of a stream while a long prompt
	// is read beside it, chunk by chunk, with a quarter in reserve.
	chunkPause = 57 * time.Millisecond
	// tightHeadroom is how much more room tight streams get than their part of
	// the work, since they are late by pauses and not by queues.
	tightHeadroom = 1.3
	// spillShare is the part of the slots from which endpoints kept for tight
	// streams count as full, so that others take some.
	spillShare = 0.85
)

// PromptAware chooses by what a prompt costs those that run beside it. Prompts
// are read in chunks between the tokens of all running streams, so that a long
// one makes each of them pause. It therefore keeps some endpoints for streams
// whose gaps are tight, as many as their part of the demand asks for and the
// same ones at all routers, and brings prompts that share parts together.
type PromptAware struct{ demand *demand }

// NewPromptAware returns a policy that has seen no demand yet.
func NewPromptAware() PromptAware { return PromptAware{demand: &demand{}} }

// Name implements Policy.
func (PromptAware) Name() string { return "prompt-aware" }

// Choose implements Policy.
func (p PromptAware) Choose(now time.Time, req Request, views []View, rnd *rand.Rand) (int, bool) {
	usable := usableViews(views)
	if len(usable) == 0 {
		return 0, false
	}
	if req.Prompt.Tokens == 0 {
		return leastBusy(views, usable, rnd), true
	}
	return cheapest(req, views, p.group(now, req, views, usable), rnd), true
}

// isTight says whether a long prompt beside it would make the stream late.
func isTight(req Request) bool {
	return req.MaxGap > 0 && req.MaxGap < time.Duration(max(req.Stride, 1))*chunkPause
}

// group is the part of the endpoints that the request's kind uses.
func (p PromptAware) group(now time.Time, req Request, views []View, usable []int) []int {
	tight := isTight(req)
	work := float64(req.Prompt.Own()) + outputWeight*float64(req.Prompt.Output)
	kept := p.demand.add(now, work, tight, len(usable), tightHeadroom)
	ranked := rankForTight(views, usable)
	if !tight {
		return ranked[min(kept, len(ranked)-1):]
	}
	group := ranked[:max(kept, 1)]
	if allFull(views, group) {
		return ranked
	}
	return group
}

func allFull(views []View, group []int) bool {
	for _, i := range group {
		if views[i].requests() < spillShare*views[i].slots() {
			return false
		}
	}
	return true
}

// cheapest is the endpoint at which the request costs itself and others the
// least time.
func cheapest(req Request, views []View, group []int, rnd *rand.Rand) int {
	home := homeOf(req, views, group)
	start := rnd.IntN(len(group))
	best, bestCost := group[start], 0.0
	for n := range group {
		i := group[(start+n)%len(group)]
		cost := promptCost(req, &views[i], i == home)
		if n == 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// homeOf is the endpoint that all routers prefer for the prompt's shared parts,
// -1 if it has none.
func homeOf(req Request, views []View, group []int) int {
	key := req.Prompt.Home()
	if key == 0 {
		return -1
	}
	home := group[0]
	for _, i := range group[1:] {
		if rendezvous(key, views[i].Endpoint) > rendezvous(key, views[home].Endpoint) {
			home = i
		}
	}
	return home
}

// promptCost is in milliseconds.
func promptCost(req Request, v *View, home bool) float64 {
	reread := max(0, req.Prompt.Shared()-v.Cached)
	if home {
		reread = 0 // read there already, or to be read there now
	}
	waiting := readPerToken * float64(v.Prefill)
	cost := waiting + readPerToken*rereadFactor*float64(reread) + streamCost*v.requests()
	if v.requests() >= v.slots() {
		cost += fullCost
	}
	return cost
}

// requests are those that run or wait at the endpoint.
func (v *View) requests() float64 {
	n := v.Load.TotalQueued() + v.Load.TotalRunning() + v.SinceReport
	return float64(max(n, v.Inflight))
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
