// Package window counts events over a sliding window of time, for ratios such
// as retries to first attempts or accepted to sent requests.
package window

import "time"

// buckets is how many parts the window slides by.
const buckets = 10

// Counts holds a total and the part of it, or beside it, that is compared.
type Counts struct {
	Total int
	Part  int
}

// Ring counts over the last Length of time, with a grain of a tenth of it. It
// isn't safe for concurrent use. The zero value is invalid; see New.
type Ring struct {
	grain time.Duration
	// origin is when it was first used. Ticks count from there by the clock that keeps
	// running: a time of day that is set would end the window, or begin it again.
	origin  time.Time
	buckets [buckets]bucket
}

type bucket struct {
	tick   int64
	counts Counts
}

// New returns an empty ring. A length under ten nanoseconds is taken as ten.
func New(length time.Duration) Ring {
	return Ring{grain: max(length/buckets, 1)}
}

// Add counts c at the given time.
func (r *Ring) Add(now time.Time, c Counts) {
	if r.origin.IsZero() {
		r.origin = now
	}
	tick := r.tick(now)
	b := &r.buckets[((tick%buckets)+buckets)%buckets]
	if b.tick != tick {
		*b = bucket{tick: tick}
	}
	b.counts.Total += c.Total
	b.counts.Part += c.Part
}

// Sum returns the counts of the window that ends now.
func (r *Ring) Sum(now time.Time) Counts {
	tick := r.tick(now)
	var sum Counts
	for _, b := range r.buckets {
		if b.tick <= tick-buckets || b.tick > tick {
			continue
		}
		sum.Total += b.counts.Total
		sum.Part += b.counts.Part
	}
	return sum
}

func (r *Ring) tick(now time.Time) int64 { return int64(now.Sub(r.origin) / r.grain) }
