package retry

import (
	"math/rand/v2"
	"time"

	"coveferry/internal/load"
	"coveferry/internal/throttle/window"
)

// rate is what earns retries.
type rate struct {
	// perFirst is earned by each first attempt, perWindow by the time.
	perFirst, perWindow float64
}

// inWindow returns what a tier earns in a window that holds the given number of its first attempts;
// portion is the tier's part of all.
func (r rate) inWindow(firsts int, portion float64) float64 {
	return r.perFirst*float64(firsts) + r.perWindow*portion
}

// turnShare is the part of the routers' turns that are used, of those that their limits would allow;
// see bucket.turn. It is below 1 since more routers than the mean may have their turn at once.
const turnShare = 0.8

// tolerance is for sums of fractions.
const tolerance = 1e-9

// bucket is a token bucket of the retries at one target, by tier. It isn't safe for concurrent
// use.
type bucket struct {
	window time.Duration
	burst  float64
	// seed must differ between routers that share a limit; 0 shares none.
	seed uint64
	// began is the time from which windows are counted.
	began time.Time
	// attempts counts the first attempts (Total) and the retries (Part).
	attempts [load.MaxTiers]window.Ring
	// unspent may be negative for a tier that used a part of what others had.
	unspent [load.MaxTiers]float64
	// earned is until when the time has earned retries.
	earned time.Time
	// underWay counts the retries that may still arrive, including those in abandoned, which holds
	// until when each of them counts, the earliest first.
	underWay  int
	abandoned []time.Time
}

// newBucket returns a bucket whose tiers have the given number of unspent retries each.
func newBucket(length time.Duration, burst, unspent float64, began time.Time, seed uint64) bucket {
	b := bucket{window: length, burst: burst, seed: seed, began: began, earned: began}
	for i := range b.attempts {
		b.attempts[i] = window.New(length)
		b.unspent[i] = unspent
	}
	return b
}

// recordFirst counts a first attempt and adds what it earns. That comes on top of what may remain
// unspent of earlier ones, so that a request can be retried by what it has earned itself.
func (b *bucket) recordFirst(now time.Time, tier int, r rate) {
	b.attempts[tier].Add(now, window.Counts{Total: 1})
	limits, turn := b.refill(now, tier, r)
	b.trim(limits)
	b.unspent[tier] += turn * r.perFirst
}

// trim drops what exceeds the limit on all tiers together, of tiers that have more than their part.
func (b *bucket) trim(limits tierLimits) {
	free := b.free(limits)
	var over tierLimits
	for i, limit := range limits {
		if limit == 0 {
			b.unspent[i] = 0 // a tier without requests must not owe others for good
		}
		over[i] = max(0, b.unspent[i]-free*limit)
	}
	excess := sum(b.unspent) - free*sum(limits)
	if excess <= 0 {
		return
	}
	share := min(1, excess/max(tolerance, sum(over)))
	for i := range over {
		b.unspent[i] -= share * over[i]
	}
}

// takeRetry takes a retry of the tier if there is one. A tier that has less than a whole one may use
// parts of other tiers, once, until it has earned that.
func (b *bucket) takeRetry(now time.Time, tier int, r rate) bool {
	limits, _ := b.refill(now, tier, r)
	if float64(b.underWay) >= sum(limits)+tolerance || b.unspent[tier] <= tolerance || sum(b.unspent) < 1-tolerance {
		return false
	}
	b.unspent[tier]--
	b.underWay++
	b.attempts[tier].Add(now, window.Counts{Part: 1})
	return true
}

// settle ends a retry that is no longer under way.
func (b *bucket) settle() { b.underWay-- }

// refund ends a retry of which nothing was sent, and gives it back.
func (b *bucket) refund(now time.Time, tier int) {
	b.underWay--
	b.unspent[tier]++
	b.attempts[tier].Add(now, window.Counts{Part: -1})
}

// abandon has a retry count as under way until the given time.
func (b *bucket) abandon(until time.Time) { b.abandoned = append(b.abandoned, until) }

// dropAbandoned ends the abandoned retries that can't arrive any more.
func (b *bucket) dropAbandoned(now time.Time) {
	for len(b.abandoned) > 0 && !b.abandoned[0].After(now) {
		b.abandoned = b.abandoned[1:]
		b.underWay--
	}
}

// tierLimits are the limits on what may remain unspent, by tier.
type tierLimits [load.MaxTiers]float64

// refill adds what the time has earned, up to the limits on what may remain unspent. It returns
// these, and by how much this router earns more in its turn. Tiers earn by their parts of the first
// attempts; without any, the given tier earns all.
func (b *bucket) refill(now time.Time, tier int, r rate) (limits tierLimits, turn float64) {
	b.dropAbandoned(now)
	counts := b.counts(now)
	portions := counts.portions(tier)
	for i := range limits {
		limits[i] = b.burst * r.inWindow(counts[i].Total, portions[i])
	}
	turn = b.turn(now, sum(limits))
	for i := range limits {
		limits[i] *= turn
	}
	byTime := turn * r.perWindow * float64(max(0, now.Sub(b.earned))) / float64(b.window)
	b.earned = later(b.earned, now)
	free := b.free(limits)
	for i := range b.unspent {
		b.unspent[i] = max(b.unspent[i], min(b.unspent[i]+byTime*portions[i], free*limits[i]))
	}
	return limits, turn
}

// free returns the share of the limits that retries under way leave. These count as if they were
// unspent, since they may arrive together with what is.
func (b *bucket) free(limits tierLimits) float64 {
	return max(0, 1-float64(b.underWay)/max(tolerance, sum(limits)))
}

// turn returns by how much this router earns more in this window. Routers that could never keep a
// whole retry unspent take turns, by windows: in its turn a router may keep one, for those that have
// none.
func (b *bucket) turn(now time.Time, limit float64) float64 {
	switch {
	case b.seed == 0 || limit >= 1-tolerance:
		return 1
	case limit <= tolerance:
		return 0
	}
	index := uint64(max(0, now.Sub(b.began)) / b.window)
	if rand.New(rand.NewPCG(b.seed, index)).Float64() >= turnShare*limit {
		return 0
	}
	return 1 / limit
}

// counts returns the counts of the window that ends now.
func (b *bucket) counts(now time.Time) tierCounts {
	var counts tierCounts
	for i := range b.attempts {
		counts[i] = b.attempts[i].Sum(now)
	}
	return counts
}

// portions returns each tier's part of the first attempts, all for the given tier if there are none.
func (counts tierCounts) portions(tier int) (portions [load.MaxTiers]float64) {
	all := counts.total().Total
	if all == 0 {
		portions[tier] = 1
		return portions
	}
	for i := range portions {
		portions[i] = float64(counts[i].Total) / float64(all)
	}
	return portions
}

// tierCounts are the counts of a window by tier.
type tierCounts [load.MaxTiers]window.Counts

func (counts tierCounts) total() window.Counts {
	var all window.Counts
	for _, c := range counts {
		all.Total += c.Total
		all.Part += c.Part
	}
	return all
}

func sum(values [load.MaxTiers]float64) (total float64) {
	for _, v := range values {
		total += v
	}
	return total
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
