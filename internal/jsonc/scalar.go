package jsonc

import (
	"encoding"
	"encoding/json"
	"fmt"
	"math"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"
)

// decodeCustom decodes a value whose type implements TextUnmarshaler or json.Unmarshaler, and
// reports whether it does. UnmarshalText takes precedence, as its errors describe the allowed
// values better.
func (dec *decoder) decodeCustom(v *hujson.Value, dst reflect.Value, path *chain) bool {
	if !dst.CanAddr() {
		return false
	}
	target := dst.Addr().Interface()
	text, isText := target.(encoding.TextUnmarshaler)
	custom, isCustom := target.(json.Unmarshaler)
	lit, _ := v.Value.(hujson.Literal)
	switch {
	case (isText || isCustom) && v.Value.Kind() == 'n':
		dec.report(v, path, "null is not allowed here")
	case isText && v.Value.Kind() == '"':
		dec.reportCustom(v, path, text.UnmarshalText([]byte(unquote(lit))))
	case isCustom:
		dec.reportCustom(v, path, custom.UnmarshalJSON(standardJSON(v)))
	case isText:
		dec.reportNotString(v, dst.Type(), path)
	default:
		return false
	}
	return true
}

// reportNotString reports a value that should be a string. It first passes a bare number to
// the type's UnmarshalText, into a discarded value, since that error names the missing unit.
func (dec *decoder) reportNotString(v *hujson.Value, t reflect.Type, path *chain) {
	lit, ok := v.Value.(hujson.Literal)
	scratch := reflect.New(t).Interface().(encoding.TextUnmarshaler)
	if ok && lit.Kind() == '0' {
		if err := scratch.UnmarshalText(lit); err != nil {
			dec.reportCustom(v, path, err)
			return
		}
	}
	want := "a string"
	if words := allowedValues(t); words != "" {
		want += " (" + words + ")"
	}
	dec.wrongKind(v, path, want)
}

const exampleTime = "2026-01-31T15:04:05Z"

// reportCustom reports an error of a type's own decoding.
func (dec *decoder) reportCustom(v *hujson.Value, path *chain, err error) {
	var badTime *time.ParseError
	switch {
	case err == nil:
	case errors.As(err, &badTime):
		dec.report(v, path, "%q is not a time; write it as in %q", badTime.Value, exampleTime)
	default:
		dec.report(v, path, "%s", err.Error())
	}
}

// decodeAny decodes into an interface, as encoding/json does.
func (dec *decoder) decodeAny(v *hujson.Value, dst reflect.Value, path *chain) {
	if err := json.Unmarshal(standardJSON(v), dst.Addr().Interface()); err != nil {
		dec.report(v, path, "%s", err.Error())
	}
}

// standardJSON returns a value as JSON without comments.
func standardJSON(v *hujson.Value) []byte {
	c := v.Clone()
	c.Minimize()
	return c.Pack()
}

// decodeScalar decodes a boolean, string or number.
func (dec *decoder) decodeScalar(v *hujson.Value, dst reflect.Value, path *chain) {
	lit, _ := v.Value.(hujson.Literal)
	kind := v.Value.Kind()
	switch {
	case dst.Kind() == reflect.Bool:
		if kind != 't' && kind != 'f' {
			dec.wrongKind(v, path, "true or false")
			return
		}
		dst.SetBool(lit.Bool())
	case dst.Kind() == reflect.String:
		if kind != '"' {
			dec.wrongKind(v, path, "a string")
			return
		}
		dst.SetString(unquote(lit))
	case dst.CanInt():
		dec.decodeInt(v, dst, path)
	case dst.CanUint():
		dec.decodeUint(v, dst, path)
	case dst.CanFloat():
		dec.decodeFloat(v, dst, path)
	default:
		dec.report(v, path, "can't be stored in a %s", dst.Type())
	}
}

func (dec *decoder) decodeInt(v *hujson.Value, dst reflect.Value, path *chain) {
	bits := dst.Type().Bits()
	n, err := strconv.ParseInt(numberText(v), 10, bits)
	if err != nil {
		lowest := int64(math.MinInt64) >> (64 - bits)
		dec.wrongKind(v, path, fmt.Sprintf("a whole number from %d to %d", lowest, -(lowest+1)))
		return
	}
	dst.SetInt(n)
}

func (dec *decoder) decodeUint(v *hujson.Value, dst reflect.Value, path *chain) {
	bits := dst.Type().Bits()
	n, err := strconv.ParseUint(numberText(v), 10, bits)
	if err != nil {
		highest := uint64(math.MaxUint64) >> (64 - bits)
		dec.wrongKind(v, path, fmt.Sprintf("a whole number from 0 to %d", highest))
		return
	}
	dst.SetUint(n)
}

func (dec *decoder) decodeFloat(v *hujson.Value, dst reflect.Value, path *chain) {
	n, err := strconv.ParseFloat(numberText(v), dst.Type().Bits())
	if err != nil {
		dec.wrongKind(v, path, "a number within the range of its type")
		return
	}
	dst.SetFloat(n)
}

// numberText returns the text of a JSON number, or an empty string for other kinds.
func numberText(v *hujson.Value) string {
	if lit, ok := v.Value.(hujson.Literal); ok && lit.Kind() == '0' {
		return string(lit)
	}
	return ""
}

// wrongKind reports a value that isn't of the wanted kind.
func (dec *decoder) wrongKind(v *hujson.Value, path *chain, want string) {
	dec.report(v, path, "must be %s, not %s", want, describeValue(v))
}

// describeValue describes a value of the document for a message.
func describeValue(v *hujson.Value) string {
	lit, _ := v.Value.(hujson.Literal)
	switch v.Value.Kind() {
	case '{':
		return "an object"
	case '[':
		return "a list"
	case '"':
		return "the string " + truncate(strconv.Quote(unquote(lit)))
	default:
		return truncate(string(lit))
	}
}

// maxShownBytes is the length to which a message truncates a wrong value.
const maxShownBytes = 60

func truncate(s string) string {
	if len(s) <= maxShownBytes {
		return s
	}
	return strings.ToValidUTF8(s[:maxShownBytes], "") + "..."
}
