package window

import (
	"sync"
	"time"

	"coveferry/internal/load"
)

// Tiers holds a window for each tier, each with its own lock. It is safe for
// concurrent use. An out-of-range tier is clamped, since external configurations
// may define more tiers.
type Tiers struct{ tiers [load.MaxTiers]lockedRing }

type lockedRing struct {
	mu   sync.Mutex
	ring Ring
}

// NewTiers returns empty windows of the given length.
func NewTiers(length time.Duration) *Tiers {
	t := &Tiers{}
	for i := range t.tiers {
		t.tiers[i].ring = New(length)
	}
	return t
}

func (t *Tiers) of(tier int) *lockedRing {
	return &t.tiers[min(max(tier, 0), load.MaxTiers-1)]
}

// Add counts c for a tier.
func (t *Tiers) Add(now time.Time, tier int, c Counts) {
	l := t.of(tier)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ring.Add(now, c)
}

// Sums returns the counts of all tiers for the window that ends now.
func (t *Tiers) Sums(now time.Time) [load.MaxTiers]Counts {
	var all [load.MaxTiers]Counts
	for i := range t.tiers {
		l := &t.tiers[i]
		l.mu.Lock()
		all[i] = l.ring.Sum(now)
		l.mu.Unlock()
	}
	return all
}
