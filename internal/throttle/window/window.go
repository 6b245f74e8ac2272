// Package window counts events over a sliding window of time, for ratios such
// as retries to first attempts or accepted to sent requests.
package window

import "time"

const (
	// parts is how many parts of its length the window slides by.
	parts = 10
	// buckets hold one more, as neither the oldest nor the newest need be whole.
	buckets = parts + 1
)

// Counts holds a total and the part of it, or beside it, that is compared.
type Counts struct {
	Total int
	Part  int
}

// Ring counts over the last Length of time. An event counts for that long at the least, so
// that what is bounded in a window can't be used again before it is over, and for up to a
// tenth more where others follow it. It isn't safe for concurrent use. The zero value is
// invalid; see New.
type Ring struct {
	length time.Duration
	// origin is when it was first used. Times count from there by the clock that keeps
	// running: a time of day that is set would end the window, or begin it again.
	origin  time.Time
	buckets [buckets]bucket
}

type bucket struct {
	tick   int64
	last   time.Duration // when it was last added to
	counts Counts
}

// New returns an empty ring. A length under ten nanoseconds is taken as ten.
func New(length time.Duration) Ring {
	return Ring{length: max(length, parts)}
}

// Add counts c at the given time.
func (r *Ring) Add(now time.Time, c Counts) {
	if r.origin.IsZero() {
		r.origin = now
	}
	at := now.Sub(r.origin)
	tick := int64(at / (r.length / parts))
	b := &r.buckets[((tick%buckets)+buckets)%buckets]
	if b.tick != tick {
		*b = bucket{tick: tick}
	}
	b.last = max(b.last, at)
	b.counts.Total += c.Total
	b.counts.Part += c.Part
}

// Sum returns the counts of the window that ends now.
func (r *Ring) Sum(now time.Time) Counts {
	at := now.Sub(r.origin)
	var sum Counts
	for _, b := range r.buckets {
		if at-b.last >= r.length {
			continue
		}
		sum.Total += b.counts.Total
		sum.Part += b.counts.Part
	}
	return sum
}
