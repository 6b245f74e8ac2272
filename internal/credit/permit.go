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

// SetReachable sets how many of all routers, itself included, the owner reaches.
// The fair shares of the others aren't granted.
func (o *PermitOwner) SetReachable(reached, all int) {
	o.routers = max(all, 1)
	o.reachable = min(reached, o.routers)
}

// Grant returns the quota of a holder: higher tiers go before lower ones, and
// within a tier holders share fairly.
func (o *PermitOwner) Grant(now time.Time, a PermitRequest) PermitGrant {
	for holder, p := range o.holders {
		if now.Sub(p.at) >= o.cfg.TTL {
			delete(o.holders, holder)
		}
	}
	inUse := max(a.Quota, a.Running)
	o.holders[a.Holder] = holderPermits{want: a.Want, committed: inUse, at: now}
	quota := min(o.share(a.Holder), a.Quota+o.uncommitted())
	if now.Before(o.grantsFrom) {
		quota = min(quota, a.Quota)
	}
	quota = max(quota, 0)
	o.holders[a.Holder] = holderPermits{want: a.Want, committed: max(inUse, quota), at: now}
	return PermitGrant{Seq: a.Seq, Quota: quota}
}

// sharedLimit returns the limit less the fair shares of unreachable routers.
func (o *PermitOwner) sharedLimit() int {
	unreachable := o.routers - o.reachable
	return o.cfg.Limit - unreachable*fairPermits(o.cfg.Limit, o.routers)
}

// uncommitted returns the permits not committed to any holder. It is negative
// after the limit was lowered.
func (o *PermitOwner) uncommitted() int {
	left := o.sharedLimit()
	for _, p := range o.holders {
		left -= p.committed
	}
	return left
}

// share returns the holder's fair share of sharedLimit given all holders'
// demands.
func (o *PermitOwner) share(holder string) int {
	left := float64(o.sharedLimit())
	share := 0.0
	wants := make([]float64, 0, len(o.holders))
	for tier, want := range o.holders[holder].want {
		wants = wants[:0]
		for _, p := range o.holders {
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
