package balance

import (
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// RoundRobin cycles through the usable endpoints. It serves as a baseline.
type RoundRobin struct{ turn atomic.Uint64 }

// Name returns "round-robin".
func (*RoundRobin) Name() string { return "round-robin" }

// Choose returns the next view that isn't ejected.
func (r *RoundRobin) Choose(_ time.Time, _ Request, views []View, _ *rand.Rand) (int, bool) {
	for range views {
		i := int((r.turn.Add(1) - 1) % uint64(len(views)))
		if views[i].Weight > 0 {
			return i, true
		}
	}
	return 0, false
}
