package jsonc

import (
	"bytes"
	"regexp"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// plainKey matches keys that need no quoting in a path; others are written as ["some key"].
var plainKey = regexp.MustCompile(`^[A-Za-z_][A-Za-z0-9_-]*`)

func isPlain(key string) bool { return key != "" && plainKey.FindString(key) == key }

// KeyPath returns the path of a member of the object at path.
func KeyPath(path, key string) string {
	switch {
	case !isPlain(key):
		return path + "[" + strconv.Quote(key) + "]"
	case path == "":
		return key
	default:
		return path + "." + key
	}
}

// IndexPath returns the path of an element of the list at path.
func IndexPath(path string, i int) string { return path + "[" + strconv.Itoa(i) + "]" }

// chain represents a path as a linked list of steps, from the last one back to the first. It
// is formatted only for a problem, since formatting the path of each value of a large document
// would take time and memory quadratic in its size.
type chain struct {
	parent *chain
	last   step
}

func (c *chain) key(key string) *chain { return &chain{parent: c, last: step{key: key}} }

func (c *chain) index(i int) *chain { return &chain{parent: c, last: step{index: i, isIndex: true}} }

// String formats the path; nil is the document as a whole.
func (c *chain) String() string {
	switch {
	case c == nil:
		return ""
	case c.last.isIndex:
		return IndexPath(c.parent.String(), c.last.index)
	default:
		return KeyPath(c.parent.String(), c.last.key)
	}
}

// Problem returns a problem found by a later check. Its position is that of the value at path
// or, if the document has no such value, of the innermost enclosing value that exists.
func (d *Document) Problem(path, msg string) Problem {
	v := &d.root
	for rest := path; rest != ""; {
		step, tail, ok := nextStep(rest)
		if !ok {
			break
		}
		child := step.child(v)
		if child == nil {
			break
		}
		v = child
		rest = tail
	}
	return d.problemAt(v.StartOffset, path, msg)
}

// step is one element of a path: a key, or an index if isIndex is set.
type step struct {
	key     string
	index   int
	isIndex bool
}

// nextStep splits off the first step of a path.
func nextStep(path string) (s step, rest string, ok bool) {
	if inner, bracket := strings.CutPrefix(path, "["); bracket {
		return bracketStep(inner)
	}
	path = strings.TrimPrefix(path, ".")
	key := plainKey.FindString(path)
	return step{key: key}, path[len(key):], key != ""
}

// bracketStep parses an index or a quoted key, up to its closing bracket.
func bracketStep(path string) (s step, rest string, ok bool) {
	if quoted, err := strconv.QuotedPrefix(path); err == nil {
		key, err := strconv.Unquote(quoted)
		rest, closed := strings.CutPrefix(path[len(quoted):], "]")
		return step{key: key}, rest, closed && err == nil
	}
	digits, rest, closed := strings.Cut(path, "]")
	index, err := strconv.Atoi(digits)
	return step{index: index, isIndex: true}, rest, closed && err == nil
}

// child returns the value to which the step leads, nil if there is none.
func (s step) child(v *hujson.Value) *hujson.Value {
	switch node := v.Value.(type) {
	case *hujson.Array:
		if s.isIndex && s.index >= 0 && s.index < len(node.Elements) {
			return &node.Elements[s.index]
		}
	case *hujson.Object:
		for i := range node.Members {
			if !s.isIndex && memberName(&node.Members[i]) == s.key {
				return &node.Members[i].Value
			}
		}
	}
	return nil
}

func memberName(m *hujson.ObjectMember) string { return unquote(m.Name.Value.(hujson.Literal)) }

// unquote returns the value of a JSON string. Most strings have no escapes, for which it
// avoids hujson's call of encoding/json.
func unquote(lit hujson.Literal) string {
	if bytes.IndexByte(lit, '\\') < 0 {
		return string(lit[1 : len(lit)-1])
	}
	return lit.String()
}
