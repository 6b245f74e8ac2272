package waiting

import (
	"math"
	"time"
)

const (
	// minInitialLimit is the least limit at the start. One router gets a few requests at the same
	// moment by chance even if the whole service is lightly loaded.
	minInitialLimit = 4
	// minLimit is the least limit. A router that sends nothing would never learn that there is
	// room again.
	minLimit = 1
	// refusedFactor scales the requests in flight after a refusal for lack of capacity, and
	// slowFactor after an answer that was late because of requests queued at endpoints. A refusal
	// shows that all queues that the router tried are full; a late answer only that they are long.
	refusedFactor = 0.7
	slowFactor    = 0.9
	// growthShare is the share of the objective above which answers stop the growth. The requests
	// queued at endpoints then keep all slots in use, and a longer queue only adds to the latency.
	growthShare = 0.5
	// smoothing is the weight of a new answer in the mean answer time and its deviation.
	smoothing = 0.1
	// minRoundTrip is the least time between two reductions. The answers to requests sent before
	// a reduction say nothing about it.
	minRoundTrip = 20 * time.Millisecond
)

// Limit is an adaptive limit on the requests that one router has in flight at a service: additive
// increase, multiplicative decrease.
type Limit struct {
	value     float64
	reducedAt time.Time
	// mean and deviation describe the time of served answers, in seconds; 0 if unknown.
	mean, deviation float64
}

// NewLimit returns a limit that starts with the router's share of the slots.
func NewLimit(slots, routers int) Limit {
	return Limit{value: max(minInitialLimit, float64(slots)/float64(max(routers, 1)))}
}

// Value returns the limit, at least 1.
func (l *Limit) Value() float64 { return l.value }

// AnswerTime returns the usual answer time, which most answers don't exceed; 0 if unknown.
func (l *Limit) AnswerTime() time.Duration { return seconds(l.mean + l.deviation) }

// DrainRate returns the rate, in requests a second, at which places become free while the limit is
// reached; 0 if unknown.
func (l *Limit) DrainRate() float64 {
	if l.mean <= 0 {
		return 0
	}
	return math.Floor(l.value) / l.mean
}

// Served records an answer. took is the time since the request was sent. demand says that the
// limit was reached while the request was in flight, and queued that requests wait at endpoints.
func (l *Limit) Served(now time.Time, took, objective time.Duration, demand, queued bool) {
	l.recordTime(took)
	switch {
	case queued && objective > 0 && took > objective:
		l.reduce(now, l.value*slowFactor)
	case demand && (!queued || objective <= 0 || float64(took) <= growthShare*float64(objective)):
		l.value += 1 / l.value
	}
}

// Refused records that an endpoint refused a request for lack of capacity while inflight requests
// of this router were at the service.
func (l *Limit) Refused(now time.Time, inflight int) {
	l.reduce(now, min(l.value, float64(inflight))*refusedFactor)
}

func (l *Limit) reduce(now time.Time, to float64) {
	if now.Sub(l.reducedAt) < max(seconds(l.mean), minRoundTrip) {
		return
	}
	l.value, l.reducedAt = max(minLimit, to), now
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
