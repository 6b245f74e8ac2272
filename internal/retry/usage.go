package retry

import (
	"fmt"
	"maps"
	"time"
)

// Usage is how much of its retry budget a router has used.
type Usage struct {
	// Retries is the number of retries in the window, Allowed the number that the budget
	// allows.
	Retries int
	Allowed float64
	// SharingRouters is the number of routers that share the floor.
	SharingRouters int
}

// String formats the usage for the log.
func (u Usage) String() string {
	return fmt.Sprintf("retries %d of %.1f by one of %d routers", u.Retries, u.Allowed, u.SharingRouters)
}

// Usage returns the usage of one tier at a target.
func (b *Budget) Usage(now time.Time, targetName string, tier int) Usage {
	counts := b.readCounts(now, b.targetFor(targetName))
	tier = tierIndex(tier)
	return Usage{Retries: counts[tier].Part, Allowed: b.currentQuota(now).forTier(counts, tier), SharingRouters: b.routerCount()}
}

// UsageByTarget returns the usage of all tiers together at each target.
func (b *Budget) UsageByTarget(now time.Time) map[string]Usage {
	b.mu.Lock()
	targets := maps.Clone(b.targets)
	b.mu.Unlock()
	current, routers := b.currentQuota(now), b.routerCount()
	usage := make(map[string]Usage, len(targets))
	for name, t := range targets {
		total := b.readCounts(now, t).total()
		usage[name] = Usage{Retries: total.Part, Allowed: current.forAllTiers(total), SharingRouters: routers}
	}
	return usage
}

func (b *Budget) readCounts(now time.Time, t *target) tierCounts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.countsInWindow(now)
}
