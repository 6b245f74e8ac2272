package balance

import (
	"math"
	"math/rand/v2"
	"time"
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
	for _, n := range v.Prefill[:min(tier, maxRanks-1)+1] {
		tokens += n
	}
	return tokens
}

// cheapest is the endpoint at which the request costs itself and others the
// least time: its home, if it has one, or one of so many others, drawn by chance.
func cheapest(req Request, views []View, group []int, home, drawn int, tight bool, rnd *rand.Rand) int {
	start := rnd.IntN(len(group))
	best, bestCost := group[start], promptCost(req, &views[group[start]], group[start] == home, tight)
	if home >= 0 {
		best, bestCost = home, promptCost(req, &views[home], true, tight)
	}
	for n := range drawn {
		i := group[(start+n)%len(group)]
		if drawn < len(group) {
			i = group[rnd.IntN(len(group))]
		}
		if cost := promptCost(req, &views[i], i == home, tight); cost < bestCost {
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

// countOthers notes in all views what all routers together probably sent that a report
// lacks. share is this router's part of all requests; it tells of endpoints that say
// nothing. together is from 0 to 1 how far routers that see the same reports make the same
// choice: an endpoint that looks empty to all, and is looked at by all, gets the requests
// of all.
func countOthers(views []View, share, together float64) {
	part := ownPart(views)
	inflight, sent := 0.0, 0.0
	for i := range views {
		inflight += float64(views[i].Inflight) / float64(len(views))
		sent += float64(views[i].SinceReport) / float64(len(views))
	}
	for i := range views {
		v := &views[i]
		v.Since = sentSince(float64(v.SinceReport), sent, part, together)
		if v.ReportedAt.IsZero() {
			// Where a router has few requests they differ by chance, and count the
			// less the fewer they are.
			likely := (float64(v.Inflight) + 1) * inflight / (inflight + 1)
			v.Expected = likely / share
		}
	}
}

// sentSince is what all routers probably sent to an endpoint where this one, which makes
// the given part of all requests, sent own and to all endpoints mean. What others sent
// without looking at the same is a matter of chance, of which a single request of one's
// own says little: one in a hundred routers took it for a hundred requests, left homes for
// it that had room, and a fifth to two fifths of the prompts were sent elsewhere.
func sentSince(own, mean, part, together float64) float64 {
	likely := own / part
	if apart := 1 - together; apart > 0 && mean > 0 {
		// The mean of a gamma distribution around the mean of all endpoints, of which one
		// request is known beforehand, less where choices are made together.
		likely = (own + apart) / (part + apart*part/mean)
	}
	return own + (1-part)*likely
}

const (
	// looksEach is how many routers look at an endpoint for each request that it gets, on
	// the whole: enough for the emptier ones to be found, and few enough for them not to be
	// filled by all at once.
	looksEach = 3
	// leastLooks is the least number of endpoints that a router looks at: the better of
	// two chosen by chance is exponentially better than one.
	leastLooks = 2
)

// looks is at how many of a group's endpoints a router looks that makes the given share of
// all requests: all if it is alone, a few if it is one of many.
func looks(group int, share float64) int {
	n := int(math.Ceil(looksEach * share * float64(group)))
	return min(max(n, leastLooks), group)
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
	waiting := perToken*float64(v.aheadOf(maxRanks)) + queuedCost*float64(v.Load.TotalQueued())
	waiting *= waitWeight(req.Objective)
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

// shortObjective is the longest objective of which all of a wait counts.
const shortObjective = 500 * time.Millisecond

// waitWeight is how much of a wait counts against what prompts cost that are read again: one
// that is well within the objective harms nobody, and what is read again delays others.
func waitWeight(objective time.Duration) float64 {
	if objective <= shortObjective {
		return 1
	}
	return shortObjective.Seconds() / objective.Seconds()
}

// requests are those that run or wait at the endpoint.
func (v *View) requests() float64 {
	n := float64(v.Load.TotalQueued()+v.Load.TotalRunning()) + max(v.Since, float64(v.SinceReport))
	return max(n, float64(v.Inflight))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
