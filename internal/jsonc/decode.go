package jsonc

import (
	"fmt"
	"reflect"

	"github.com/tailscale/hujson"
)

// MaxProblems is the maximum number of problems that Decode reports; it bounds the memory that
// a large document of the wrong kind uses.
const MaxProblems = 1000

// Decode stores the document in dst, which must be a non-nil pointer, and returns the problems
// in the order of their positions. Keys must match the json tags of the fields exactly. Absent
// keys leave their fields unchanged, so that dst may hold defaults; lists replace existing
// ones. A null is accepted only for a pointer, which it sets to nil. If there are problems,
// dst is filled as far as possible, so that further checks can run.
func (d *Document) Decode(dst any) Problems {
	v := reflect.ValueOf(dst)
	if v.Kind() != reflect.Pointer || v.IsNil() {
		panic("jsonc: Decode needs a non-nil pointer")
	}
	dec := decoder{doc: d, fields: make(map[reflect.Type][]field)}
	dec.checkDuplicates(&d.root, nil)
	dec.decodeValue(&d.root, v.Elem(), nil)
	dec.problems.Sort()
	return dec.problems
}

// decoder walks the syntax tree along with the Go type and collects problems.
type decoder struct {
	doc      *Document
	problems Problems
	fields   map[reflect.Type][]field
}

// report adds a problem, up to MaxProblems and a last one that states that the rest is
// omitted.
func (dec *decoder) report(at *hujson.Value, path *chain, format string, args ...any) {
	msg := fmt.Sprintf(format, args...)
	switch n := len(dec.problems); {
	case n > MaxProblems:
		return
	case n == MaxProblems:
		msg = fmt.Sprintf("more than %d problems; the others are not listed", MaxProblems)
	}
	dec.problems = append(dec.problems, dec.doc.problemAt(at.StartOffset, path.String(), msg))
}

// limitReached reports whether further problems are dropped, so that the expensive search for
// similar keys can be skipped.
func (dec *decoder) limitReached() bool { return len(dec.problems) > MaxProblems }

// checkDuplicates reports duplicate keys in all objects of the tree.
func (dec *decoder) checkDuplicates(v *hujson.Value, path *chain) {
	switch node := v.Value.(type) {
	case *hujson.Array:
		for i := range node.Elements {
			dec.checkDuplicates(&node.Elements[i], path.index(i))
		}
	case *hujson.Object:
		first := make(map[string]int, len(node.Members))
		for i := range node.Members {
			m := &node.Members[i]
			key := memberName(m)
			sub := path.key(key)
			if line, seen := first[key]; seen {
				dec.report(&m.Name, sub, "duplicate key; it already stands on line %d", line)
			} else {
				first[key], _ = dec.doc.lines.position(m.Name.StartOffset)
			}
			dec.checkDuplicates(&m.Value, sub)
		}
	}
}

// decodeValue decodes a value of any kind.
func (dec *decoder) decodeValue(v *hujson.Value, dst reflect.Value, path *chain) {
	if dst.Kind() == reflect.Pointer {
		dec.decodePointer(v, dst, path)
		return
	}
	if dec.decodeCustom(v, dst, path) {
		return
	}
	switch dst.Kind() {
	case reflect.Struct:
		dec.decodeStruct(v, dst, path)
	case reflect.Map:
		dec.decodeMap(v, dst, path)
	case reflect.Slice:
		dec.decodeSlice(v, dst, path)
	case reflect.Array:
		dec.decodeArray(v, dst, path)
	case reflect.Interface:
		dec.decodeAny(v, dst, path)
	default:
		dec.decodeScalar(v, dst, path)
	}
}

func (dec *decoder) decodePointer(v *hujson.Value, dst reflect.Value, path *chain) {
	if v.Value.Kind() == 'n' {
		dst.SetZero()
		return
	}
	if dst.IsNil() {
		dst.Set(reflect.New(dst.Type().Elem()))
	}
	dec.decodeValue(v, dst.Elem(), path)
}

func (dec *decoder) decodeStruct(v *hujson.Value, dst reflect.Value, path *chain) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		dec.wrongKind(v, path, "an object {...}")
		return
	}
	fields := dec.cachedFields(dst.Type())
	seen := make(map[string]bool, len(obj.Members))
	for i := range obj.Members {
		m := &obj.Members[i]
		key := memberName(m)
		seen[key] = true
		dec.decodeMember(m, key, dst, fields, path.key(key))
	}
	for _, f := range fields {
		if f.required && !seen[f.key] {
			dec.report(v, path.key(f.key), "%s", missingMessage(f.typ))
		}
	}
}

func (dec *decoder) decodeMember(m *hujson.ObjectMember, key string, dst reflect.Value, fields []field, path *chain) {
	for _, f := range fields {
		if f.key == key {
			dec.decodeValue(&m.Value, dst.FieldByIndex(f.index), path)
			return
		}
	}
	if !dec.limitReached() {
		dec.report(&m.Name, path, "%s", unknownKeyMessage(key, fields))
	}
}

// cachedFields caches fieldsOf by type, since a document may hold many values of one type.
func (dec *decoder) cachedFields(t reflect.Type) []field {
	fields, ok := dec.fields[t]
	if !ok {
		fields = fieldsOf(t)
		dec.fields[t] = fields
	}
	return fields
}

func (dec *decoder) decodeMap(v *hujson.Value, dst reflect.Value, path *chain) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		dec.wrongKind(v, path, "an object {...}")
		return
	}
	if dst.IsNil() {
		dst.Set(reflect.MakeMapWithSize(dst.Type(), len(obj.Members)))
	}
	for i := range obj.Members {
		m := &obj.Members[i]
		sub := path.key(memberName(m))
		key := reflect.New(dst.Type().Key()).Elem()
		elem := reflect.New(dst.Type().Elem()).Elem()
		dec.decodeValue(&m.Name, key, sub)
		dec.decodeValue(&m.Value, elem, sub)
		dst.SetMapIndex(key, elem)
	}
}

func (dec *decoder) decodeSlice(v *hujson.Value, dst reflect.Value, path *chain) {
	arr, ok := v.Value.(*hujson.Array)
	if !ok {
		dec.wrongKind(v, path, "a list [...]")
		return
	}
	list := reflect.MakeSlice(dst.Type(), len(arr.Elements), len(arr.Elements))
	for i := range arr.Elements {
		dec.decodeValue(&arr.Elements[i], list.Index(i), path.index(i))
	}
	dst.Set(list)
}

func (dec *decoder) decodeArray(v *hujson.Value, dst reflect.Value, path *chain) {
	arr, ok := v.Value.(*hujson.Array)
	if !ok || len(arr.Elements) != dst.Len() {
		dec.wrongKind(v, path, fmt.Sprintf("a list [...] of %d", dst.Len()))
		return
	}
	for i := range arr.Elements {
		dec.decodeValue(&arr.Elements[i], dst.Index(i), path.index(i))
	}
}
