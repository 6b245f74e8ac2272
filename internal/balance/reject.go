package balance

import (
	"time"

	"coveferry/internal/bundle"
)

// MayReject reports whether a router may reject a request of the tier by itself: only if each usable
// candidate reported, within Config.FullReportMaxAge, that all its slots are in use and that it has
// no work of a lower tier to preempt. An ejected endpoint still counts, since it can preempt work.
// With no usable candidate the result is true.
func (p *Pool) MayReject(now time.Time, tier int, candidates []*bundle.Endpoint) bool {
	var v View
	for _, c := range candidates {
		if p.fillView(now, c, &v, Request{}) != accepting {
			continue
		}
		if v.canTake(now, tier, p.cfg.FullReportMaxAge) {
			return false
		}
	}
	return true
}

// canTake reports whether the endpoint may have room for the tier. Without a report younger than
// maxAge it may.
func (v *View) canTake(now time.Time, tier int, maxAge time.Duration) bool {
	unknown := v.ReportedAt.IsZero() || now.Sub(v.ReportedAt) > maxAge
	hasRoom := v.Load.TotalRunning() < v.Load.Slots
	return unknown || hasRoom || v.Load.CountBelow(tier) > 0
}
