package forecast

import "time"

// Limits are what a caller needs of an answer; 0 means none.
type Limits struct {
	// Objective is the target for the time to the first event, and Deadline the time that is
	// left until the caller gives up.
	Objective, Deadline time.Duration
}

const (
	// shortObjective is the longest objective for which waiting time counts in full.
	shortObjective = 500 * time.Millisecond
	// safeShare is the share of the objective within which waiting harms nobody. The rest is left
	// for what the forecast doesn't know: at endpoints with a backlog of over a second, the mean
	// forecast is about half of it, since their reports are old.
	safeShare = 0.35
	// lateWeight is the weight of waiting beyond that: a late answer has a third of the value of
	// one in time, so that recomputing a long prompt's shared tokens costs less.
	lateWeight = 4.0
	// UnservedCost is the cost of an answer that ends after the deadline, as a time. It is above
	// that of any wait that leaves time for an answer.
	UnservedCost = 60 * time.Second
)

// Cost returns the cost of the time to the first event, as a time of delay to other requests.
func (a Answer) Cost(l Limits) time.Duration {
	if l.Deadline > 0 && a.End > l.Deadline {
		return UnservedCost + a.End
	}
	if l.Objective <= 0 {
		return a.First + a.Paused
	}
	// A stream that is paused by less urgent prompts may exceed its gap limit.
	weight := min(1, shortObjective.Seconds()/l.Objective.Seconds())
	safe := time.Duration(safeShare * float64(l.Objective))
	within, beyond := min(a.First, safe), max(0, a.First-safe)
	return time.Duration(weight*float64(within+a.Paused) + lateWeight*float64(beyond))
}
