package soak

import (
	"math/rand/v2"
	"time"
)

// HasHeldRequests reports whether connections to endpoints hold requests for a while and then let them
// go, in the runs of a seed: every second block of 256000 seeds.
func HasHeldRequests(seed uint64) bool { return seed/256000%2 == 1 }

const (
	// meanHeldGap is the mean time between two of these faults, each of which hits endpointsHeld
	// endpoints at once, for up to longestHeld.
	meanHeldGap   = 2 * time.Second
	endpointsHeld = 3
	longestHeld   = 4 * time.Second
)

// held uses its own random source, like growth.
func held(seed uint64, end time.Duration) []Fault {
	rnd := rand.New(rand.NewPCG(seed, 8))
	var plan []Fault
	for at := faultFreeStart; at < end; at += time.Duration(rnd.ExpFloat64() * float64(meanHeldGap)) {
		f := Fault{At: at, Kind: EndpointConn, NetFault: NetFaultHold}
		f.Duration = min(shortestFault+randomDuration(rnd, longestHeld-shortestFault), end-at)
		for range endpointsHeld {
			f.Target = rnd.IntN(1 << 16)
			plan = append(plan, f)
		}
	}
	return plan
}
