// Package drain measures the rate at which an endpoint finishes requests. It
// divides the finished requests by the slot time used, so that idle slots don't
// affect the rate and a long-running request lowers it before it finishes.
package drain

import (
	"math"
	"time"
)

// decayTime is the time constant of the exponential decay: after that much busy
// time an observation has 1/e of its weight.
const decayTime = 10 * time.Second

// Bounds of the Retry-After times reported to callers.
const (
	MinRetryAfter = 100 * time.Millisecond
	MaxRetryAfter = 30 * time.Second
)

// defaultRetryAfter is reported until a request has finished.
const defaultRetryAfter = time.Second

// Meter measures the drain rate of one endpoint. The zero value is ready to
// use and has no measurement.
type Meter struct {
	last     time.Time
	finishes float64
	slotTime float64 // seconds
}

// Advance accounts for the time since the previous call; busy is the number of
// slots in use during that time. Call it before each change of that number. A
// call with an earlier time than the previous one is ignored.
func (m *Meter) Advance(now time.Time, busy int) {
	elapsed := now.Sub(m.last)
	if elapsed <= 0 {
		return
	}
	first := m.last.IsZero()
	m.last = now
	if first || busy == 0 {
		return
	}
	decay := math.Exp(-elapsed.Seconds() / decayTime.Seconds())
	m.finishes *= decay
	// The slot time used during the interval decays within the interval, too.
	m.slotTime = m.slotTime*decay + float64(busy)*decayTime.Seconds()*(1-decay)
}

// Finished counts a request that released its slot.
func (m *Meter) Finished() { m.finishes++ }

// PerSecond returns the rate at which the given number of slots finishes
// requests when all are in use, or 0 without a measurement.
func (m *Meter) PerSecond(slots int) float64 {
	if m.slotTime <= 0 {
		return 0
	}
	return m.finishes / m.slotTime * float64(slots)
}

// Wait returns the time in which n requests finish at the measured rate, or 0
// without a measurement.
func (m *Meter) Wait(slots, n int) time.Duration {
	rate := m.PerSecond(slots)
	if rate <= 0 {
		return 0
	}
	seconds := float64(n) / rate
	if seconds >= math.MaxInt64/float64(time.Second) {
		return math.MaxInt64
	}
	return time.Duration(seconds * float64(time.Second))
}

// RetryAfter returns Wait clamped to MinRetryAfter and MaxRetryAfter, or
// defaultRetryAfter without a measurement.
func (m *Meter) RetryAfter(slots, n int) time.Duration {
	if m.PerSecond(slots) <= 0 {
		return defaultRetryAfter
	}
	return Clamp(m.Wait(slots, n))
}

// Clamp limits a wait to the range from MinRetryAfter to MaxRetryAfter.
func Clamp(d time.Duration) time.Duration {
	return min(max(d, MinRetryAfter), MaxRetryAfter)
}
