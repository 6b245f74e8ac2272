package credit

import "time"

// PermitHolder enforces one router's quota of a concurrency limit. When the
// owner hasn't answered for a TTL, it starts requests only within its fair
// share. It isn't safe for concurrent use.
type PermitHolder struct {
	name            string
	cfg             PermitConfig
	routers         int
	quota           int
	expires         time.Time // of the quota
	running         TierCounts
	peak            TierCounts // most concurrent requests wanted in this period
	previousPeak    TierCounts // the same for the previous period
	seq             uint64
	requestedAt     time.Time
	pending         bool
	unansweredSince time.Time // when the first unanswered request was sent
	refused         bool
}

// NewPermitHolder returns a holder without permits. routers is the number of
// routers that share the limit.
func NewPermitHolder(name string, routers int, cfg PermitConfig) *PermitHolder {
	return &PermitHolder{name: name, cfg: cfg.withDefaults(), routers: max(routers, 1)}
}

// SetRouters changes the number of routers that share the limit.
func (h *PermitHolder) SetRouters(routers int) { h.routers = max(routers, 1) }

// Start reports whether a request of the tier may run and counts it if so; the
// caller must then call End. Permits that higher tiers are expected to need are
// reserved for them.
func (h *PermitHolder) Start(now time.Time, tier int) bool {
	h.peak[tier] = max(h.peak[tier], h.running[tier]+1)
	if h.running.total()+h.reservedAbove(tier) >= h.effectiveLimit(now) {
		h.refused = true
		return false
	}
	h.running[tier]++
	return true
}

// End releases the permit of a request of the tier that Start admitted.
func (h *PermitHolder) End(tier int) {
	h.running[tier] = max(h.running[tier]-1, 0)
}

// NextRequest returns the request to send to the owner, or false if none is due.
func (h *PermitHolder) NextRequest(now time.Time) (PermitRequest, bool) {
	if !h.due(now) {
		return PermitRequest{}, false
	}
	want := h.want()
	if now.Sub(h.requestedAt) >= h.cfg.Period {
		h.previousPeak, h.peak = h.peak, h.running
	}
	h.requestedAt, h.pending, h.refused = now, true, false
	h.seq++
	if h.unansweredSince.IsZero() {
		h.unansweredSince = now
	}
	return PermitRequest{Holder: h.name, Seq: h.seq, Quota: h.validQuota(now), Running: h.running.total(), Want: want}, true
}

// ApplyGrant applies the owner's answer. Answers to earlier requests than the
// last one are ignored.
func (h *PermitHolder) ApplyGrant(now time.Time, g PermitGrant) {
	ends := h.requestedAt.Add(h.cfg.TTL)
	if !h.pending || g.Seq != h.seq || !now.Before(ends) {
		return
	}
	h.pending = false
	h.unansweredSince = time.Time{}
	h.quota, h.expires = g.Quota, ends
}

// due reports whether to send a request now: each period while permits are held
// or wanted, and earlier after a refusal.
func (h *PermitHolder) due(now time.Time) bool {
	since := now.Sub(h.requestedAt)
	if h.refused && !h.pending && since >= h.cfg.Period/earlyRequestDivisor {
		return true
	}
	idle := h.want() == TierCounts{} && h.validQuota(now) == 0
	return since >= h.cfg.Period && !idle
}

func (h *PermitHolder) want() TierCounts {
	want := h.peak
	for tier, n := range h.previousPeak {
		want[tier] = max(want[tier], n)
	}
	return want
}

// validQuota returns the quota, or 0 if it has expired.
func (h *PermitHolder) validQuota(now time.Time) int {
	if !now.Before(h.expires) {
		return 0
	}
	return h.quota
}

// effectiveLimit returns the number of requests that may run now.
func (h *PermitHolder) effectiveLimit(now time.Time) int {
	if h.onFairShare(now) {
		return fairPermits(h.cfg.Limit, h.routers)
	}
	return h.validQuota(now)
}

// reservedAbove returns how many more requests than now the higher tiers wanted
// to run in the previous period.
func (h *PermitHolder) reservedAbove(tier int) int {
	sum := 0
	for t := range tier {
		sum += max(0, h.previousPeak[t]-h.running[t])
	}
	return sum
}
