// Package throttle lets a router refuse requests before it sends them, in
// proportion to what the endpoints refuse or don't answer in time (adaptive
// throttling). The lowest tier is refused first: a tier is refused only once
// all of the tiers below it are.
package throttle

import (
	"cmp"
	"time"

	"coveferry/internal/load"
	"coveferry/internal/throttle/window"
)

// Defaults of a Config.
const (
	defaultWindow  = 2 * time.Second
	defaultHeadway = 2
	defaultMin     = 20
)

// Config sets up a Throttle. Each field that is zero takes its default.
type Config struct {
	// Window is the time over which requests and accepts are compared.
	Window time.Duration
	// Headway is how many times the accepted requests may be sent: above 1,
	// so that a recovery is noticed; the less, the earlier requests are
	// refused here.
	Headway float64
	// MinRequests in the window come before any refusal.
	MinRequests int
	// Off turns the throttle off, for comparison.
	Off bool
}

// Throttle watches one group of endpoints, such as those of one model. It is
// safe for concurrent use.
type Throttle struct {
	cfg Config
	// tiers count the requests that were accepted or refused (Total) and the
	// accepted ones (Part).
	tiers *window.Tiers
}

// New returns a throttle that has seen nothing and refuses nothing.
func New(cfg Config) *Throttle {
	cfg.Window = cmp.Or(cfg.Window, defaultWindow)
	cfg.Headway = cmp.Or(cfg.Headway, defaultHeadway)
	cfg.MinRequests = cmp.Or(cfg.MinRequests, defaultMin)
	return &Throttle{cfg: cfg, tiers: window.NewTiers(cfg.Window)}
}

// Allow says whether to send a request of the tier. draw is a random number
// from [0, 1). A caller that gets false may refuse the request only if
// balance.Pool.MayRefuse allows it, and sends it otherwise. Whatever becomes
// of the request, the caller says so with Accepted or Refused; one still on
// its way counts for neither, so that slow answers don't look like refusals.
func (t *Throttle) Allow(now time.Time, tier int, draw float64) bool {
	return draw >= t.Probability(now, tier)
}

// Accepted counts a request that an endpoint took and began to answer in time.
func (t *Throttle) Accepted(now time.Time, tier int) {
	t.tiers.Add(now, tier, window.Counts{Total: 1, Part: 1})
}

// Refused counts a request that was refused here or by an endpoint, timed out,
// or failed.
func (t *Throttle) Refused(now time.Time, tier int) {
	t.tiers.Add(now, tier, window.Counts{Total: 1})
}

// Probability is the part of the tier's requests that is refused now.
func (t *Throttle) Probability(now time.Time, tier int) float64 {
	if t.cfg.Off {
		return 0
	}
	return refusal(t.tiers.Sums(now), tier, t.cfg)
}

// refusal spreads the requests that are too many over the tiers, from the
// lowest up, and returns the part of the given tier's that it takes.
func refusal(counts [load.MaxTiers]window.Counts, tier int, cfg Config) float64 {
	var all window.Counts
	for _, c := range counts {
		all.Total += c.Total
		all.Part += c.Part
	}
	if all.Total < cfg.MinRequests {
		return 0
	}
	excess := float64(all.Total) - cfg.Headway*float64(all.Part)
	for i := load.MaxTiers - 1; i > tier; i-- {
		excess -= float64(counts[i].Total)
	}
	// The one more keeps a few requests flowing where all of them fail.
	return min(1, max(0, excess)/float64(counts[tier].Total+1))
}
