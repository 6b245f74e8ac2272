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
	allows  atomic.Pointer[allowance]
	mu      sync.Mutex
	began   time.Time
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
	b := &Budget{cfg: cfg, began: cfg.Began, targets: make(map[string]*target)}
	b.Allow(cfg.Ratio, cfg.Floor)
	return b
}

// allowance is what a budget allows: a ratio, and a floor a second.
type allowance struct{ ratio, floor float64 }

// Allow changes the ratio and the floor, which are as in a BudgetConfig. What was used of the
// window counts on.
func (b *Budget) Allow(ratio, floor float64) {
	b.allows.Store(&allowance{
		ratio: max(0, cmp.Or(ratio, defaultRatio)),
		floor: max(0, cmp.Or(floor, defaultFloor)),
	})
}

// First counts the first attempt of a request.
func (b *Budget) First(now time.Time, at string, tier int) {
	t := b.of(at)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tiers[ringOf(tier)].Add(now, window.Counts{Total: 1})
}

// TryRetry counts a retry and returns true if the budget allows it.
func (b *Budget) TryRetry(now time.Time, at string, tier int) bool {
	t := b.of(at)
	t.mu.Lock()
	defer t.mu.Unlock()
	tier = ringOf(tier)
	if !b.allowsOne(now, at, t.sums(now), tier) {
		return false
	}
	t.tiers[tier].Add(now, window.Counts{Part: 1})
	return true
}

// allowsOne says whether a tier may make one more retry than the sums hold. Where tiers follow
// each other, each of them was the only one for a while and may have used the whole floor:
// where others share it, all tiers together keep to it as well.
func (b *Budget) allowsOne(now time.Time, at string, sums sums, tier int) bool {
	own, drawn := b.share(now), b.draw(now, at)
	before := 0.0
	for i := range tier {
		before += own.ofTier(sums, i)
	}
	// Of the retries that all tiers may make, one for each whole step behind the draw, a tier
	// has those that fall into its part.
	may := steps(before+own.ofTier(sums, tier), drawn) - steps(before, drawn)
	if sums[tier].Part >= may {
		return false
	}
	all := sums.all()
	return b.cfg.Routers == nil || all.Part < steps(own.ofAll(all), drawn)
}

// steps is how many of drawn, drawn+1, drawn+2 and so on are within a bound.
func steps(bound, drawn float64) int {
	const rounding = 1e-9 // of sums of parts
	return max(0, int(math.Floor(bound-drawn+rounding))+1)
}

// share is what this router may make of the retries in a window: a ratio of its first
// attempts, and its part of the floor.
type share struct{ ratio, floor float64 }

// ofTier is how many of them are a tier's.
func (s share) ofTier(sums sums, tier int) float64 {
	own := sums[tier].Total
	return s.ratio*float64(own) + s.floor*part(own, sums.all().Total)
}

// ofAll is how many all tiers may make together.
func (s share) ofAll(all window.Counts) float64 { return s.ratio*float64(all.Total) + s.floor }

// share is this router's now. A router that has just started has no part of a floor that is
// shared: it doesn't know what the process before it used of this window, and routers that
// start again one after the other would each have the whole of their part anew.
func (b *Budget) share(now time.Time) share {
	allows := b.allows.Load()
	s := share{ratio: allows.ratio, floor: allows.floor * b.cfg.Window.Seconds() / float64(b.routers())}
	if b.cfg.Routers != nil && b.age(now) < b.cfg.Window {
		s.floor = 0
	}
	return s
}

// draw is the part of a retry that must be allowed for it to be made: 1, or with a seed a
// number from [0, 1) that is drawn for each window.
func (b *Budget) draw(now time.Time, at string) float64 {
	if b.cfg.Seed == 0 {
		return 1
	}
	windows := uint64(b.age(now) / b.cfg.Window)
	return rand.New(rand.NewPCG(b.cfg.Seed^xxhash.Sum64String(at), windows)).Float64()
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

func (b *Budget) of(at string) *target {
	b.mu.Lock()
	defer b.mu.Unlock()
	t, known := b.targets[at]
	if !known && len(b.targets) >= maxTargets {
		at = ""
		t, known = b.targets[at]
	}
	if !known {
		t = &target{}
		for i := range t.tiers {
			t.tiers[i] = window.New(b.cfg.Window)
		}
		b.targets[at] = t
	}
	return t
}

// sums are the counts of a window by tier.
type sums [load.MaxTiers]window.Counts

// sums returns those of the window that ends now. t.mu is held.
func (t *target) sums(now time.Time) sums {
	var s sums
	for i := range t.tiers {
		s[i] = t.tiers[i].Sum(now)
	}
	return s
}

func (s sums) all() window.Counts {
	var all window.Counts
	for _, c := range s {
		all.Total += c.Total
		all.Part += c.Part
	}
	return all
}

// ringOf is where a tier is counted. Configurations from outside may know more tiers, and
// those beyond the last count as the last.
func ringOf(tier int) int { return min(max(tier, 0), load.MaxTiers-1) }
