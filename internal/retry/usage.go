package retry

import (
	"fmt"
	"maps"
	"time"
)

// Usage is how much of its budget a router has used.
type Usage struct {
	// Retries were made in the window, of those that are Allowed.
	Retries int
	Allowed float64
	// Routers share the floor that is a part of what is allowed.
	Routers int
}

// String is the usage as a line of a log tells it.
func (u Usage) String() string {
	return fmt.Sprintf("retries %d of %.1f by one of %d routers", u.Retries, u.Allowed, u.Routers)
}

// Usage is that of a tier at a target.
func (b *Budget) Usage(now time.Time, at string, tier int) Usage {
	sums := b.sumsOf(now, b.of(at))
	tier = ringOf(tier)
	return Usage{Retries: sums[tier].Part, Allowed: b.share(now).ofTier(sums, tier), Routers: b.routers()}
}

// UsageOfAll is that of all tiers together at each target.
func (b *Budget) UsageOfAll(now time.Time) map[string]Usage {
	b.mu.Lock()
	targets := maps.Clone(b.targets)
	b.mu.Unlock()
	own, routers := b.share(now), b.routers()
	usage := make(map[string]Usage, len(targets))
	for at, t := range targets {
		all := b.sumsOf(now, t).all()
		usage[at] = Usage{Retries: all.Part, Allowed: own.ofAll(all), Routers: routers}
	}
	return usage
}

func (b *Budget) sumsOf(now time.Time, t *target) sums {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sums(now)
}
