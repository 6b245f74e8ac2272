package balance

import (
	"math/rand/v2"
	"time"
)

// Random chooses an endpoint with a probability in proportion to its weight.
type Random struct{}

// Name returns "random".
func (Random) Name() string { return "random" }

// Choose samples a view in proportion to the weights.
func (Random) Choose(_ time.Time, _ Request, views []View, rnd *rand.Rand) (int, bool) {
	return draw(views, rnd)
}

// draw samples a view in proportion to the weights and returns its index, or false if all are
// ejected.
func draw(views []View, rnd *rand.Rand) (int, bool) {
	total := 0.0
	for i := range views {
		total += views[i].Weight
	}
	rest := rnd.Float64() * total
	last, found := 0, false
	for i := range views {
		if views[i].Weight <= 0 {
			continue
		}
		last, found = i, true
		rest -= views[i].Weight
		if rest < 0 {
			break
		}
	}
	return last, found
}
