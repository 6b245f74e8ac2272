package credit

import "time"

// A holder is cold if it has had no answer from the owner for a TTL and isn't
// on its fair share, as after an idle time. Instead of refusing the first
// requests after each idle time it then goes into debt: by at most what its fair
// share yields in a period, and at least one unit. The debt is paid from later
// credits, so the rate holds; the bound over any time grows by the larger of
// Rate * Period and the number of holders.

// Admit spends a unit for a request of the tier like TrySpend. A cold holder
// goes into debt for it unless a higher tier recently demanded units.
func (h *Holder) Admit(now time.Time, tier int) bool {
	if h.TrySpend(now, tier, 1) {
		return true
	}
	if !h.mayGoIntoDebt(now, tier) {
		return false
	}
	h.current.spent[tier]++
	h.spend(1)
	return true
}

// MayStart is HasCredit for a holder that may be cold. If it returns false, the
// holder sends an early request for credits.
func (h *Holder) MayStart(now time.Time, tier int) bool {
	if h.HasCredit(now, tier) || h.mayGoIntoDebt(now, tier) {
		return true
	}
	h.refused = true
	h.current.demand[tier] = max(h.current.demand[tier], 1)
	return false
}

// Cold reports whether the holder has neither a recent grant nor its fair share.
func (h *Holder) Cold(now time.Time) bool {
	return now.Sub(h.grantedAt) >= h.cfg.TTL && !h.onFairShare(now)
}

// RetryAfter estimates the time until the holder has a unit again: the time
// until its next request plus the time in which its fair share of the rate
// yields the missing units. The fair share is the least that it gets while the
// other holders want as much.
func (h *Holder) RetryAfter(now time.Time) time.Duration {
	h.advance(now)
	untilRequest := max(0, h.cfg.Period-now.Sub(h.requestedAt))
	missing := max(0, 1-h.balance())
	rate := h.cfg.Rate / float64(h.routers)
	return untilRequest + time.Duration(missing/rate*float64(time.Second))
}

func (h *Holder) mayGoIntoDebt(now time.Time, tier int) bool {
	maxDebt := max(1, h.cfg.unitsIn(h.cfg.Period)/float64(h.routers))
	return h.Cold(now) && h.reservedAbove(tier) == 0 && h.debt+1 <= maxDebt
}

// onFairShare reports whether the holder uses its fair share because the owner
// doesn't answer.
func (h *Holder) onFairShare(now time.Time) bool {
	return !h.unansweredSince.IsZero() && now.Sub(h.unansweredSince) >= h.cfg.TTL
}

// Admit is Start for a holder that may be cold: a cold holder may run one
// request.
func (h *PermitHolder) Admit(now time.Time, tier int) bool {
	if h.Start(now, tier) {
		return true
	}
	if !h.Cold(now) || h.running.total() > 0 || h.reservedAbove(tier) > 0 {
		return false
	}
	h.running[tier]++
	return true
}

// Cold reports whether the holder has neither a valid quota nor its fair share.
func (h *PermitHolder) Cold(now time.Time) bool {
	return !now.Before(h.expires) && !h.onFairShare(now)
}

func (h *PermitHolder) onFairShare(now time.Time) bool {
	return !h.unansweredSince.IsZero() && now.Sub(h.unansweredSince) >= h.cfg.TTL
}

// SetLimit changes the limit.
func (h *PermitHolder) SetLimit(limit int) { h.cfg.Limit = limit }

// SetLimit changes the limit. Quotas granted earlier stay valid until their
// holders send the next request.
func (o *PermitOwner) SetLimit(limit int) { o.cfg.Limit = limit }
