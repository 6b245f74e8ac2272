package settings

import (
	"cmp"
	"encoding"
	"fmt"
	"regexp"
)

// checkResult is the result of a check of the decoded value at a path.
type checkResult struct {
	path string
	ok   bool
	// allowed describes the valid values; message adds the value found.
	allowed string
	message string
}

// between requires a value from low to high, inclusive.
func between[T cmp.Ordered](path string, value, low, high T) checkResult {
	allowed := fmt.Sprintf("from %s to %s", formatValue(low), formatValue(high))
	return checkResult{
		path:    path,
		ok:      low <= value && value <= high,
		allowed: allowed,
		message: fmt.Sprintf("must be %s, not %s", allowed, formatValue(value)),
	}
}

// condition requires ok, for checks that involve more than a range.
func condition(path string, ok bool, message string) checkResult {
	return checkResult{path: path, ok: ok, message: message}
}

// trailingZeroUnits matches the zero units at the end of durations of whole minutes and hours.
var trailingZeroUnits = regexp.MustCompile(`([hm])(0m)?0s$`)

// formatValue formats a value as in a settings file.
func formatValue(v any) string {
	m, ok := v.(encoding.TextMarshaler)
	if !ok {
		return fmt.Sprint(v)
	}
	text, err := m.MarshalText()
	if err != nil {
		return fmt.Sprint(v)
	}
	return trailingZeroUnits.ReplaceAllString(string(text), "$1")
}
