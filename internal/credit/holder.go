package credit

import (
	"slices"
	"time"
)

const (
	// headroom is the multiple of the previous period's demand to request.
	headroom = 1.5
	// earlyRequestDivisor: after a refusal a holder sends a request once
	// Period/earlyRequestDivisor has passed since the last one.
	earlyRequestDivisor = 8
	// returnThreshold is the multiple of the demand above which credits are
	// returned.
	returnThreshold = 3
)

// Holder spends the credits of one limit at one router. When its requests are
// unanswered for a TTL, it falls back to its fair share of the limit until a
// grant arrives. It isn't safe for concurrent use.
type Holder struct {
	name        string
	cfg         Config
	routers     int
	leases      []heldLease
	debt        float64
	seq         uint64
	requestedAt time.Time // when the last request was sent
	pending     bool      // the last request is unanswered
	// unansweredSince is when the first request since the last grant was sent,
	// zero if none was.
	unansweredSince time.Time
	grantedAt       time.Time // when the last grant arrived
	refused         bool      // a unit was refused since the last request
	current         usage
	previous        usage
	periodStart     time.Time // of the current period
	// recentPeak is the highest demand of a period since recentPeakAt.
	recentPeak   float64
	recentPeakAt time.Time

	fairCredits   float64 // credits of the fair share while the owner is unreachable
	fairCreditsAt time.Time
}

// heldLease is the remainder of one grant.
type heldLease struct {
	amount  float64
	expires time.Time
}

// usage counts the units demanded and spent at each tier within a period.
type usage struct {
	demand TierUnits
	spent  TierUnits
}

// NewHolder returns a holder without credits. routers is the number of routers
// that share the limit.
func NewHolder(name string, routers int, cfg Config) *Holder {
	return &Holder{name: name, cfg: cfg.withDefaults(), routers: max(routers, 1)}
}

// SetRouters changes the number of routers that share the limit.
func (h *Holder) SetRouters(now time.Time, routers int) {
	h.advance(now)
	h.routers = max(routers, 1)
}

// SetRate changes the limit.
func (h *Holder) SetRate(now time.Time, rate float64) {
	h.advance(now)
	h.cfg.Rate = rate
}

// TrySpend spends n units for a request of the tier, or returns false if there
// aren't enough. Units that higher tiers are expected to demand before the next
// grant are reserved for them.
func (h *Holder) TrySpend(now time.Time, tier int, n float64) bool {
	h.advance(now)
	h.current.demand[tier] += n
	if h.balance()-h.reservedAbove(tier) < n {
		h.refused = true
		return false
	}
	h.current.spent[tier] += n
	h.spend(n)
	return true
}

// Charge spends n units that were already used, such as produced tokens, going
// into debt if necessary. A caller that limits tokens calls HasCredit before it
// starts a request and Charge as tokens are produced.
func (h *Holder) Charge(now time.Time, tier int, n float64) {
	h.advance(now)
	h.current.demand[tier] += n
	h.current.spent[tier] += n
	h.spend(n)
}

// HasCredit reports whether units are left beyond those reserved for higher
// tiers.
func (h *Holder) HasCredit(now time.Time, tier int) bool {
	h.advance(now)
	return h.balance()-h.reservedAbove(tier) > 0
}

// NextRequest returns the request to send to the owner, or false if none is
// due. An unanswered request is followed by another one after a period.
func (h *Holder) NextRequest(now time.Time) (LeaseRequest, bool) {
	h.advance(now)
	if !h.due(now) {
		return LeaseRequest{}, false
	}
	if now.Sub(h.periodStart) >= h.cfg.Period {
		h.previous, h.current, h.periodStart = h.current, usage{}, now
	}
	h.recordRequest(now)
	a := LeaseRequest{Holder: h.name, Seq: h.seq}
	credits := h.leased()
	demand := 0.0
	for tier := range a.Want {
		d := max(h.previous.demand[tier], h.current.demand[tier])
		demand += d
		want := d * headroom
		a.Want[tier] = max(0, want-max(credits, 0))
		credits = max(0, credits-want)
	}
	a.Want[0] += h.debt
	h.updateRecentPeak(now, demand)
	a.Return = h.removeCredits(credits - (returnThreshold-headroom)*h.recentPeak)
	return a, true
}

// updateRecentPeak keeps the highest demand of a period within a TTL, so that
// credit is kept for requests that arrive less than once a period.
func (h *Holder) updateRecentPeak(now time.Time, demand float64) {
	if demand >= h.recentPeak || now.Sub(h.recentPeakAt) >= h.cfg.TTL {
		h.recentPeak, h.recentPeakAt = demand, now
	}
}

// due reports whether to send a request now: each period while there is demand,
// credit or debt, and earlier after a refusal.
func (h *Holder) due(now time.Time) bool {
	since := now.Sub(h.requestedAt)
	if h.refused && !h.pending && since >= h.cfg.Period/earlyRequestDivisor {
		return true
	}
	idle := h.current.demand == TierUnits{} && h.previous.demand == TierUnits{} && h.debt == 0 && len(h.leases) == 0
	return since >= h.cfg.Period && !idle
}

func (h *Holder) recordRequest(now time.Time) {
	h.requestedAt = now
	h.pending = true
	h.refused = false
	h.seq++
	if h.unansweredSince.IsZero() {
		h.unansweredSince = now
	}
}

// ApplyGrant applies the owner's answer. Answers to earlier requests than the
// last one and duplicates are ignored.
func (h *Holder) ApplyGrant(now time.Time, g Grant) {
	h.advance(now)
	ends := h.requestedAt.Add(h.cfg.TTL)
	if !h.pending || g.Seq != h.seq || !now.Before(ends) {
		return
	}
	h.pending = false
	h.unansweredSince = time.Time{}
	h.grantedAt = now
	h.fairCredits = 0
	repaid := min(h.debt, g.Amount)
	h.debt -= repaid
	h.leases = append(h.leases, heldLease{amount: g.Amount - repaid, expires: ends})
}

// advance drops expired leases and adds fair-share credits.
func (h *Holder) advance(now time.Time) {
	h.leases = slices.DeleteFunc(h.leases, func(l heldLease) bool { return l.amount <= 0 || !now.Before(l.expires) })
	if !h.unansweredSince.IsZero() {
		h.advanceFairShare(now)
	}
}

// advanceFairShare adds the fair-share credits for the time in which the owner
// has been unreachable.
func (h *Holder) advanceFairShare(now time.Time) {
	from := h.unansweredSince.Add(h.cfg.TTL)
	if h.fairCreditsAt.After(from) {
		from = h.fairCreditsAt
	}
	if !now.After(from) {
		return
	}
	share := 1 / float64(h.routers)
	h.fairCredits += share * h.cfg.unitsIn(now.Sub(from))
	repaid := min(h.debt, h.fairCredits)
	h.debt -= repaid
	h.fairCredits = min(h.fairCredits-repaid, max(1, share*h.cfg.unitsIn(h.cfg.Period)))
	h.fairCreditsAt = now
}

// leased returns the remaining units of all grants.
func (h *Holder) leased() float64 {
	sum := 0.0
	for _, l := range h.leases {
		sum += l.amount
	}
	return sum
}

func (h *Holder) balance() float64 { return h.leased() + h.fairCredits - h.debt }

// reservedAbove returns the units that higher tiers are expected to demand until
// the next grant: their demand in the previous period less what they have spent
// in the current one.
func (h *Holder) reservedAbove(tier int) float64 {
	sum := 0.0
	for t := range tier {
		sum += max(0, h.previous.demand[t]-h.current.spent[t])
	}
	return sum
}

// spend deducts n units from the credits, those that expire first, and adds the
// rest to the debt.
func (h *Holder) spend(n float64) {
	fromShare := min(n, h.fairCredits)
	h.fairCredits -= fromShare
	n -= fromShare
	for i := range h.leases {
		part := min(n, h.leases[i].amount)
		h.leases[i].amount -= part
		n -= part
	}
	h.debt += n
}

// removeCredits removes up to n units from the leases, from those that expire
// last, and returns the number removed.
func (h *Holder) removeCredits(n float64) float64 {
	removed := 0.0
	for i := len(h.leases) - 1; i >= 0 && removed < n; i-- {
		part := min(n-removed, h.leases[i].amount)
		h.leases[i].amount -= part
		removed += part
	}
	return removed
}
