// Package units defines the quantities in settings and bundles: durations such as "250ms" and
// sizes such as "64KiB".
package units

import (
	"time"

	"github.com/alecthomas/units"
	"github.com/cockroachdb/errors"
)

// Duration is a length of time, written as a number with a unit: "77ms", "2s".
type Duration time.Duration

// Std returns the duration as the standard library's type.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalText formats the duration with its unit.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.Std().String()), nil }

// UnmarshalText parses a number with a unit; a number without one is an error.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Newf("%q is not a duration; write a number with a unit such as \"250ms\" or \"2s\"", text)
	}
	*d = Duration(v)
	return nil
}

// Bytes is a size in bytes, written with a binary unit: "64KiB", "4MiB".
type Bytes int64

// MarshalText formats the size with its unit.
func (b Bytes) MarshalText() ([]byte, error) { return []byte(units.Base2Bytes(b).String()), nil }

// UnmarshalText parses a number with a binary unit.
func (b *Bytes) UnmarshalText(text []byte) error {
	v, err := units.ParseBase2Bytes(string(text))
	if err != nil {
		return errors.Newf("%q is not a size; write a number with a unit such as \"64KiB\" or \"4MiB\"", text)
	}
	*b = Bytes(v)
	return nil
}
