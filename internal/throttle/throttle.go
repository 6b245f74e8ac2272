// Package throttle implements adaptive throttling: a router refuses requests
// before sending them, in proportion to those that the endpoints refuse or don't
// answer in time. The lowest tier is refused first: a tier is refused only if
// all requests of the tiers below it are.
package throttle

import (
	"cmp"
	"time"

	"coveferry/internal/load"
	"coveferry/internal/throttle/window"
)

// Defaults of a Config.
const (
	defaultWindow           = 2 * time.Second
	defaultAcceptMultiplier = 2
	defaultMinRequests      = 20
)

// Config configures a Throttle. Zero fields are replaced by defaults.
type Config struct {
	// Window is the time over which requests and accepts are compared.
	Window time.Duration
	// AcceptMultiplier is the multiple of the accepted requests that may be
	// sent. It must be above 1, so that a recovery is detected. Lower values
	// make the throttle refuse requests earlier.
	AcceptMultiplier float64
	// MinRequests is the number of requests in the window below which none is
	// refused.
	MinRequests int
	// Disabled turns the throttle off, for comparison.
	Disabled bool
}

// Throttle throttles requests to one group of endpoints, such as those of one
// model. It is safe for concurrent use.
type Throttle struct {
	cfg Config
	// tiers counts the requests that were accepted or refused (Total) and those
	// that were accepted (Part).
	tiers *window.Tiers
}

// New returns a throttle without counts. It doesn't refuse any requests yet.
func New(cfg Config) *Throttle {
	cfg.Window = cmp.Or(cfg.Window, defaultWindow)
	cfg.AcceptMultiplier = cmp.Or(cfg.AcceptMultiplier, defaultAcceptMultiplier)
	cfg.MinRequests = cmp.Or(cfg.MinRequests, defaultMinRequests)
	return &Throttle{cfg: cfg, tiers: window.NewTiers(cfg.Window)}
}

// Allow reports whether to send a request of the tier. draw is a random number
// in [0, 1). If the result is false, the caller refuses the request if
// balance.Pool.MayReject allows it and sends it otherwise. In all cases the
// caller reports the outcome with Accepted or Refused. Requests in flight aren't
// counted, so that slow answers don't look like refusals.
func (t *Throttle) Allow(now time.Time, tier int, draw float64) bool {
	return draw >= t.RefusalProbability(now, tier)
}

// Accepted counts a request that an endpoint accepted and started to answer in
// time.
func (t *Throttle) Accepted(now time.Time, tier int) {
	t.tiers.Add(now, tier, window.Counts{Total: 1, Part: 1})
}

// Refused counts a request that was refused here or by an endpoint, timed out,
// or failed.
func (t *Throttle) Refused(now time.Time, tier int) {
	t.tiers.Add(now, tier, window.Counts{Total: 1})
}

// RefusalProbability returns the share of the tier's requests to refuse now.
func (t *Throttle) RefusalProbability(now time.Time, tier int) float64 {
	if t.cfg.Disabled {
		return 0
	}
	return refusalProbability(t.tiers.Sums(now), tier, t.cfg)
}

// refusalProbability assigns the excess requests to the tiers, starting with the
// lowest, and returns the share of the given tier's requests to refuse.
func refusalProbability(counts [load.MaxTiers]window.Counts, tier int, cfg Config) float64 {
	var all window.Counts
	for _, c := range counts {
		all.Total += c.Total
		all.Part += c.Part
	}
	if all.Total < cfg.MinRequests {
		return 0
	}
	excess := float64(all.Total) - cfg.AcceptMultiplier*float64(all.Part)
	for i := load.MaxTiers - 1; i > tier; i-- {
		excess -= float64(counts[i].Total)
	}
	// The added one keeps the highest tier's result below 1, so that a few
	// requests are still sent if all of them fail.
	return min(1, max(0, excess)/float64(counts[tier].Total+1))
}
