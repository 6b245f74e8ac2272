package balance

import (
	"math/rand/v2"
	"time"
)

// LeastLoaded chooses the endpoint with the fewest requests per slot according to its last report
// and the router's own requests since, regardless of the report's age.
type LeastLoaded struct{}

// Name returns "least-loaded".
func (LeastLoaded) Name() string { return "least-loaded" }

// Choose returns the least loaded view. Ties go to the first one after a random start.
func (LeastLoaded) Choose(_ time.Time, _ Request, views []View, rnd *rand.Rand) (int, bool) {
	best, found := 0, false
	if len(views) == 0 {
		return best, found
	}
	start := rnd.IntN(len(views))
	for n := range views {
		i := (start + n) % len(views)
		if views[i].Weight <= 0 {
			continue
		}
		if !found || views[i].loadPerSlot() < views[best].loadPerSlot() {
			best, found = i, true
		}
	}
	return best, found
}

// loadPerSlot returns the number of requests per slot according to the last report and the
// router's own requests.
func (v *View) loadPerSlot() float64 {
	n := v.Load.TotalQueued() + v.Load.TotalRunning() + v.OwnUnreported
	return float64(max(n, v.Inflight)) / float64(max(v.Load.Slots, 1))
}
