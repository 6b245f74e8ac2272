package slo

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	numShards = 16
	// maxSeries bounds the number of keys per shard. A series takes 23 KB, so
	// the recorder never exceeds 7 MB.
	maxSeries = 16
)

// Recorder counts results by key in time buckets. It is safe for concurrent use.
type Recorder struct {
	shards [numShards]shard
}

type shard struct {
	mu     sync.Mutex
	series map[Key]*series
}

// series is a ring of buckets, indexed by the bucket's number modulo the ring size.
type series struct {
	ring [numBuckets]bucket
	last int64 // number of the newest bucket
}

type bucket struct {
	number int64
	counts [numResults]uint32
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	r := &Recorder{}
	for i := range r.shards {
		r.shards[i].series = make(map[Key]*series)
	}
	return r
}

// Record counts a result at the given time. It returns the key that the result was
// counted under, which is Other if there are too many keys. A result older than
// the longest window, or from before 1970, is dropped.
func (r *Recorder) Record(at time.Time, key Key, res Result) Key {
	n := bucketNumber(at)
	sh := r.shardOf(key)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	s, key := sh.seriesFor(key, n)
	s.add(n, res)
	return key
}

func (r *Recorder) shardOf(key Key) *shard {
	h := xxhash.Sum64String(key.Class)*31 + xxhash.Sum64String(key.Tier)
	return &r.shards[h%numShards]
}

// seriesFor returns the series of a key. If the shard is full, it evicts series
// without results in any window, and uses Other if there are none.
func (sh *shard) seriesFor(key Key, n int64) (*series, Key) {
	if s := sh.series[key]; s != nil {
		return s, key
	}
	if len(sh.series) >= maxSeries {
		sh.evictIdle(n)
	}
	if len(sh.series) >= maxSeries {
		key = Other
	}
	s := sh.series[key]
	if s == nil {
		s = &series{}
		sh.series[key] = s
	}
	return s, key
}

func (sh *shard) evictIdle(n int64) {
	for key, s := range sh.series {
		if s.last <= n-int64(numBuckets) {
			delete(sh.series, key)
		}
	}
}

func (s *series) add(n int64, res Result) {
	if n < 0 {
		return
	}
	b := &s.ring[n%int64(numBuckets)]
	if n < b.number {
		return
	}
	if n > b.number {
		*b = bucket{number: n}
	}
	b.counts[res]++
	s.last = max(s.last, n)
}

// sumWindows sums the buckets of each window that ends with bucket now.
func (s *series) sumWindows(now int64) [numWindows]Counts {
	var sums [numWindows]Counts
	for i := range s.ring {
		b := &s.ring[i]
		if b.number > now {
			continue
		}
		for w := range sums {
			if b.number > now-Window(w).buckets() {
				sums[w] = sums[w].Plus(b.total())
			}
		}
	}
	return sums
}

func (b *bucket) total() Counts {
	return Counts{
		Good:     uint64(b.counts[Good]),
		Late:     uint64(b.counts[Late]),
		Failed:   uint64(b.counts[Failed]),
		Refused:  uint64(b.counts[Refused]),
		Canceled: uint64(b.counts[Canceled]),
	}
}

// Rows returns a row for each key with results in the windows that end now, sorted
// by class and tier.
func (r *Recorder) Rows(now time.Time, o Objectives) []Row {
	sums := r.sumByKey(bucketNumber(now))
	rows := make([]Row, 0, len(sums))
	for key, counts := range sums {
		if counts[Window6h] != (Counts{}) {
			rows = append(rows, newRow(key, o.For(key.Class), counts))
		}
	}
	sortRows(rows)
	return rows
}

func (r *Recorder) sumByKey(now int64) map[Key][numWindows]Counts {
	sums := make(map[Key][numWindows]Counts)
	for i := range r.shards {
		r.shards[i].addTo(sums, now)
	}
	return sums
}

func (sh *shard) addTo(sums map[Key][numWindows]Counts, now int64) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for key, s := range sh.series {
		sums[key] = addCounts(sums[key], s.sumWindows(now))
	}
}

func addCounts(a, b [numWindows]Counts) [numWindows]Counts {
	for w := range a {
		a[w] = a[w].Plus(b[w])
	}
	return a
}

func sortRows(rows []Row) {
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(a.Tier, b.Tier))
	})
}
