package measure

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Histograms cover 1 µs to 10 minutes with three significant digits.
const (
	histogramMin    = int64(time.Microsecond)
	histogramMax    = int64(10 * time.Minute)
	histogramDigits = 3
)

// Latency summarizes a latency distribution in milliseconds.
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

type latencyHistogram struct{ h *hdrhistogram.Histogram }

func newLatencyHistogram() latencyHistogram {
	return latencyHistogram{hdrhistogram.New(histogramMin, histogramMax, histogramDigits)}
}

func (l latencyHistogram) record(d time.Duration) {
	v := min(max(int64(d), histogramMin), histogramMax)
	_ = l.h.RecordValue(v) // fails only for values outside of the bounds
}

func (l latencyHistogram) summary() Latency {
	if l.h.TotalCount() == 0 {
		return Latency{}
	}
	return Latency{
		Count: l.h.TotalCount(),
		P50:   millis(l.h.ValueAtPercentile(50)),
		P90:   millis(l.h.ValueAtPercentile(90)),
		P99:   millis(l.h.ValueAtPercentile(99)),
		Max:   millis(l.h.Max()),
	}
}

func millis(ns int64) float64 { return float64(ns) / float64(time.Millisecond) }
