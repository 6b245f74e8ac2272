package retry

import (
	"cmp"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"coveferry/internal/load"
)

// Defaults of a BudgetConfig.
const (
	defaultRatio  = 0.1
	defaultWindow = 10 * time.Second
	defaultFloor  = 1
	defaultBurst  = 1

	defaultAbandonedFor = 5 * time.Second
)

// ExplicitZero is a ratio or floor of 0, as opposed to one that is unset.
const ExplicitZero = -1

// maxTargets limits the number of targets with their own budget. It is well above the
// number of services in a configuration; further targets share one budget.
const maxTargets = 1024

// BudgetConfig configures a Budget. Zero fields take their defaults. A Ratio or Floor of
// ExplicitZero means 0.
type BudgetConfig struct {
	// Ratio is the number of retries earned per first attempt.
	Ratio float64
	// Window is the period to which Burst refers.
	Window time.Duration
	// Floor is the number of retries per second that are earned at each target in addition,
	// so that a router with little traffic can retry at all.
	Floor float64
	// Burst is how much may remain unspent, as a share of what a window earns. A window can
	// thus have at most 1+Burst times what it earns, even if routers are restarted or requests
	// move between them: nothing but what is unspent is carried over.
	Burst float64
	// AbandonedFor is how long a retry may still arrive after its sender stopped waiting for it.
	AbandonedFor time.Duration
	// Routers returns how many routers share the floor; nil means this one only. Without
	// sharing, the floors add up: 0.1 a second at each of 103 routers and for each of
	// three tiers allowed 309 retries in 10 s.
	Routers func() int
	// Started is when this router started; zero means when the budget is first used. A shared
	// floor is earned from then on.
	Started time.Time
	// Seed must differ between routers that share a floor. Routers that can't keep a whole
	// retry unspent take turns by it. With 0 such a router hardly ever retries, which at 880
	// routers means that none does.
	Seed uint64
}

// Budget limits the retries of one router to what its first attempts and the time earn. Each
// target has its own budget: otherwise first attempts at healthy targets would pay for retries
// at the failing one. Within a target each tier has its own budget, so that no tier can use
// up another tier's retries. A Budget is safe for concurrent use.
type Budget struct {
	cfg     BudgetConfig
	limits  atomic.Pointer[limits]
	mu      sync.Mutex
	started time.Time
	targets map[string]*target
}

// target holds the budget of one target.
type target struct {
	mu     sync.Mutex
	bucket bucket
}

// NewBudget returns a budget without recorded attempts.
func NewBudget(cfg BudgetConfig) *Budget {
	cfg.Window = cmp.Or(cfg.Window, defaultWindow)
	cfg.Burst = cmp.Or(cfg.Burst, defaultBurst)
	cfg.AbandonedFor = cmp.Or(cfg.AbandonedFor, defaultAbandonedFor)
	b := &Budget{cfg: cfg, started: cfg.Started, targets: make(map[string]*target)}
	b.SetLimits(cfg.Ratio, cfg.Floor)
	return b
}

// limits holds the ratio, and the floor in retries per second.
type limits struct{ ratio, floor float64 }

// SetLimits changes the ratio and the floor, which are specified as in BudgetConfig. What was
// earned before stays earned, up to the new limit on what may remain unspent.
func (b *Budget) SetLimits(ratio, floor float64) {
	b.limits.Store(&limits{
		ratio: max(0, cmp.Or(ratio, defaultRatio)),
		floor: max(0, cmp.Or(floor, defaultFloor)),
	})
}

// RecordFirst counts the first attempt of a request.
func (b *Budget) RecordFirst(now time.Time, targetName string, tier int) {
	rate := b.currentRate()
	t := b.targetFor(now, targetName)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.bucket.recordFirst(now, tierIndex(tier), rate)
}

// TryRetry charges a retry if the budget allows it; otherwise it returns nil. The retry counts as
// under way until the charge is settled.
func (b *Budget) TryRetry(now time.Time, targetName string, tier int) *Charge {
	rate := b.currentRate()
	t := b.targetFor(now, targetName)
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.bucket.takeRetry(now, tierIndex(tier), rate) {
		return nil
	}
	return &Charge{target: t, tier: tierIndex(tier), abandonedFor: b.cfg.AbandonedFor}
}

// currentRate returns what this router earns now.
func (b *Budget) currentRate() rate {
	current := b.limits.Load()
	return rate{perFirst: current.ratio, perWindow: current.floor * b.cfg.Window.Seconds() / float64(b.routerCount())}
}

// routerCount returns the number of routers that share the floor.
func (b *Budget) routerCount() int {
	if b.cfg.Routers == nil {
		return 1
	}
	return max(1, b.cfg.Routers())
}

// targetFor returns the target's budget.
func (b *Budget) targetFor(now time.Time, targetName string) *target {
	b.mu.Lock()
	defer b.mu.Unlock()
	t, known := b.targets[targetName]
	if !known && len(b.targets) >= maxTargets {
		targetName = ""
		t, known = b.targets[targetName]
	}
	if !known {
		t = &target{bucket: newBucket(b.cfg.Window, b.cfg.Burst, b.initiallyUnspent(), b.startOr(now), b.seedFor(targetName))}
		b.targets[targetName] = t
	}
	return t
}

// startOr returns when this router started, or now if that isn't known. b.mu is held.
func (b *Budget) startOr(now time.Time) time.Time {
	if b.started.IsZero() {
		b.started = now
	}
	return b.started
}

// initiallyUnspent returns what each tier has before it has earned anything. Of a shared floor that
// is nothing: this router doesn't know what the process before it has used.
func (b *Budget) initiallyUnspent() float64 {
	if b.cfg.Routers != nil {
		return 0
	}
	return b.currentRate().perWindow
}

// seedFor returns the seed of a target's turns, 0 without a seed.
func (b *Budget) seedFor(targetName string) uint64 {
	if b.cfg.Seed == 0 {
		return 0
	}
	return b.cfg.Seed ^ xxhash.Sum64String(targetName)
}

// tierIndex returns the index under which a tier is counted. External configurations may
// have more tiers; those beyond the last index share it.
func tierIndex(tier int) int { return min(max(tier, 0), load.MaxTiers-1) }
