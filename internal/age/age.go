// Package age holds how old knowledge is, in a process and in messages between processes.
package age

import (
	"math"
	"time"
)

// Age is how long ago something was last confirmed. The zero value is unknown, which exceeds every
// limit.
type Age struct {
	value time.Duration
	known bool
}

// Of returns a known age. A negative one is unknown: nothing is confirmed as of a later time.
func Of(d time.Duration) Age {
	if d < 0 {
		return Age{}
	}
	return Age{value: d, known: true}
}

// maxMillis is the largest number of milliseconds that a time.Duration can hold.
const maxMillis = math.MaxInt64 / int64(time.Millisecond)

// FromMillis decodes an age from a message of another process, in milliseconds. It is unknown if no
// age can have the value: it is bad input then, and must not make anything look new.
func FromMillis(millis int64) Age {
	if millis < 0 || millis > maxMillis {
		return Age{}
	}
	return Of(time.Duration(millis) * time.Millisecond)
}

// FromOptionalMillis is FromMillis for a field that is absent if the age is unknown.
func FromOptionalMillis(millis *int64) Age {
	if millis == nil {
		return Age{}
	}
	return FromMillis(*millis)
}

// OptionalMillis encodes an age for a message: rounded up, so that it never looks younger, and nil
// if it is unknown.
func (a Age) OptionalMillis() *int64 {
	if !a.known {
		return nil
	}
	millis := a.value.Milliseconds()
	if time.Duration(millis)*time.Millisecond < a.value {
		millis++
	}
	return &millis
}

// MillisSince encodes for a message how long before now something was, at least 0: another goroutine
// may have recorded it after now was read.
func MillisSince(at, now time.Time) int64 { return max(0, now.Sub(at).Milliseconds()) }

// Before returns the time that was the age before t, and false if the age is unknown.
func (a Age) Before(t time.Time) (time.Time, bool) { return t.Add(-a.value), a.known }

// Since returns the age at now of what was confirmed at a time of the same clock; unknown if that
// time is zero.
func Since(confirmedAt, now time.Time) Age {
	if confirmedAt.IsZero() {
		return Age{}
	}
	return Of(now.Sub(confirmedAt))
}

// Known reports whether the age is known.
func (a Age) Known() bool { return a.known }

// Get returns the age, and false if it is unknown.
func (a Age) Get() (time.Duration, bool) { return a.value, a.known }

// Exceeds reports whether the age is above the limit, as an unknown one always is.
func (a Age) Exceeds(limit time.Duration) bool { return !a.known || a.value > limit }

// String implements fmt.Stringer.
func (a Age) String() string {
	if !a.known {
		return "unknown"
	}
	return a.value.String()
}
