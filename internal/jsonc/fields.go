package jsonc

import (
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/agnivade/levenshtein"
)

// Struct tags. The key of a field comes from its json tag, as in encoding/json.
const (
	tagName     = "jsonc"
	tagRequired = "required" // `jsonc:"required"`: the key must be present
)

// field is a struct field that a document can set.
type field struct {
	key      string
	index    []int
	typ      reflect.Type
	required bool
}

// fieldsOf returns the fields of a struct type, including those of embedded structs.
func fieldsOf(t reflect.Type) []field {
	var fields []field
	for i := range t.NumField() {
		sf := t.Field(i)
		key, _, _ := strings.Cut(sf.Tag.Get("json"), ",")
		switch {
		case key == "-":
		case sf.Anonymous && key == "" && sf.Type.Kind() == reflect.Struct:
			fields = append(fields, embeddedFields(sf)...)
		case sf.IsExported():
			if key == "" {
				key = sf.Name
			}
			required := sf.Tag.Get(tagName) == tagRequired
			fields = append(fields, field{key: key, index: sf.Index, typ: sf.Type, required: required})
		}
	}
	return fields
}

func embeddedFields(sf reflect.StructField) []field {
	fields := fieldsOf(sf.Type)
	for i := range fields {
		fields[i].index = append(slices.Clone(sf.Index), fields[i].index...)
	}
	return fields
}

// Describer is implemented by field types that can describe their valid values in a phrase
// that completes "must be ...".
type Describer interface{ Allowed() string }

// missingMessage returns the message for an absent required field.
func missingMessage(t reflect.Type) string {
	if want := allowedValues(t); want != "" {
		return "missing; it must be " + want
	}
	return "missing; this key is required"
}

// allowedValues describes the values that a type accepts; it is empty for types that decode
// themselves and aren't a Describer.
func allowedValues(t reflect.Type) string {
	if d, ok := reflect.New(t).Interface().(Describer); ok {
		return d.Allowed()
	}
	switch t.Kind() {
	case reflect.Pointer:
		return allowedValues(t.Elem())
	case reflect.Slice, reflect.Array:
		return allowedList(t.Elem())
	case reflect.Bool:
		return "true or false"
	case reflect.String:
		return "a string"
	case reflect.Struct:
		return allowedStruct(t)
	default:
		return ""
	}
}

func allowedList(elem reflect.Type) string {
	if want := allowedValues(elem); want != "" {
		return "a list [...]; each element must be " + want
	}
	return "a list [...]"
}

// allowedStruct lists the keys of an object; a type that decodes itself, such as a time, has
// none.
func allowedStruct(t reflect.Type) string {
	fields := fieldsOf(t)
	if len(fields) == 0 {
		return ""
	}
	return "an object {...} with the keys " + strings.Join(fieldKeys(fields), ", ")
}

func fieldKeys(fields []field) []string {
	keys := make([]string, len(fields))
	for i, f := range fields {
		keys[i] = f.key
	}
	return keys
}

// unknownKeyMessage lists the allowed keys and suggests the one that may have been meant.
func unknownKeyMessage(key string, fields []field) string {
	keys := fieldKeys(fields)
	msg := "unknown key"
	if suggestion, ok := closestKey(key, keys); ok {
		msg += fmt.Sprintf("; did you mean %q?", suggestion)
	}
	if len(keys) == 0 {
		return msg + "; no keys are allowed here"
	}
	return msg + "; allowed: " + strings.Join(keys, ", ")
}

// charactersPerTypo is the number of characters in a key for which one more edit is tolerated;
// one edit is always tolerated, so that "wiat" matches "wait".
const charactersPerTypo = 4

// closestKey returns the key that was most likely meant.
func closestKey(key string, keys []string) (string, bool) {
	best := ""
	bestDistance := 2 + len(key)/charactersPerTypo
	for _, w := range keys {
		d := levenshtein.ComputeDistance(strings.ToLower(key), strings.ToLower(w))
		if d < bestDistance {
			best = w
			bestDistance = d
		}
	}
	return best, best != ""
}
