package balance

import (
	"math/rand/v2"
	"time"
)

// PowerOfTwo samples two endpoints and chooses the less loaded one according to the last report
// and the router's own requests since.
type PowerOfTwo struct{}

// Name returns "power-of-two".
func (PowerOfTwo) Name() string { return "power-of-two" }

// Choose samples two views by weight and returns the less loaded one.
func (PowerOfTwo) Choose(_ time.Time, _ Request, views []View, rnd *rand.Rand) (int, bool) {
	a, ok := draw(views, rnd)
	if !ok {
		return 0, false
	}
	b, _ := draw(views, rnd)
	if views[b].loadPerSlot() < views[a].loadPerSlot() {
		return b, true
	}
	return a, true
}
