package balance

import (
	"math"
	"sync"
	"time"
)

// Half-lives of the demand: the age at which a request counts half. A router
// sees some ten requests of a kind a second, so that a memory of one second is
// noisy by a third; a longer one lags behind bursts, which last seconds.
const (
	slowHalfLife = 2 * time.Second
	fastHalfLife = time.Second
)

// outputWeight is how many prompt tokens cost an engine as much time as one
// token of output does, in a batch of usual size.
const outputWeight = 10

// demand measures how much work two kinds of request ask for, as decaying sums.
// That of tight streams is followed fast upward and slowly downward, because an
// endpoint that takes long prompts while such streams still run there makes them
// late. It is safe for concurrent use.
type demand struct {
	mu   sync.Mutex
	at   time.Time
	slow Demand
	fast Demand
	// others is what other routers see, nil if they don't say.
	others func() Demand
	kept   int // endpoints for tight streams, as last worked out
}

// Demand is the work that requests ask for, in prompt tokens, as a decaying sum.
type Demand struct {
	Tight float64 `json:"tight"`
	Bulk  float64 `json:"bulk"`
	// Recent is that of tight streams by the shorter memory.
	Recent float64 `json:"recent"`
}

// asked is the demand of tight streams: while it grows by the shorter memory. Sums
// over different memories compare as rates.
func (w Demand) asked() float64 {
	return max(w.Tight, slowHalfLife.Seconds()/fastHalfLife.Seconds()*w.Recent)
}

// Plus adds two demands.
func (w Demand) Plus(o Demand) Demand {
	return Demand{Tight: w.Tight + o.Tight, Bulk: w.Bulk + o.Bulk, Recent: w.Recent + o.Recent}
}

func (w *Demand) decay(age, halfLife time.Duration) {
	left := math.Exp2(-age.Seconds() / halfLife.Seconds())
	w.Tight *= left
	w.Bulk *= left
}

func (w *Demand) add(amount float64, tight bool) {
	if tight {
		w.Tight += amount
		return
	}
	w.Bulk += amount
}

// add notes a request's work.
func (d *demand) add(now time.Time, amount float64, tight bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.decay(now)
	d.slow.add(amount, tight)
	d.fast.add(amount, tight)
}

// split is how many of n endpoints are for tight streams now.
func (d *demand) split(now time.Time, n int, headroom float64) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.decay(now)
	all := d.seen()
	if d.others != nil {
		all = all.Plus(d.others())
	}
	d.kept = split(d.kept, n, headroom*all.asked(), all.Bulk)
	return d.kept
}

// own is what this router sees.
func (d *demand) own(now time.Time) Demand {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.decay(now)
	return d.seen()
}

// seen is what this router's requests ask for. d.mu is held.
func (d *demand) seen() Demand {
	seen := d.slow
	seen.Recent = d.fast.Tight
	return seen
}

func (d *demand) decay(now time.Time) {
	if !d.at.IsZero() && now.After(d.at) {
		d.slow.decay(now.Sub(d.at), slowHalfLife)
		d.fast.decay(now.Sub(d.at), fastHalfLife)
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
		return 0
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
