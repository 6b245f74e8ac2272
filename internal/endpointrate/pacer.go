package endpointrate

import (
	"math"
	"time"
)

const (
	// earlyFraction is how much earlier than due a request may be sent, as a fraction of the
	// interval, to make up for pauses. Without it, owners with 11 callers a second use 8 of 13
	// allowed requests a second.
	earlyFraction = 0.5
	// limitingPeriod is how long a rate counts as limiting after a request was rejected.
	limitingPeriod = time.Second
	// minYieldPeriod is how long less urgent tiers yield after a request of a more urgent one,
	// and yieldIntervals the same in multiples of the interval between requests, if that is
	// longer.
	minYieldPeriod = time.Second
	yieldIntervals = 6
	// yieldDelayFraction is how much later than due a yielding request is sent, as a fraction of
	// the interval, so that more urgent ones come first.
	yieldDelayFraction = 0.5
	// halfLife is the half-life of the recent request count.
	halfLife = 4 * time.Second
)

// Pacer spaces a router's requests to an endpoint. The zero value admits the first one.
type Pacer struct {
	due time.Time // when the next request is due
	// rejectedAt is when a request was last rejected, and unservedAt when no other endpoint
	// admitted one either.
	rejectedAt, unservedAt time.Time
	// topTier is the most urgent tier of recent requests, and topTierAt the time of the last
	// request of that tier.
	topTier   int
	topTierAt time.Time
	// recentPeriod is how long an unserved request and a tier count as recent.
	recentPeriod time.Duration
	// recentRequests is a decaying count of admitted requests, as of recentRequestsAt.
	recentRequests   float64
	recentRequestsAt time.Time
}

// FreeAt returns when a request of a tier, 0 for the most urgent, may be sent at the given rate,
// which must be above 0.
func (p *Pacer) FreeAt(now time.Time, perSecond float64, tier int) time.Time {
	if p.yields(now, tier) {
		return p.due.Add(scale(Interval(perSecond), yieldDelayFraction))
	}
	return p.due.Add(-scale(Interval(perSecond), earlyFraction))
}

// yields reports whether a request of a tier waits for more urgent ones: there were such requests
// recently, and some stayed unserved.
func (p *Pacer) yields(now time.Time, tier int) bool {
	return now.Sub(p.unservedAt) < p.recentPeriod && tier > p.topTier && now.Sub(p.topTierAt) < p.recentPeriod
}

// recordTier records the tier of a request.
func (p *Pacer) recordTier(now time.Time, tier int) {
	if tier <= p.topTier || now.Sub(p.topTierAt) >= p.recentPeriod {
		p.topTier, p.topTierAt = tier, now
	}
}

// Ready reports whether a request of a tier may be sent now at the given rate.
func (p *Pacer) Ready(now time.Time, perSecond float64, tier int) bool {
	return perSecond > 0 && !now.Before(p.FreeAt(now, perSecond, tier))
}

// Take is Ready and counts the request if it is admitted.
func (p *Pacer) Take(now time.Time, perSecond float64, tier int) bool {
	if !p.Ready(now, perSecond, tier) {
		return false
	}
	p.recordTier(now, tier)
	if now.After(p.due) {
		p.due = now
	}
	p.due = p.due.Add(Interval(perSecond))
	p.recentPeriod = max(minYieldPeriod, yieldIntervals*Interval(perSecond))
	p.recentRequests = p.count(now) + 1
	p.recentRequestsAt = now
	return true
}

// RateChanged adapts to a new rate: a request that was due late at a lower rate comes due sooner.
func (p *Pacer) RateChanged(now time.Time, perSecond float64) {
	if latest := now.Add(scale(Interval(perSecond), 1+earlyFraction)); p.due.After(latest) {
		p.due = latest
	}
}

// RecordRejected records that a request wasn't admitted.
func (p *Pacer) RecordRejected(now time.Time) { p.rejectedAt = now }

// RecordUnserved records that no other endpoint admitted a request of a tier either.
func (p *Pacer) RecordUnserved(now time.Time, tier int) {
	p.recordTier(now, tier)
	p.unservedAt = now
}

// Limiting reports whether a request was rejected recently.
func (p *Pacer) Limiting(now time.Time) bool { return now.Sub(p.rejectedAt) < limitingPeriod }

// Admitted returns the requests a second that were admitted recently.
func (p *Pacer) Admitted(now time.Time) float64 { return math.Ln2 * p.count(now) / halfLife.Seconds() }

// count returns recentRequests, decayed until now.
func (p *Pacer) count(now time.Time) float64 {
	return p.recentRequests * math.Exp2(-now.Sub(p.recentRequestsAt).Seconds()/halfLife.Seconds())
}

// maxInterval keeps the interval within the range of a Duration for very low rates.
const maxInterval = 24 * time.Hour

// Interval returns the time between two requests at the given rate.
func Interval(perSecond float64) time.Duration {
	return scale(time.Second, min(1/perSecond, maxInterval.Seconds()))
}

func scale(d time.Duration, x float64) time.Duration { return time.Duration(x * float64(d)) }
