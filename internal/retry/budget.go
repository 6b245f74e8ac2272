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

// None is a ratio or floor of 0, told from one that isn't set.
const None = -1

// maxTargets bounds the targets with budgets of their own, well above the services of a
// configuration; what comes beyond shares one.
const maxTargets = 1024

// BudgetConfig sets up a Budget. Each field that is zero takes its default; a Ratio or Floor
// of None is 0.
type BudgetConfig struct {
	// Ratio is how many retries the first attempts in the window allow each.
	Ratio  float64
	Window time.Duration
	// Floor is how many retries a second are allowed besides at each target, so that a
	// router with little traffic can retry at all.
	Floor float64
	// Routers is how many routers share the floor; nil is this one alone. What each may do
	// by itself adds up: .1 a second at each of 103 routers and for each of three tiers
	// were 309 retries in 10 s.
	Routers func() int
	// Began is when this router started; zero is when the budget is first asked.
	Began time.Time
	// Seed differs between routers that share a bound. A router whose part is less than a
	// retry in a window then makes one in as many windows as that comes to; with 0 it
	// makes none, and at 880 routers none of them would.
	Seed uint64
}

// Budget bounds the retries of one router to a share of its first attempts. Each target
// has a budget of its own: first attempts at one don't pay for retries at another, which
// is the one that fails. In it each tier has its own, so that the retries of one can't use
// up another's. It is safe for concurrent use.
type Budget struct {
	cfg     BudgetConfig
	limits  atomic.Pointer[limits]
	mu      sync.Mutex
	started time.Time
	targets map[string]*target
}

// target counts first attempts (Total) and retries (Part) at one, by tier.
type target struct {
	mu    sync.Mutex
	tiers [load.MaxTiers]window.Ring
}

// NewBudget returns a budget that has seen no attempt.
func NewBudget(cfg BudgetConfig) *Budget {
	cfg.Window = cmp.Or(cfg.Window, defaultWindow)
	b := &Budget{cfg: cfg, started: cfg.Began, targets: make(map[string]*target)}
	b.Allow(cfg.Ratio, cfg.Floor)
	return b
}

// limits is what a budget allows: a ratio, and a floor a second.
type limits struct{ ratio, floor float64 }

// Allow changes the ratio and the floor, which are as in a BudgetConfig. What was used of the
// window counts on.
func (b *Budget) Allow(ratio, floor float64) {
	b.limits.Store(&limits{
		ratio: max(0, cmp.Or(ratio, defaultRatio)),
		floor: max(0, cmp.Or(floor, defaultFloor)),
	})
}

// First counts the first attempt of a request.
func (b *Budget) First(now time.Time, targetName string, tier int) {
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

// allowsRetry says whether a tier may make one more retry than the sums hold. Where tiers follow
// each other, each of them was the only one for a while and may have used the whole floor:
// where others share it, all tiers together keep to it as well.
func (b *Budget) allowsRetry(now time.Time, at string, sums tierCounts, tier int) bool {
	quota, threshold := b.currentQuota(now), b.retryThreshold(now, at)
	higherTiers := 0.0
	for i := range tier {
		higherTiers += quota.forTier(sums, i)
	}
	// Of the retries that all tiers allowed make, one for each whole step behind the draw, a tier
	// has those that fall into its part.
	allowed := wholeRetries(higherTiers+quota.forTier(sums, tier), threshold) - wholeRetries(higherTiers, threshold)
	if sums[tier].Part >= allowed {
		return false
	}
	all := sums.total()
	return b.cfg.Routers == nil || all.Part < wholeRetries(quota.forAllTiers(all), threshold)
}

// wholeRetries is how many of drawn, drawn+1, drawn+2 and so on are within a bound.
func wholeRetries(bound, threshold float64) int {
	const rounding = 1e-9 // of sums of parts
	return max(0, int(math.Floor(bound-threshold+rounding))+1)
}

// quota is what this router may make of the retries in a window: a ratio of its first
// attempts, and its part of the floor.
type quota struct{ ratio, floor float64 }

// forTier is how many of them are a tier's.
func (s quota) forTier(sums tierCounts, tier int) float64 {
	tierTotal := sums[tier].Total
	return s.ratio*float64(tierTotal) + s.floor*fraction(tierTotal, sums.total().Total)
}

// forAllTiers is how many all tiers may make together.
func (s quota) forAllTiers(all window.Counts) float64 { return s.ratio*float64(all.Total) + s.floor }

// currentQuota is this router's now. A router that has just started has no part of a floor that is
// shared: it doesn't know what the process before it used of this window, and routers that
// start again one after the other would each have the whole of their part anew.
func (b *Budget) currentQuota(now time.Time) quota {
	allows := b.limits.Load()
	s := quota{ratio: allows.ratio, floor: allows.floor * b.cfg.Window.Seconds() / float64(b.routerCount())}
	if b.cfg.Routers != nil && b.age(now) < b.cfg.Window {
		s.floor = 0
	}
	return s
}

// retryThreshold is the part of a retry that must be allowed for it to be made: 1, or with a seed a
// number from [0, 1) that is drawn for each window.
func (b *Budget) retryThreshold(now time.Time, targetName string) float64 {
	if b.cfg.Seed == 0 {
		return 1
	}
	windowIndex := uint64(b.age(now) / b.cfg.Window)
	return rand.New(rand.NewPCG(b.cfg.Seed^xxhash.Sum64String(targetName), windowIndex)).Float64()
}

// age is how long ago this router started, by the clock that keeps running: the time of day
// may be set.
func (b *Budget) age(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.started.IsZero() {
		b.started = now
	}
	return max(0, now.Sub(b.started))
}

// routerCount is how many routerCount share the floor.
func (b *Budget) routerCount() int {
	if b.cfg.Routers == nil {
		return 1
	}
	return max(1, b.cfg.Routers())
}

// fraction of a whole; all of it where there is nothing yet.
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

// countsInWindow returns those of the window that ends now. t.mu is held.
func (t *target) countsInWindow(now time.Time) tierCounts {
	var s tierCounts
	for i := range t.tiers {
		s[i] = t.tiers[i].Sum(now)
	}
	return s
}

func (s tierCounts) total() window.Counts {
	var all window.Counts
	for _, c := range s {
		all.Total += c.Total
		all.Part += c.Part
	}
	return all
}

// tierIndex is where a tier is counted. Configurations from outside may know more tiers, and
// those beyond the last count as the last.
func tierIndex(tier int) int { return min(max(tier, 0), load.MaxTiers-1) }
