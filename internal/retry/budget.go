package retry

import (
	"cmp"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"coveferry/internal/load"
	"coveferry/internal/throttle/window"
)

// Defaults of a BudgetConfig.
const (
	defaultRatio  = 0.1
	defaultWindow = 10 * time.Second
	defaultFloor  = 1
)

// ExplicitZero is a ratio or floor of 0, as opposed to one that is unset.
const ExplicitZero = -1

// maxTargets limits the number of targets with their own budget. It is well above the
// number of services in a configuration; further targets share one budget.
const maxTargets = 1024

// BudgetConfig configures a Budget. Zero fields take their defaults. A Ratio or Floor of
// ExplicitZero means 0.
type BudgetConfig struct {
	// Ratio is the number of retries allowed per first attempt in the window.
	Ratio  float64
	Window time.Duration
	// Floor is the number of retries per second that are allowed at each target in
	// addition, so that a router with little traffic can retry at all.
	Floor float64
	// Routers returns how many routers share the floor; nil means this one only. Without
	// sharing, the floors add up: 0.1 a second at each of 103 routers and for each of
	// three tiers allowed 309 retries in 10 s.
	Routers func() int
	// Started is when this router started; zero means when the budget is first used.
	Started time.Time
	// Seed must differ between routers that share a floor. If a router's quota is a
	// fraction of a retry per window, the seed makes it retry in that fraction of the
	// windows. With 0 it never retries then, which at 880 routers means that no router
	// does.
	Seed uint64
}

// Budget limits the retries of one router to a share of its first attempts. Each target
// has its own budget: otherwise first attempts at healthy targets would pay for retries at
// the failing one. Within a target each tier has its own budget, so that no tier can use
// up another tier's retries. A Budget is safe for concurrent use.
type Budget struct {
	cfg     BudgetConfig
	limits  atomic.Pointer[limits]
	mu      sync.Mutex
	started time.Time
	targets map[string]*target
}

// target counts the first attempts (Total) and retries (Part) at one target, by tier.
type target struct {
	mu    sync.Mutex
	tiers [load.MaxTiers]window.Ring
}

// NewBudget returns a budget without recorded attempts.
func NewBudget(cfg BudgetConfig) *Budget {
	cfg.Window = cmp.Or(cfg.Window, defaultWindow)
	b := &Budget{cfg: cfg, started: cfg.Started, targets: make(map[string]*target)}
	b.SetLimits(cfg.Ratio, cfg.Floor)
	return b
}

// limits holds the ratio, and the floor in retries per second.
type limits struct{ ratio, floor float64 }

// SetLimits changes the ratio and the floor, which are specified as in BudgetConfig.
// Retries already made in the window still count.
func (b *Budget) SetLimits(ratio, floor float64) {
	b.limits.Store(&limits{
		ratio: max(0, cmp.Or(ratio, defaultRatio)),
		floor: max(0, cmp.Or(floor, defaultFloor)),
	})
}

// RecordFirst counts the first attempt of a request.
func (b *Budget) RecordFirst(now time.Time, targetName string, tier int) {
	t := b.targetFor(targetName)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tiers[tierIndex(tier)].Add(now, window.Counts{Total: 1})
}

// TryRetry counts a retry and returns true if the budget allows it.
func (b *Budget) TryRetry(now time.Time, targetName string, tier int) bool {
	t := b.targetFor(targetName)
	t.mu.Lock()
	defer t.mu.Unlock()
	tier = tierIndex(tier)
	if !b.allowsRetry(now, targetName, t.countsInWindow(now), tier) {
		return false
	}
	t.tiers[tier].Add(now, window.Counts{Part: 1})
	return true
}

// allowsRetry reports whether the tier may make one more retry. If only one tier at a time
// has requests, each in turn may use the whole floor. So if routers share the floor, all
// tiers together are limited as well.
func (b *Budget) allowsRetry(now time.Time, targetName string, counts tierCounts, tier int) bool {
	current, threshold := b.currentQuota(now), b.retryThreshold(now, targetName)
	higherTiers := 0.0
	for i := range tier {
		higherTiers += current.forTier(counts, i)
	}
	// Retry n of all tiers, counted from 0, is allowed once the quota reaches threshold+n.
	// The tiers' quotas are lined up from the highest tier on; a tier gets the retries
	// that fall into its own section.
	allowed := wholeRetries(higherTiers+current.forTier(counts, tier), threshold) - wholeRetries(higherTiers, threshold)
	if counts[tier].Part >= allowed {
		return false
	}
	all := counts.total()
	return b.cfg.Routers == nil || all.Part < wholeRetries(current.forAllTiers(all), threshold)
}

// wholeRetries returns how many of threshold, threshold+1, threshold+2 and so on are
// within the bound.
func wholeRetries(bound, threshold float64) int {
	const rounding = 1e-9 // tolerance for the sum of fractions
	return max(0, int(math.Floor(bound-threshold+rounding))+1)
}

// quota is this router's quota of retries per window: a ratio of its first attempts, and
// its share of the floor.
type quota struct{ ratio, floor float64 }

// forTier returns the quota of one tier.
func (q quota) forTier(counts tierCounts, tier int) float64 {
	tierTotal := counts[tier].Total
	return q.ratio*float64(tierTotal) + q.floor*fraction(tierTotal, counts.total().Total)
}

// forAllTiers returns the quota of all tiers together.
func (q quota) forAllTiers(all window.Counts) float64 { return q.ratio*float64(all.Total) + q.floor }

// currentQuota returns this router's current quota. A router that has just started gets no
// share of a shared floor: it doesn't know what the previous process used in this window,
// and routers restarted one after the other would each get their whole share again.
func (b *Budget) currentQuota(now time.Time) quota {
	current := b.limits.Load()
	q := quota{ratio: current.ratio, floor: current.floor * b.cfg.Window.Seconds() / float64(b.routerCount())}
	if b.cfg.Routers != nil && b.age(now) < b.cfg.Window {
		q.floor = 0
	}
	return q
}

// retryThreshold returns the quota at which the first retry of a window is allowed: 1, or
// with a seed a random number from [0, 1) per window. Each further retry needs 1 more.
func (b *Budget) retryThreshold(now time.Time, targetName string) float64 {
	if b.cfg.Seed == 0 {
		return 1
	}
	windowIndex := uint64(b.age(now) / b.cfg.Window)
	return rand.New(rand.NewPCG(b.cfg.Seed^xxhash.Sum64String(targetName), windowIndex)).Float64()
}

// age returns the time since this router started. It uses the monotonic clock, since the
// wall clock may be set.
func (b *Budget) age(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.started.IsZero() {
		b.started = now
	}
	return max(0, now.Sub(b.started))
}

// routerCount returns the number of routers that share the floor.
func (b *Budget) routerCount() int {
	if b.cfg.Routers == nil {
		return 1
	}
	return max(1, b.cfg.Routers())
}

// fraction returns portion/whole, or 1 if there are no counts yet.
func fraction(portion, whole int) float64 {
	if whole == 0 {
		return 1
	}
	return float64(portion) / float64(whole)
}

func (b *Budget) targetFor(targetName string) *target {
	b.mu.Lock()
	defer b.mu.Unlock()
	t, known := b.targets[targetName]
	if !known && len(b.targets) >= maxTargets {
		targetName = ""
		t, known = b.targets[targetName]
	}
	if !known {
		t = &target{}
		for i := range t.tiers {
			t.tiers[i] = window.New(b.cfg.Window)
		}
		b.targets[targetName] = t
	}
	return t
}

// tierCounts are the counts of a window by tier.
type tierCounts [load.MaxTiers]window.Counts

// countsInWindow returns the counts of the window that ends now. t.mu is held.
func (t *target) countsInWindow(now time.Time) tierCounts {
	var counts tierCounts
	for i := range t.tiers {
		counts[i] = t.tiers[i].Sum(now)
	}
	return counts
}

func (counts tierCounts) total() window.Counts {
	var all window.Counts
	for _, c := range counts {
		all.Total += c.Total
		all.Part += c.Part
	}
	return all
}

// tierIndex returns the index under which a tier is counted. External configurations may
// have more tiers; those beyond the last index share it.
func tierIndex(tier int) int { return min(max(tier, 0), load.MaxTiers-1) }
