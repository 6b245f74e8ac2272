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

// roundingShare of a part of a retry is the probability that it becomes a whole one. It is below 1
// since the draws of many routers may exceed their mean.
const roundingShare = 0.9

// tolerance is for sums of fractions.
const tolerance = 1e-9

// bucket is a token bucket of the retries at one target, by tier. It isn't safe for concurrent
// use.
type bucket struct {
	window time.Duration
	burst  float64
	random *rand.Rand
	// attempts counts the first attempts (Total) and the retries (Part).
	attempts [load.MaxTiers]window.Ring
	// unspent may be negative for a tier that used a part of what others had.
	unspent [load.MaxTiers]float64
	// earned is until when the time has earned retries.
	earned time.Time
}

// newBucket returns a bucket whose tiers have the given number of unspent retries each.
func newBucket(length time.Duration, burst, unspent float64, earned time.Time, random *rand.Rand) bucket {
	b := bucket{window: length, burst: burst, random: random, earned: earned}
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
	limits := b.refill(now, tier, r)
	for i := range b.unspent {
		b.unspent[i] = min(b.unspent[i], limits[i])
		if limits[i] == 0 {
			b.unspent[i] = 0 // a tier without requests must not owe others for good
		}
	}
	b.unspent[tier] += r.perFirst
}

// takeRetry takes a retry of the tier if there is one.
func (b *bucket) takeRetry(now time.Time, tier int, r rate) bool {
	limits := b.refill(now, tier, r)
	if !b.take(tier, sum(limits)) {
		return false
	}
	b.attempts[tier].Add(now, window.Counts{Part: 1})
	return true
}

// take reduces what is unspent by a retry. A tier that has less than a whole one may use parts of
// other tiers, once, until it has earned that. A limit below a whole retry never lets one add up:
// a draw decides then, which costs what there is.
func (b *bucket) take(tier int, limit float64) bool {
	left := b.unspent[tier]
	switch {
	case left <= tolerance:
		return false
	case left < 1-tolerance && limit < 1-tolerance:
		b.unspent[tier] = 0
		return b.random != nil && b.random.Float64() < left*roundingShare
	case sum(b.unspent) < 1-tolerance:
		return false
	}
	b.unspent[tier]--
	return true
}

// tierLimits are the limits on what may remain unspent, by tier.
type tierLimits [load.MaxTiers]float64

// refill adds what the time has earned, up to the limits on what may remain unspent, and returns
// these. Tiers earn by their parts of the first attempts; without any, the given tier earns all.
func (b *bucket) refill(now time.Time, tier int, r rate) tierLimits {
	counts := b.counts(now)
	portions := counts.portions(tier)
	byTime := r.perWindow * float64(max(0, now.Sub(b.earned))) / float64(b.window)
	b.earned = later(b.earned, now)
	var limits tierLimits
	for i := range b.unspent {
		limits[i] = b.burst * r.inWindow(counts[i].Total, portions[i])
		b.unspent[i] = max(b.unspent[i], min(b.unspent[i]+byTime*portions[i], limits[i]))
	}
	return limits
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
