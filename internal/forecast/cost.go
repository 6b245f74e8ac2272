package forecast

import "time"

// Limits are what a caller needs of an answer; 0 means none.
type Limits struct {
	// Objective is the target for the time to the first event, and Deadline the time that is
	// left until the caller gives up.
	Objective, Deadline time.Duration
}

var (
	// shortObjective is the longest objective for which waiting time counts in full.
	shortObjective = 500 * time.Millisecond
	// safeShare is the share of the objective within which waiting harms nobody. The rest of the
	// objective is left for the prompt's own prefill and for what the forecast doesn't know.
	SafeShare = 0.35
	// lateWeight is the weight of waiting beyond that: a late answer has a third of the value of
	// one in time, so that recomputing a long prompt's shared tokens costs less.
	LateWeight = 4.0
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
	weight := min(1, shortObjective.Seconds()/l.Objective.Seconds())
	safe := time.Duration(SafeShare * float64(l.Objective))
	within, beyond := min(a.First, safe), max(0, a.First-safe)
	return time.Duration(weight*float64(within+a.Paused) + LateWeight*float64(beyond))
}
