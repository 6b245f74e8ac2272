package engine

import "time"

// LoadReport is the response of /load.
type LoadReport struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Slots   int `json:"slots"`
	KVUsed  int `json:"kv_used"` // tokens
	// At is the time that the report describes.
	At time.Time `json:"at"`
}

// loadLog keeps recent load samples. It divides time into buckets and keeps the
// last sample of each, so that its size is bounded.
type loadLog struct {
	lag     time.Duration
	bucket  time.Duration
	samples []LoadReport
}

const (
	bucketsPerLag = 64
	minBucket     = time.Millisecond
)

func newLoadLog(lag time.Duration) *loadLog {
	return &loadLog{lag: lag, bucket: max(lag/bucketsPerLag, minBucket)}
}

func (l *loadLog) add(sample LoadReport) {
	last := len(l.samples) - 1
	if last >= 0 && l.sameBucket(l.samples[last].At, sample.At) {
		l.samples[last] = sample
		return
	}
	l.samples = append(l.samples, sample)
	l.trim(sample.At)
}

func (l *loadLog) sameBucket(a, b time.Time) bool {
	return a.Truncate(l.bucket).Equal(b.Truncate(l.bucket))
}

// trim drops samples that are superseded by a newer one older than the lag.
func (l *loadLog) trim(now time.Time) {
	n := l.visibleCount(now)
	if n > bucketsPerLag {
		l.samples = append([]LoadReport(nil), l.samples[n-1:]...)
	}
}

// visibleCount returns the number of samples that are at least as old as the
// lag.
func (l *loadLog) visibleCount(now time.Time) int {
	n := len(l.samples)
	for n > 0 && l.samples[n-1].At.After(now.Add(-l.lag)) {
		n--
	}
	return n
}

// report returns the load as it was one lag ago.
func (l *loadLog) report(now time.Time, slots int) LoadReport {
	r := LoadReport{Slots: slots}
	if n := l.visibleCount(now); n > 0 {
		r = l.samples[n-1]
	}
	r.At = now.Add(-l.lag)
	return r
}

// Load returns the lagging load report.
func (e *Engine) Load() LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.load.report(time.Now(), e.cfg.Slots)
}

// sampleLoad records the current load.
func (e *Engine) sampleLoad(now time.Time) {
	e.load.add(LoadReport{
		Running: len(e.running),
		Waiting: e.waiting.Len(),
		Slots:   e.cfg.Slots,
		KVUsed:  e.kvUsed,
		At:      now,
	})
}
