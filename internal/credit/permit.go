package credit

import (
	"cmp"
	"time"

	"coveferry/internal/load"
)

// KindConcurrency limits how many of a team's requests run concurrently. It is
// enforced by permits: a holder may run as many requests as its quota, which the
// owner renews with each request of the holder.
const KindConcurrency Kind = "concurrency"

// PermitConfig holds the settings that must be the same at the owner and all
// holders of a concurrency limit. A zero Period or TTL is replaced by its
// default.
type PermitConfig struct {
	// Limit is the number of requests that may run concurrently.
	Limit  int
	Period time.Duration
	// TTL is how long a quota is valid after it was requested.
	TTL time.Duration
}

func (c PermitConfig) withDefaults() PermitConfig {
	c.Period = cmp.Or(c.Period, defaultPeriod)
	c.TTL = cmp.Or(c.TTL, defaultTTL)
	return c
}

// TierCounts holds numbers of requests by tier.
type TierCounts [load.MaxTiers]int

func (p TierCounts) total() int {
	sum := 0
	for _, n := range p {
		sum += n
	}
	return sum
}

// PermitRequest is sent by a holder of a concurrency limit to the owner.
type PermitRequest struct {
	Holder string
	Seq    uint64
	// Quota is the holder's current quota, and Running the number of requests
	// that run there, which may be higher.
	Quota   int
	Running int
	// Want is the highest number of concurrent requests wanted recently.
	Want TierCounts
}

// PermitGrant sets the holder's quota until a TTL after the request was sent.
type PermitGrant struct {
	Seq   uint64
	Quota int
}

// PermitOwner divides one concurrency limit between holders. It isn't safe for
// concurrent use.
//
// Without faults no more requests than the limit run. When holders can't reach
// the owner, running requests continue and each holder may start requests up to
// its fair share, so that up to twice the limit may run until the earlier
// requests have ended. A new owner doesn't raise quotas for a TTL, so that it
// first learns of the running requests.
type PermitOwner struct {
	cfg        PermitConfig
	grantsFrom time.Time
	reachable  int
	routers    int
	holders    map[string]holderPermits
}

// holderPermits is the owner's state of one holder.
type holderPermits struct {
	want TierCounts
	// committed is the most that the holder may use: the maximum of the
	// requests running and of its quota before and after the grant.
	committed int
	at        time.Time
}

// NewPermitOwner returns an owner that starts now.
func NewPermitOwner(now time.Time, cfg PermitConfig) *PermitOwner {
	cfg = cfg.withDefaults()
	return &PermitOwner{cfg: cfg, grantsFrom: now.Add(cfg.TTL), reachable: 1, routers: 1, holders: make(map[string]holderPermits)}
}

// SetReach sets how many of all routers, itself included, the owner reaches. The
// fair shares of the others aren't granted.
func (h *PermitOwner) SetReach(reached, all int) {
	h.routers = max(all, 1)
	h.reachable = min(reached, h.routers)
}

// Grant returns the quota of a holder: higher tiers go before lower ones, and
// within a tier holders share fairly.
func (h *PermitOwner) Grant(now time.Time, a PermitRequest) PermitGrant {
	for holder, p := range h.holders {
		if now.Sub(p.at) >= h.cfg.TTL {
			delete(h.holders, holder)
		}
	}
	inUse := max(a.Quota, a.Running)
	h.holders[a.Holder] = holderPermits{want: a.Want, committed: inUse, at: now}
	quota := min(h.share(a.Holder), a.Quota+h.uncommitted())
	if now.Before(h.grantsFrom) {
		quota = min(quota, a.Quota)
	}
	quota = max(quota, 0)
	h.holders[a.Holder] = holderPermits{want: a.Want, committed: max(inUse, quota), at: now}
	return PermitGrant{Seq: a.Seq, Quota: quota}
}

// sharedLimit returns the limit less the fair shares of unreachable routers.
func (h *PermitOwner) sharedLimit() int {
	unreachable := h.routers - h.reachable
	return h.cfg.Limit - unreachable*fairPermits(h.cfg.Limit, h.routers)
}

// uncommitted returns the permits not committed to any holder. It is negative
// after the limit was lowered.
func (h *PermitOwner) uncommitted() int {
	left := h.sharedLimit()
	for _, p := range h.holders {
		left -= p.committed
	}
	return left
}

// share returns the holder's fair share of sharedLimit given all holders'
// demands.
func (h *PermitOwner) share(holder string) int {
	left := float64(h.sharedLimit())
	share := 0.0
	wants := make([]float64, 0, len(h.holders))
	for tier, want := range h.holders[holder].want {
		wants = wants[:0]
		for _, p := range h.holders {
			wants = append(wants, float64(p.want[tier]))
		}
		level := maxMinLevel(wants, left)
		share += min(float64(want), level)
		for _, w := range wants {
			left -= min(w, level)
		}
	}
	return int(share)
}

// fairPermits returns one router's fair share, rounded down so that the sum of
// all shares doesn't exceed the limit. It is 0 if the limit is less than the
// number of routers.
func fairPermits(limit, routers int) int { return limit / max(routers, 1) }
