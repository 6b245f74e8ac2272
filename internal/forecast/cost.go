package forecast

import (
	"math"
	"time"
)

// Limits are what a caller needs of an answer; 0 means none.
type Limits struct {
	// Objective is the target for the time to the first event, and Deadline the time that is
	// left until the caller gives up.
	Objective, Deadline time.Duration
}

const (
	// shortObjective is the longest objective for which waiting time counts in full.
	shortObjective = 500 * time.Millisecond
	// lateFrom is the share of the objective at which a forecast answer is as likely late as in
	// time, and lateWidth the scale of the logistic curve around it, as a share of the objective:
	// reports are old, so that forecasts of long waits are too short.
	lateFrom  = 0.75
	lateWidth = 0.13
	// lateCost is the cost of a late answer. All late answers have the same value: a longer wait
	// beyond the objective is no reason to prefill the prompt's shared tokens again elsewhere.
	lateCost = time.Second
	// unservedCost is the cost of an answer that ends after the deadline, as a time: above that of
	// any wait within the objective, and low enough for prompts to stay near their cached parts where
	// no endpoint is better.
	unservedCost = 3 * time.Second
)

// limitShare is the share of the objective from which a wait is too long: the rest is left for the
// request's own prefill and for forecasts that are too short. A late answer still has a third of the
// value, so that requests are refused only where most of them would be late.
const limitShare = 0.75

// WaitLimit returns the longest expected wait until prefill begins with which a request is served,
// if the objective is the given one.
func WaitLimit(objective time.Duration) time.Duration {
	return time.Duration(limitShare * float64(objective))
}

// Cost returns the cost of the time to the first event, as a time of delay to other requests.
func (a Answer) Cost(l Limits) time.Duration {
	if l.Deadline > 0 && a.End > l.Deadline {
		return unservedCost + a.First
	}
	if l.Objective <= 0 {
		return a.First + a.Paused
	}
	// A stream that is paused by less urgent prompts may exceed its gap limit.
	weight := min(1, shortObjective.Seconds()/l.Objective.Seconds())
	return time.Duration(weight*float64(a.First+a.Paused) + a.lateProbability(l.Objective)*float64(lateCost))
}

// lateProbability returns the probability that the first event arrives after the objective.
func (a Answer) lateProbability(objective time.Duration) float64 {
	distance := (a.First.Seconds() - lateFrom*objective.Seconds()) / (lateWidth * objective.Seconds())
	return 1 / (1 + math.Exp(-distance))
}
