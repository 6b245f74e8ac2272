package waiting

import (
	"math"
	"time"
)

const (
	// minInitialLimit is the least limit at the start. One router gets a few requests at the same
	// moment by chance even if the whole service is lightly loaded.
	minInitialLimit = 8
	// initialPerSlot is the initial limit for each slot of the router's share. The requests of a
	// service are not spread evenly over routers, and one queued request for each slot takes no
	// longer than another answer.
	initialPerSlot = 2
	// minLimit is the least limit in requests in flight: a router that sends nothing would never
	// learn that there is room again. Below it, the router spaces the requests that it sends one
	// at a time, as 103 routers with one request each already fill the queues of four small
	// endpoints. minPace bounds the spacing to 8 answer times.
	minLimit = 1
	minPace  = 1.0 / 8
	// paceGrowth is the growth of a limit below minLimit with each answer.
	paceGrowth = 0.25
	// refusedFactor scales the requests in flight after a refusal for lack of capacity, and
	// slowFactor after an answer that was late because of requests queued at endpoints. A refusal
	// shows that all queues that the router tried are full; a late answer only that they are long.
	refusedFactor = 0.7
	slowFactor    = 0.9
	// growthShare is the share of the objective above which the mean answer time stops the growth. The requests
	// queued at endpoints then keep all slots in use, and a longer queue only adds to the latency.
	growthShare = 0.5
	// slowShare is the share of the objective above which the mean answer time shrinks the limit.
	slowShare = 0.7
	// usualDeviations is the number of mean deviations above the mean that an answer may take: 19
	// in 20 answers are faster if they are distributed normally.
	usualDeviations = 2
	// smoothing is the weight of a new answer in the mean answer time and its deviation. A router
	// of many gets few answers, and must not refuse requests for long after an overload.
	smoothing = 0.2
	// minRoundTrip is the least time between two reductions. The answers to requests sent before
	// a reduction say nothing about it.
	minRoundTrip = 20 * time.Millisecond
)

// Limit is an adaptive limit on the requests that one router has in flight at a service: additive
// increase, multiplicative decrease.
type Limit struct {
	// value is the limit in requests in flight; below minLimit it is the share of the time in
	// which one request is in flight.
	value, initial float64
	reducedAt      time.Time
	// mean and deviation describe the time of served answers, in seconds; 0 if unknown.
	mean, deviation float64
}

// NewLimit returns a limit that starts with the router's share of the slots.
func NewLimit(slots, routers int) Limit {
	initial := initialLimit(slots, routers)
	return Limit{value: initial, initial: initial}
}

func initialLimit(slots, routers int) float64 {
	return max(minInitialLimit, initialPerSlot*float64(slots)/float64(max(routers, 1)))
}

// Resize updates the router's share of the slots: a router may know none of its peers and few
// endpoints when it starts. A limit that has grown or was reduced keeps its value, unless
// the new share is above a limit that was not reduced.
func (l *Limit) Resize(slots, routers int) {
	initial := initialLimit(slots, routers)
	switch {
	case l.value == l.initial:
		l.value = initial
	case l.value > l.initial:
		l.value = max(l.value, initial)
	}
	l.initial = initial
}

// Value returns the limit, at least 1.
func (l *Limit) Value() float64 { return max(minLimit, l.value) }

// Spacing returns the least time between two requests that are sent one at a time; 0 if there is
// none.
func (l *Limit) Spacing() time.Duration {
	if l.value >= minLimit {
		return 0
	}
	return seconds(l.mean / l.value)
}

// Restore raises the limit to its initial value if it is below, once there is no shortage.
func (l *Limit) Restore() { l.value = max(l.value, l.initial) }

// AnswerTime returns the usual answer time, which most answers don't exceed; 0 if unknown.
func (l *Limit) AnswerTime() time.Duration {
	return seconds(l.mean + usualDeviations*l.deviation)
}

// DrainRate returns the rate, in requests a second, at which places become free while the limit is
// reached; 0 if unknown.
func (l *Limit) DrainRate() float64 {
	if l.mean <= 0 {
		return 0
	}
	if l.value < minLimit {
		return l.value / l.mean
	}
	return math.Floor(l.value) / l.mean
}

// Served records an answer. took is the time since the request was sent. demand says that the
// limit was reached while the request was in flight, and queued that requests wait at endpoints.
func (l *Limit) Served(now time.Time, took, objective time.Duration, demand, queued bool) {
	l.recordTime(took)
	switch {
	case queued && objective > 0 && l.slow(took, objective):
		l.reduce(now, l.value*slowFactor)
	case demand && (!queued || objective <= 0 || l.mean <= growthShare*objective.Seconds()):
		l.grow()
	}
}

// slow reports whether an answer or most answers come too late, or leave no time to wait.
func (l *Limit) slow(took, objective time.Duration) bool {
	return took > objective || l.mean > slowShare*objective.Seconds()
}

// grow increases the limit by about one each time that all requests in flight were answered.
func (l *Limit) grow() {
	if l.value < minLimit {
		l.value = min(minLimit, l.value+paceGrowth)
		return
	}
	l.value += 1 / l.value
}

// Refused records that an endpoint refused a request for lack of capacity while inflight requests
// of this router were at the service.
func (l *Limit) Refused(now time.Time, inflight int) {
	l.reduce(now, min(l.value, float64(max(inflight, 1)))*refusedFactor)
}

func (l *Limit) reduce(now time.Time, to float64) {
	if now.Sub(l.reducedAt) < max(seconds(l.mean), minRoundTrip) {
		return
	}
	l.value, l.reducedAt = max(minPace, to), now
}

func (l *Limit) recordTime(took time.Duration) {
	s := took.Seconds()
	if l.mean == 0 {
		l.mean, l.deviation = s, s/2
		return
	}
	l.deviation += smoothing * (math.Abs(s-l.mean) - l.deviation)
	l.mean += smoothing * (s - l.mean)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
