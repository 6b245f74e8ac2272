// Package window counts events over a sliding time window, for ratios such as
// retries to first attempts or accepted to sent requests.
package window

import "time"

const (
	// slicesPerWindow is the number of time slices in a window.
	slicesPerWindow = 10
	// bucketCount is one more, since the oldest and the newest slice may be partial.
	bucketCount = slicesPerWindow + 1
)

// Counts holds a total and a count to compare with it. Part may be, but need not
// be, included in Total.
type Counts struct {
	Total int
	Part  int
}

// Ring counts events over a sliding window. An event counts for at least the
// window's length, so that a budget per window can't be spent again within one,
// and for up to a tenth longer if other events follow it. It isn't safe for
// concurrent use. The zero value is invalid; see New.
type Ring struct {
	length time.Duration
	// origin is the time of the first use. Times are measured from it with the
	// monotonic clock, since a change of the wall clock would end the window or
	// restart it.
	origin  time.Time
	buckets [bucketCount]bucket
}

type bucket struct {
	slice  int64
	last   time.Duration // when it was last added to
	counts Counts
}

// New returns an empty ring. A length below ten nanoseconds is raised to ten.
func New(length time.Duration) Ring {
	return Ring{length: max(length, slicesPerWindow)}
}

// Add adds c at the given time.
func (r *Ring) Add(now time.Time, c Counts) {
	if r.origin.IsZero() {
		r.origin = now
	}
	at := now.Sub(r.origin)
	slice := int64(at / (r.length / slicesPerWindow))
	b := &r.buckets[((slice%bucketCount)+bucketCount)%bucketCount]
	if b.slice != slice {
		*b = bucket{slice: slice}
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
