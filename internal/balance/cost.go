package balance

import (
	"math/rand/v2"
	"time"

	"coveferry/internal/load"
)

// Weights of the cost of a candidate, in milliseconds. What matters is their
// proportion; note 0013 and the commits of this file have the measurements.
const (
	// streamCost is what one more stream in a batch costs those in it. 4
	// was no better.
	streamCost = 2.0
	// fullCost is added where all slots are taken, more where more requests are there:
	// one waits for another one's end, which is a part of a stream's two to three
	// seconds, or has another one put back.
	fullCost = 500.0
	// rereadFactor is how much more a token that has to be read again, or
	// fetched, counts than its time: it delays the streams beside it as well.
	// 0.4 and 1 were worse, 4 and 6 no better.
	rereadFactor = 2.5
	// pausePenalty is what a long prompt costs each tight stream that runs
	// beside it: the stream is probably late.
	pausePenalty = 80.0
	// queuedCost is what one request costs that waits in an endpoint's queue: the
	// time in which a usual prompt is read.
	queuedCost = 50.0
)

// aheadOf is how many prompt tokens this router sent to the endpoint that are
// read before those of a new request of the tier.
func (v *View) aheadOf(tier int) int {
	tokens := 0
	for _, n := range v.Prefill[:min(tier, load.MaxTiers-1)+1] {
		tokens += n
	}
	return tokens
}

// cheapest is the endpoint at which the request costs itself and others the
// least time.
func cheapest(req Request, views []View, group []int, home int, tight bool, rnd *rand.Rand) int {
	start := rnd.IntN(len(group))
	best, bestCost := group[start], 0.0
	for n := range group {
		i := group[(start+n)%len(group)]
		cost := promptCost(req, &views[i], i == home, tight)
		if n == 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
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
// get the requests of all. share is this router's part of all requests; it tells of
// endpoints that say nothing.
func countOthers(views []View, share float64) {
	others := 1 / ownPart(views)
	mean := 0.0
	for i := range views {
		views[i].Others = others
		mean += float64(views[i].Inflight) / float64(len(views))
	}
	for i := range views {
		if views[i].ReportedAt.IsZero() {
			// Where a router has few requests they differ by chance, and count the
			// less the fewer they are.
			likely := (float64(views[i].Inflight) + 1) * mean / (mean + 1)
			views[i].Expected = likely / share
		}
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
func promptCost(req Request, v *View, home, tight bool) float64 {
	perToken := 1000 * v.PerToken
	waiting := perToken*float64(v.aheadOf(load.MaxTiers)) + queuedCost*float64(v.Load.TotalQueued())
	again := perToken * rereadFactor * float64(reread(req, v, home))
	cost := waiting + again + streamCost*v.requests()
	if !tight {
		cost += pausePenalty * float64(v.Tight)
	}
	if all := max(v.requests(), v.Expected); all >= v.slots() {
		cost += fullCost * all / v.slots()
	}
	return cost
}

// requests are those that run or wait at the endpoint.
func (v *View) requests() float64 {
	n := float64(v.Load.TotalQueued()+v.Load.TotalRunning()) + max(1, v.Others)*float64(v.SinceReport)
	return max(n, float64(v.Inflight))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
