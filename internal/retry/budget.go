package retry

import (
	"cmp"
	"time"

	"coveferry/internal/throttle/window"
)

// Defaults of a BudgetConfig.
const (
	defaultRatio  = 0.1
	defaultWindow = 10 * time.Second
	defaultFloor  = 1
)

// BudgetConfig sets up a Budget. Each field that is zero takes its default.
type BudgetConfig struct {
	// Ratio is how many retries the first attempts in the window allow each.
	Ratio  float64
	Window time.Duration
	// Floor is how many retries a second are allowed besides, so that a
	// router with little traffic can retry at all.
	Floor float64
}

// Budget bounds the retries of one router to a share of its first attempts.
// Each tier has a budget of its own, under its own lock, so that the retries
// of one can't use up another's. It is safe for concurrent use.
type Budget struct {
	cfg BudgetConfig
	// tiers count first attempts (Total) and retries (Part).
	tiers *window.Tiers
}

// NewBudget returns a budget that has seen no attempt.
func NewBudget(cfg BudgetConfig) *Budget {
	cfg.Ratio = cmp.Or(cfg.Ratio, defaultRatio)
	cfg.Window = cmp.Or(cfg.Window, defaultWindow)
	cfg.Floor = cmp.Or(cfg.Floor, defaultFloor)
	return &Budget{cfg: cfg, tiers: window.NewTiers(cfg.Window)}
}

// First counts the first attempt of a request.
func (b *Budget) First(now time.Time, tier int) {
	b.tiers.Add(now, tier, window.Counts{Total: 1})
}

// TryRetry counts a retry and returns true if the budget allows it.
func (b *Budget) TryRetry(now time.Time, tier int) bool {
	return b.tiers.AddIf(now, tier, window.Counts{Part: 1}, func(so window.Counts) bool {
		allowed := b.cfg.Ratio*float64(so.Total) + b.cfg.Floor*b.cfg.Window.Seconds()
		return float64(so.Part+1) <= allowed
	})
}
