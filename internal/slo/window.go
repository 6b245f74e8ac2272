package slo

import "time"

// Window is a time span, ending now, over which a burn rate is computed.
type Window int

// The windows, shortest first.
const (
	Window5m Window = iota
	Window30m
	Window1h
	Window6h
	numWindows
)

// Bucket is the time resolution of the recorder. A window of n buckets consists of
// the current, incomplete bucket and the n-1 before it.
const Bucket = 30 * time.Second

// numBuckets is the number of buckets in the longest window.
const numBuckets = int(6 * time.Hour / Bucket)

var windowSpans = [numWindows]time.Duration{5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour}

var windowNames = [numWindows]string{"5m", "30m", "1h", "6h"}

// Span returns the window's length.
func (w Window) Span() time.Duration { return windowSpans[w] }

// String returns the window's label in metrics and reports.
func (w Window) String() string { return windowNames[w] }

// Windows lists all windows, shortest first.
func Windows() []Window { return []Window{Window5m, Window30m, Window1h, Window6h} }

func (w Window) buckets() int64 { return int64(w.Span() / Bucket) }

// bucketNumber returns the number of the bucket that contains t.
func bucketNumber(t time.Time) int64 { return t.UnixNano() / int64(Bucket) }
