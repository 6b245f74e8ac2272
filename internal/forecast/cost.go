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
	// for what the forecast doesn't know: the time to the first event of one long prompt in ten is
	// over twice the forecast one, since reports of backlogged endpoints are old.
	safeShare = 0.35
	// lateWeight is the weight of waiting beyond that. 4 moves so many prompts away from their
	// cached parts when all endpoints are backlogged that a twentieth more tokens are prefilled,
	// and a twentieth of the short answers more is late.
	lateWeight = 1.0
	// UnservedCost is the cost of an answer that ends after the deadline, as a time. It is above
	// that of any wait that leaves time for an answer.
	UnservedCost = 60 * time.Second
)

// limitShare is the share of the objective from which a wait is too long. In a burst at nearly twice
// the load of forecast_sim_test.go of package balance, 0.64 to 0.73 of the long prompts are in time
// with 0.75, and 0.67 to 0.74 with 0.5. At 1.4 times that load 0.5 refuses up to 0.024 of them, and
// 0.4 up to 0.039.
const limitShare = 0.5

// WaitLimit returns the longest expected wait until prefill begins with which a request is served,
// if the objective is the given one.
func WaitLimit(objective time.Duration) time.Duration {
	return time.Duration(limitShare * float64(objective))
}

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
