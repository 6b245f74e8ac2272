// Package age holds how old knowledge is, in a process and in messages between processes.
package age

import "time"

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

// Since returns the age at now of what was confirmed at a time of the same clock; unknown if that
// time is zero.
func Since(confirmedAt, now time.Time) Age {
	if confirmedAt.IsZero() {
		return Age{}
	}
	return Of(now.Sub(confirmedAt))
}

// Get returns the age, and false if it is unknown.
func (a Age) Get() (time.Duration, bool) { return a.value, a.known }

// Exceeds reports whether the age is above the limit, as an unknown one always is.
func (a Age) Exceeds(limit time.Duration) bool { return !a.known || a.value > limit }

// Less reports whether a is known and below b, or b is unknown.
func (a Age) Less(b Age) bool { return a.known && (!b.known || a.value < b.value) }

// String implements fmt.Stringer.
func (a Age) String() string {
	if !a.known {
		return "unknown"
	}
	return a.value.String()
}
