package dispatch

import (
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"coveferry/internal/wire"
)

// maxClockReadings bounds the endpoints whose clocks are known.
const maxClockReadings = 8192

// maxClockDrift is by how much the clocks of two VMs may drift apart: what was
// heard loses that share of its age in worth, so that it is replaced in time.
const maxClockDrift = 0.0002

// clockReadings keeps for each endpoint the reading of its agent's clock that came
// fastest. It is safe for concurrent use.
type clockReadings struct {
	mu         sync.Mutex
	byEndpoint *simplelru.LRU[string, clockReading]
}

// clockReading is an agent's clock as it was heard at a moment of the router's.
type clockReading struct {
	clock      wire.Clock
	receivedAt time.Time
}

func newClockReadings() *clockReadings {
	byID, err := simplelru.NewLRU[string, clockReading](maxClockReadings, nil)
	if err != nil { // only a size below 1 fails
		panic(err)
	}
	return &clockReadings{byEndpoint: byID}
}

// add takes a reading that was just heard. One that came more slowly than the
// one that is kept, as to a router that was paused, would make the next attempt
// look older than it is.
func (rs *clockReadings) add(endpoint string, now time.Time, c wire.Clock) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	kept, ok := rs.byEndpoint.Get(endpoint)
	if ok && kept.clock.Incarnation == c.Incarnation && slower(kept, now, c) {
		return
	}
	rs.byEndpoint.Add(endpoint, clockReading{clock: c, receivedAt: now})
}

// slower says whether c took longer than the reading that is kept, drift aside.
func slower(kept clockReading, now time.Time, c wire.Clock) bool {
	elapsed := now.Sub(kept.receivedAt)
	agentElapsed := time.Duration(c.Millis-kept.clock.Millis) * time.Millisecond
	return agentElapsed < elapsed-time.Duration(maxClockDrift*float64(elapsed))
}

// latest returns what was heard and how long ago; the zero Clock if nothing.
func (rs *clockReadings) latest(endpoint string, now time.Time) (wire.Clock, time.Duration) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	kept, ok := rs.byEndpoint.Get(endpoint)
	if !ok {
		return wire.Clock{}, 0
	}
	return kept.clock, now.Sub(kept.receivedAt)
}
