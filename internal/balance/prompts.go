package balance

import (
	"math/rand/v2"
	"time"

	"coveferry/internal/load"
)

// Times of an engine, in milliseconds, by which PromptAware weighs its choices.
// What matters is their proportion; note 0013 and the commits of this file have
// the measurements.
const (
	// readPerToken is what the prefill of one prompt token takes: 0.0176 by the
	// users' sheet, and some more beside the tokens of running streams.
	readPerToken = 0.02
	// streamCost is what one more stream in a batch costs those in it. 4
	// was no better.
	streamCost = 2.0
	// fullCost is added where all slots are taken: a request waits there for
	// another one's end, which is a part of a stream's two to three seconds.
	fullCost = 500.0
	// rereadFactor is how much more a token that has to be read again, or
	// fetched, counts than its time: it delays the streams beside it as well.
	// 0.4 and 1 were worse, 4 and 6 no better.
	rereadFactor = 2.5
	// copyRatio is the most prompt tokens for each token of output with which a
	// run's memory is copied: copying is paid by the token, and what it saves
	// grows with the time that the stream runs.
	copyRatio = 5
	// minFetch is the least number of tokens to fetch from another endpoint's
	// cache rather than read.
	minFetch = 256
	// chunkPause is the time between two tokens of a stream while a long prompt
	// is read beside it: a chunk of 2,048 tokens takes 36 ms, a step of a full
	// batch 10 ms, and a quarter is in reserve.
	chunkPause = 57 * time.Millisecond
	// pausePenalty is what a long prompt costs each tight stream that runs
	// beside it: the stream is probably late.
	pausePenalty = 80.0
	// tightHeadroom weighs the work of tight streams. It is under 1 because they
	// are late by pauses and not by queues, and run well in full batches: 0.45,
	// 0.8 and 1.2 were worse.
	tightHeadroom = 0.6
	// spillShare is the part of the slots from which endpoints kept for tight
	// streams count as full, so that others take some.
	spillShare = 0.85
	// queuedCost is what one request costs that waits in an endpoint's queue: the
	// time in which a usual prompt is read.
	queuedCost = 50.0
)

// PromptAware chooses by what a prompt costs those that run beside it. Prompts
// are read in chunks between the tokens of all running streams, so that a long
// one makes each of them pause. It therefore keeps some endpoints for streams
// whose gaps are tight, as many as their part of the demand asks for and the
// same ones at all routers, and brings prompts that share parts together.
type PromptAware struct{ demand *demand }

// NewPromptAware returns a policy that has seen no demand yet.
func NewPromptAware() PromptAware { return PromptAware{demand: &demand{}} }

// Demand is what this router's requests ask for.
func (p PromptAware) Demand(now time.Time) Demand { return p.demand.own(now) }

// HearOthers has the demand that other routers see counted as well. It must be
// called before the policy is used.
func (p PromptAware) HearOthers(others func() Demand) { p.demand.others = others }

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
	group := p.group(now, req, views, usable)
	home := homeOf(req, views, group)
	countOthers(views)
	chosen := cheapest(req, views, group, home, rnd)
	read := req.Prompt.Own() + reread(req, &views[chosen], chosen == home)
	p.demand.add(now, float64(read)+outputWeight*float64(req.Prompt.Output), req.Tight)
	return chosen, true
}

// Wait implements Expecter. Prompts of a higher tier are read first, so only those
// of the request's own tier and above count as ahead.
func (p PromptAware) Wait(req Request, views []View, chosen int) time.Duration {
	if req.Prompt.Tokens == 0 {
		return 0
	}
	mean := 0.0
	for i := range views {
		mean += float64(views[i].aheadOf(req.Tier)) / float64(len(views))
	}
	// What others have sent there isn't known; on the whole it is like this
	// router's own.
	others := mean * (1/ownPart(views) - 1)
	read := float64(max(0, req.Prompt.Tokens-views[chosen].Cached))
	ms := readPerToken * (float64(views[chosen].aheadOf(req.Tier)) + others + read)
	return time.Duration(ms * float64(time.Millisecond))
}

// Source implements Expecter. The endpoint that all routers prefer for the
// prompt has probably read it; for a prompt that is at its home, the next in the
// home's order has what was sent there while another was the home.
func (p PromptAware) Source(req Request, views []View, chosen int) int {
	key := req.Prompt.Home()
	if key == 0 || req.Prompt.Shared()-views[chosen].Cached < minFetch {
		return -1
	}
	best := -1
	for i := range views {
		if i == chosen || views[i].Weight < 1 {
			continue
		}
		if best < 0 || moreCached(key, &views[i], &views[best]) {
			best = i
		}
	}
	return best
}

// Copy implements Expecter. Only tight streams are copied, which are long and of
// high worth, and only those that take little memory for what they produce. The
// copy goes to the next endpoint that is kept for them, in another failure domain
// if there is one.
func (p PromptAware) Copy(req Request, views []View, chosen int) int {
	if !req.Tight || req.Prompt.Tokens > copyRatio*req.Prompt.Output {
		return -1
	}
	other := -1
	for _, i := range rankForTight(views, usableViews(views)) {
		if i == chosen || views[i].requests() >= views[i].slots() {
			continue
		}
		if views[i].FailureDomain != views[chosen].FailureDomain {
			return i
		}
		if other < 0 {
			other = i
		}
	}
	return other
}

// moreCached says whether a has probably more of a prompt cached than b: by what
// this router sent there, and else by the order that all routers follow.
func moreCached(key uint64, a, b *View) bool {
	if a.Cached != b.Cached {
		return a.Cached > b.Cached
	}
	return rendezvous(key, a.Endpoint) > rendezvous(key, b.Endpoint)
}

// aheadOf is how many prompt tokens this router sent to the endpoint that are
// read before those of a new request of the tier.
func (v *View) aheadOf(tier int) int {
	tokens := 0
	for _, n := range v.Prefill[:min(tier, load.MaxTiers-1)+1] {
		tokens += n
	}
	return tokens
}

// IsTight says whether a long prompt beside it would make a stream late whose
// events may be maxGap apart and hold stride tokens. A maxGap of 0 is no bound.
func IsTight(maxGap time.Duration, stride int) bool {
	return maxGap > 0 && maxGap < time.Duration(max(stride, 1))*chunkPause
}

// group is the part of the endpoints that the request's kind uses.
func (p PromptAware) group(now time.Time, req Request, views []View, usable []int) []int {
	kept := p.demand.split(now, len(usable), tightHeadroom)
	ranked := rankForTight(views, usable)
	if !req.Tight {
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
func cheapest(req Request, views []View, group []int, home int, rnd *rand.Rand) int {
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
	home, best := group[0], rendezvous(key, views[group[0]].Endpoint)
	for _, i := range group[1:] {
		if rank := rendezvous(key, views[i].Endpoint); rank > best {
			home, best = i, rank
		}
	}
	return home
}

// ownPart is this router's part, from 0 to 1, of the requests at the endpoints.
func ownPart(views []View) float64 {
	own, all := 1.0, 1.0
	for i := range views {
		own += float64(views[i].Inflight)
		all += views[i].requests()
	}
	return own / all
}

// countOthers notes in all views how many requests all routers together send for
// each of this router's. Those that a report lacks count as so many: who sees the
// same reports makes the same choice, and an endpoint that looks empty to all would
// get the requests of all.
func countOthers(views []View) {
	others := 1 / ownPart(views)
	for i := range views {
		views[i].Others = others
	}
}

// reread is how many tokens an endpoint would read again. At the home they were
// read already, or are to be read once anyway.
func reread(req Request, v *View, home bool) int {
	if home {
		return 0
	}
	return max(0, req.Prompt.Shared()-v.Cached)
}

// promptCost is in milliseconds.
func promptCost(req Request, v *View, home bool) float64 {
	waiting := readPerToken*float64(v.aheadOf(load.MaxTiers)) + queuedCost*float64(v.Load.TotalQueued())
	again := readPerToken * rereadFactor * float64(reread(req, v, home))
	cost := waiting + again + streamCost*v.requests()
	if !req.Tight {
		cost += pausePenalty * float64(v.Tight)
	}
	if v.requests() >= v.slots() {
		cost += fullCost
	}
	return cost
}

// requests are those that run or wait at the endpoint.
func (v *View) requests() float64 {
	n := float64(v.Load.TotalQueued()+v.Load.TotalRunning()) + max(1, v.Others)*float64(v.SinceReport)
	return max(n, float64(v.Inflight))
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
