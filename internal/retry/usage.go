package retry

import (
	"fmt"
	"maps"
	"time"

	"coveferry/internal/load"
)

// Usage is how much of its retry budget a router has used.
type Usage struct {
	// Retries is the number of retries in the window, Allowed the most that the budget allows
	// in one.
	Retries int
	Allowed float64
	// Unspent is how many retries are left now.
	Unspent float64
	// UnderWay is the number of retries of all tiers that may still arrive. Abandoned of them were
	// given up by their senders.
	UnderWay, Abandoned int
	// SharingRouters is the number of routers that share the floor.
	SharingRouters int
}

// String formats the usage for the log.
func (u Usage) String() string {
	return fmt.Sprintf("retries %d of %.1f by one of %d routers, %.1f left, %d under way", u.Retries, u.Allowed, u.SharingRouters, u.Unspent, u.UnderWay)
}

// Usage returns the usage of one tier at a target.
func (b *Budget) Usage(now time.Time, targetName string, tier int) Usage {
	return b.usageOf(now, b.targetFor(now, targetName))[tierIndex(tier)]
}

// UsageByTarget returns the usage of all tiers together at each target.
func (b *Budget) UsageByTarget(now time.Time) map[string]Usage {
	b.mu.Lock()
	targets := maps.Clone(b.targets)
	b.mu.Unlock()
	usage := make(map[string]Usage, len(targets))
	for name, t := range targets {
		total := Usage{SharingRouters: b.routerCount()}
		for _, u := range b.usageOf(now, t) {
			total.Retries += u.Retries
			total.Allowed += u.Allowed
			total.Unspent += u.Unspent
			total.UnderWay, total.Abandoned = u.UnderWay, u.Abandoned
		}
		usage[name] = total
	}
	return usage
}

// usageOf returns the usage of each tier.
func (b *Budget) usageOf(now time.Time, t *target) (usage [load.MaxTiers]Usage) {
	r, routers := b.currentRate(), b.routerCount()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.bucket.dropAbandoned(now)
	counts := t.bucket.counts(now)
	portions := counts.portions(0)
	for i := range usage {
		usage[i] = Usage{
			Retries: counts[i].Part, Allowed: (1 + b.cfg.Burst) * r.inWindow(counts[i].Total, portions[i]),
			Unspent: t.bucket.unspent[i], SharingRouters: routers,
			UnderWay: t.bucket.underWay, Abandoned: len(t.bucket.abandoned),
		}
	}
	return usage
}
