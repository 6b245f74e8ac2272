package settings

import (
	"cmp"
	"encoding"
	"fmt"
	"regexp"
)

// rule is a condition that the decoded value at a path has to meet.
type rule struct {
	path string
	ok   bool
	// allowed says which values are; message also says what was found.
	allowed string
	message string
}

// between requires a value within bounds, both allowed.
func between[T cmp.Ordered](path string, value, low, high T) rule {
	allowed := fmt.Sprintf("from %s to %s", formatValue(low), formatValue(high))
	return rule{
		path:    path,
		ok:      low <= value && value <= high,
		allowed: allowed,
		message: fmt.Sprintf("must be %s, not %s", allowed, formatValue(value)),
	}
}

// condition requires something that isn't a matter of one value alone.
func condition(path string, ok bool, message string) rule {
	return rule{path: path, ok: ok, message: message}
}

// trailingZeroUnits matches the zeros that durations of whole minutes and hours end in.
var trailingZeroUnits = regexp.MustCompile(`([hm])(0m)?0s$`)

// formatValue writes a value as it would stand in a settings file.
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
