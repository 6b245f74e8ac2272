package dispatch

import (
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"coveferry/internal/wire"
)

// maxClockReadings limits the number of endpoints whose clocks are kept.
const maxClockReadings = 8192

// maxClockDrift is the assumed drift between the clocks of two VMs, as a share of the
// elapsed time. A kept reading loses accuracy at this rate, so newer readings eventually
// replace it.
const maxClockDrift = 0.0002

// clockReadings keeps the reading of each agent's clock that arrived with the least delay.
// It is safe for concurrent use.
type clockReadings struct {
	mu         sync.Mutex
	byEndpoint *simplelru.LRU[string, clockReading]
}

// clockReading is the value of an agent's clock and the router's time when it arrived.
type clockReading struct {
	clock      wire.Clock
	receivedAt time.Time
}

func newClockReadings() *clockReadings {
	byEndpoint, err := simplelru.NewLRU[string, clockReading](maxClockReadings, nil)
	if err != nil { // only a size below 1 fails
		panic(err)
	}
	return &clockReadings{byEndpoint: byEndpoint}
}

// add records a clock reading that arrived at now. A reading with a longer delay than the
// kept one, for example after a pause of the router, is dropped: it would make the next
// attempt look older than it is.
func (rs *clockReadings) add(endpoint string, now time.Time, c wire.Clock) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	kept, ok := rs.byEndpoint.Get(endpoint)
	if ok && kept.clock.Incarnation == c.Incarnation && slower(kept, now, c) {
		return
	}
	rs.byEndpoint.Add(endpoint, clockReading{clock: c, receivedAt: now})
}

// slower reports whether c had a longer delay than the kept reading, allowing for clock
// drift.
func slower(kept clockReading, now time.Time, c wire.Clock) bool {
	elapsed := now.Sub(kept.receivedAt)
	agentElapsed := time.Duration(c.Millis-kept.clock.Millis) * time.Millisecond
	return agentElapsed < elapsed-time.Duration(maxClockDrift*float64(elapsed))
}

// latest returns the kept reading and its age, or the zero Clock if there is none.
func (rs *clockReadings) latest(endpoint string, now time.Time) (wire.Clock, time.Duration) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	kept, ok := rs.byEndpoint.Get(endpoint)
	if !ok {
		return wire.Clock{}, 0
	}
	return kept.clock, now.Sub(kept.receivedAt)
}
