package balance

import (
	"math/rand/v2"
	"slices"
	"time"
)

// HotCold implements the hot-cold lexicographic rule of Prequal on piggybacked load reports: of
// the sampled endpoints, those with more requests per slot than the HotQuantile of all are hot.
// The cold one with the lowest time to first token is chosen, or if all are hot the one with the
// fewest requests per slot.
type HotCold struct {
	// Draws is the number of endpoints that are sampled.
	Draws int
	// HotQuantile is the share of endpoints that count as cold.
	HotQuantile float64
}

// Name returns "hot-cold".
func (HotCold) Name() string { return "hot-cold" }

// Choose applies the rule to Draws sampled views.
func (h HotCold) Choose(_ time.Time, _ Request, views []View, rnd *rand.Rand) (int, bool) {
	best, ok := draw(views, rnd)
	if !ok {
		return 0, false
	}
	limit := h.hotThreshold(views)
	for range h.Draws - 1 {
		i, _ := draw(views, rnd)
		if colder(&views[i], &views[best], limit) {
			best = i
		}
	}
	return best, true
}

// hotThreshold returns the load above which an endpoint is hot.
func (h HotCold) hotThreshold(views []View) float64 {
	loads := make([]float64, len(views))
	for i := range views {
		loads[i] = views[i].loadPerSlot()
	}
	slices.Sort(loads)
	return loads[int(h.HotQuantile*float64(len(loads)-1))]
}

func colder(a, b *View, limit float64) bool {
	hotA, hotB := a.loadPerSlot() > limit, b.loadPerSlot() > limit
	if hotA != hotB {
		return hotB
	}
	if hotA {
		return a.loadPerSlot() < b.loadPerSlot()
	}
	return a.TimeToFirstToken < b.TimeToFirstToken
}
