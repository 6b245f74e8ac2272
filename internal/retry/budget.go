package retry

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
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

// maxTargets bounds the targets with budgets of their own, well above the services of a
// configuration; what comes beyond shares one.
const maxTargets = 1024

// BudgetConfig sets up a Budget. Each field that is zero takes its default.
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
	cfg   BudgetConfig
	mu    sync.Mutex
	began time.Time
	// targets count first attempts (Total) and retries (Part), by tier.
	targets map[string]*window.Tiers
}

// NewBudget returns a budget that has seen no attempt.
func NewBudget(cfg BudgetConfig) *Budget {
	cfg.Ratio = cmp.Or(cfg.Ratio, defaultRatio)
	cfg.Window = cmp.Or(cfg.Window, defaultWindow)
	cfg.Floor = cmp.Or(cfg.Floor, defaultFloor)
	return &Budget{cfg: cfg, began: cfg.Began, targets: make(map[string]*window.Tiers)}
}

// First counts the first attempt of a request.
func (b *Budget) First(now time.Time, target string, tier int) {
	b.of(target).Add(now, tier, window.Counts{Total: 1})
}

// TryRetry counts a retry and returns true if the budget allows it.
func (b *Budget) TryRetry(now time.Time, target string, tier int) bool {
	tiers := b.of(target)
	all := 0
	for _, c := range tiers.Sums(now) {
		all += c.Total
	}
	next := b.step(now, target, tier)
	return tiers.AddIf(now, tier, window.Counts{Part: 1}, func(so window.Counts) bool {
		return float64(so.Part)+next <= b.allowed(now, so.Total, all)
	})
}

// allowed is how many retries a tier may make in a window that made so many first attempts,
// of all that were made.
func (b *Budget) allowed(now time.Time, own, all int) float64 {
	return b.cfg.Ratio*float64(own) + b.floor(now)*part(own, all)
}

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
func (b *Budget) Usage(now time.Time, target string, tier int) Usage {
	sums := b.of(target).Sums(now)
	all := 0
	for _, c := range sums {
		all += c.Total
	}
	so := sums[min(max(tier, 0), load.MaxTiers-1)]
	return Usage{Retries: so.Part, Allowed: b.allowed(now, so.Total, all), Routers: b.routers()}
}

// UsageOf is that of all tiers together at each target.
func (b *Budget) UsageOf(now time.Time) map[string]Usage {
	b.mu.Lock()
	targets := maps.Clone(b.targets)
	b.mu.Unlock()
	usage := make(map[string]Usage, len(targets))
	for target, tiers := range targets {
		u := Usage{Routers: b.routers()}
		all := 0
		for _, c := range tiers.Sums(now) {
			u.Retries += c.Part
			all += c.Total
		}
		u.Allowed = b.allowed(now, all, all)
		usage[target] = u
	}
	return usage
}

// step is the part of a retry that must be allowed for it to be made: 1, or with a seed a
// number from [0, 1) that is drawn for each window.
func (b *Budget) step(now time.Time, target string, tier int) float64 {
	if b.cfg.Seed == 0 {
		return 1
	}
	drawn := uint64(b.age(now)/b.cfg.Window)*load.MaxTiers + uint64(tier)
	return rand.New(rand.NewPCG(b.cfg.Seed^xxhash.Sum64String(target), drawn)).Float64()
}

// floor is how many retries in a window are this router's part of the floor. A router that
// has just started has none where it is shared: it doesn't know what the process before it
// used of this window, and routers that start again one after the other would each have the
// whole of their part anew.
func (b *Budget) floor(now time.Time) float64 {
	if b.cfg.Routers != nil && b.age(now) < b.cfg.Window {
		return 0
	}
	return b.cfg.Floor * b.cfg.Window.Seconds() / float64(b.routers())
}

// age is how long ago this router started, by the clock that keeps running: the time of day
// may be set.
func (b *Budget) age(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.began.IsZero() {
		b.began = now
	}
	return max(0, now.Sub(b.began))
}

// routers is how many routers share the floor.
func (b *Budget) routers() int {
	if b.cfg.Routers == nil {
		return 1
	}
	return max(1, b.cfg.Routers())
}

// part of a whole; all of it where there is nothing yet.
func part(of, all int) float64 {
	if all == 0 {
		return 1
	}
	return float64(of) / float64(all)
}

func (b *Budget) of(target string) *window.Tiers {
	b.mu.Lock()
	defer b.mu.Unlock()
	tiers, known := b.targets[target]
	if !known && len(b.targets) >= maxTargets {
		target = ""
		tiers, known = b.targets[target]
	}
	if !known {
		tiers = window.NewTiers(b.cfg.Window)
		b.targets[target] = tiers
	}
	return tiers
}
