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
	// SharingRouters share the floor that is a part of what is allowed.
	SharingRouters int
}

// String is the usage as a line of a log tells it.
func (u Usage) String() string {
	return fmt.Sprintf("retries %d of %.1f by one of %d routers", u.Retries, u.Allowed, u.SharingRouters)
}

// Usage is that of a tier at a target.
func (b *Budget) Usage(now time.Time, targetName string, tier int) Usage {
	sums := b.lockedCounts(now, b.targetFor(targetName))
	tier = tierIndex(tier)
	return Usage{Retries: sums[tier].Part, Allowed: b.currentQuota(now).forTier(sums, tier), SharingRouters: b.routerCount()}
}

// UsageOfAll is that of all tiers together at each target.
func (b *Budget) UsageOfAll(now time.Time) map[string]Usage {
	b.mu.Lock()
	targets := maps.Clone(b.targets)
	b.mu.Unlock()
	quota, routers := b.currentQuota(now), b.routerCount()
	usage := make(map[string]Usage, len(targets))
	for name, t := range targets {
		total := b.lockedCounts(now, t).total()
		usage[name] = Usage{Retries: total.Part, Allowed: quota.forAllTiers(total), SharingRouters: routers}
	}
	return usage
}

func (b *Budget) lockedCounts(now time.Time, t *target) tierCounts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.countsInWindow(now)
}
