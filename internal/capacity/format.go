package capacity

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// unknownText is the text of an unknown quantity.
const unknownText = "not given"

// significantDigits is the number of digits shown.
const significantDigits = 3

// FormatNumber formats a number with three significant digits and thousands
// separators.
func FormatNumber(v float64) string {
	if math.IsNaN(v) {
		return unknownText
	}
	if math.Abs(v) >= 1000 {
		return groupThousands(roundSignificant(v))
	}
	return strconv.FormatFloat(v, 'g', significantDigits, 64)
}

// roundSignificant rounds a large number to its significant digits.
func roundSignificant(v float64) float64 {
	grain := math.Pow(10, math.Floor(math.Log10(math.Abs(v)))-significantDigits+1)
	return math.Round(v/grain) * grain
}

func groupThousands(v float64) string {
	digits := strconv.FormatFloat(math.Abs(v), 'f', 0, 64)
	var b strings.Builder
	if v < 0 {
		b.WriteByte('-')
	}
	for i, d := range digits {
		if i > 0 && (len(digits)-i)%3 == 0 {
			b.WriteByte(',')
		}
		b.WriteRune(d)
	}
	return b.String()
}

// unitScale is a unit and the value from which it is used.
type unitScale struct {
	size float64
	unit string
}

var (
	byteScales   = []unitScale{{1e9, "GB"}, {1e6, "MB"}, {1e3, "KB"}, {1, "B"}}
	secondScales = []unitScale{{1, "s"}, {1e-3, "ms"}, {1e-6, "µs"}, {1e-9, "ns"}}
)

// FormatBytes formats a number of bytes with a decimal unit.
func FormatBytes(v float64) string { return formatScaled(v, byteScales) }

// FormatSeconds formats a duration with a unit.
func FormatSeconds(v float64) string { return formatScaled(v, secondScales) }

func formatScaled(v float64, scales []unitScale) string {
	if math.IsNaN(v) {
		return unknownText
	}
	last := scales[len(scales)-1]
	for _, s := range scales {
		if math.Abs(v) >= s.size || s == last {
			last = s
			break
		}
	}
	return FormatNumber(v/last.size) + " " + last.unit
}

// minPercent is the smallest percentage that is shown as a number.
const minPercent = 0.01

// FormatPercent formats a fraction as a percentage.
func FormatPercent(v float64) string {
	switch p := 100 * v; {
	case math.IsNaN(p):
		return unknownText
	case p != 0 && math.Abs(p) < minPercent:
		return fmt.Sprintf("< %v%%", minPercent)
	case p > 100-1 && p < 100:
		return strconv.FormatFloat(p, 'f', 2, 64) + "%"
	default:
		return FormatNumber(p) + "%"
	}
}

// FormatCount formats an integer with all digits and thousands separators.
func FormatCount(n int) string { return groupThousands(float64(n)) }

// FormatSlope formats a value in the unit of the slope.
func FormatSlope(s Slope, v float64) string {
	if s.Unit == UnitSeconds {
		return FormatSeconds(v)
	}
	return FormatNumber(v) + " B"
}

// minTimes is the smallest multiple that is shown as a number.
const minTimes = 0.001

// formatTimes formats a share as a multiple of the allowance.
func formatTimes(s Share) string {
	switch v := s.Ratio.Value; {
	case !s.Ratio.Known():
		return unknownText
	case v > 0 && v < minTimes:
		return fmt.Sprintf("< %v×", minTimes)
	default:
		return FormatNumber(v) + "×"
	}
}
