package pace

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// checkAfter is the age of the newest reading from which an endpoint is asked: an endpoint that gets
	// no work states nothing.
	checkAfter = 5 * time.Second
	// firstCheckInterval is the time between checks of an endpoint that has stated too few percentages
	// for an estimate, or whose newest percentage is of another class: every 5 s, a change would be
	// recognized after 10 to 15 s.
	firstCheckInterval = time.Second
)

// CheckDue reports whether an endpoint that was last checked at a time, zero if never, is to be asked
// for its pace.
func (e *Estimator) CheckDue(now, checkedAt time.Time) bool {
	interval := checkAfter
	if e.Stated(now) && (e.At(now) == (Estimate{}) || e.differs()) {
		interval = firstCheckInterval
	}
	return now.Sub(e.LastReading()) > interval && now.Sub(checkedAt) > interval
}

// differs reports whether the newest reading is of another class than the estimate.
func (e *Estimator) differs() bool {
	newest := e.readings[len(e.readings)-1]
	return math.Abs(position(float64(newest.percent)/usualPercent)-float64(e.class.current)) > hysteresis
}

// Owns reports whether self, of the routers that are known, asks an endpoint for its pace: the one
// that ranks first by rendezvous hashing. routers may include self.
func Owns(endpoint, self string, routers []string) bool {
	own := rank(endpoint, self)
	for _, r := range routers {
		if r != self && rank(endpoint, r) > own {
			return false
		}
	}
	return true
}

func rank(endpoint, router string) uint64 {
	return xxhash.Sum64String("pace/" + endpoint + "/" + router)
}
