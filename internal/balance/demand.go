package balance

import (
	"math"
	"sync"
	"time"
)

// demandHalfLife is the age at which a request counts half in the demand. Bursts
// last seconds, so a shorter memory follows them and a much shorter one is noise.
const demandHalfLife = 1500 * time.Millisecond

// outputWeight is how many prompt tokens cost an engine as much time as one
// token of output does, in a batch of usual size.
const outputWeight = 10

// demand measures how much work two kinds of request ask for, as decaying sums.
// It is safe for concurrent use.
type demand struct {
	mu    sync.Mutex
	at    time.Time
	tight float64
	bulk  float64
	kept  int // endpoints for tight streams, as last worked out
}

// add notes a request's work and returns how many of n endpoints are for tight
// streams now.
func (d *demand) add(now time.Time, work float64, tight bool, n int, headroom float64) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.decay(now)
	if tight {
		d.tight += work
	} else {
		d.bulk += work
	}
	d.kept = split(d.kept, n, headroom*d.tight, d.bulk)
	return d.kept
}

func (d *demand) decay(now time.Time) {
	if !d.at.IsZero() && now.After(d.at) {
		left := math.Exp2(-now.Sub(d.at).Seconds() / demandHalfLife.Seconds())
		d.tight *= left
		d.bulk *= left
	}
	d.at = now
}

// splitHold is how far the best number of endpoints must be from the last one
// before it changes; without it the boundary would flap, and caches with it.
const splitHold = 0.75

// split divides n endpoints in proportion to two demands. Each kind that asks
// for anything gets one at least, where there are two.
func split(last, n int, tight, bulk float64) int {
	if n < 2 || tight+bulk <= 0 {
		return n
	}
	ideal := float64(n) * tight / (tight + bulk)
	kept := last
	if kept > n || math.Abs(ideal-float64(last)) > splitHold {
		kept = int(math.Round(ideal))
	}
	least, most := 0, n
	if tight > 0 {
		least = 1
	}
	if bulk > 0 {
		most = n - 1
	}
	return min(max(kept, least), most)
}
