// Package jsonc decodes JSON with comments and trailing commas into Go structs. It is strict,
// and it reports all problems of a document at once, each with its file, line, column and
// path, so that a user can fix them in one pass.
package jsonc

import (
	"bytes"
	"fmt"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"
)

// Limits on documents. They bound the memory and the stack that a malicious document can use.
const (
	// MaxSize is the maximum size of a document, in bytes.
	MaxSize = 8 << 20
	// MaxDepth is the maximum nesting of objects and lists.
	MaxDepth = 64
	// MaxKeyLength is the maximum length of a key as written, in bytes.
	MaxKeyLength = 256
)

// Document is a parsed document. It is immutable and safe for concurrent use.
type Document struct {
	file  string
	lines lineIndex
	root  hujson.Value
}

// Parse parses the syntax of a document. The file name is used in messages only; the document
// keeps no reference to src. An error is of type Problems and contains the first syntax error.
func Parse(file string, src []byte) (*Document, error) {
	if len(src) > MaxSize {
		msg := fmt.Sprintf("the document is too large; at most %d bytes are allowed", MaxSize)
		return nil, Problems{{File: file, Line: 1, Column: 1, Message: msg}}
	}
	src = bytes.Clone(src)
	d := &Document{file: file, lines: newLineIndex(src)}
	if p, ok := d.checkSource(src); !ok {
		return nil, Problems{p}
	}
	root, err := hujson.Parse(src)
	if err != nil {
		return nil, Problems{d.syntaxProblem(err)}
	}
	d.root = root
	if name := overlongKey(&d.root); name != nil {
		msg := fmt.Sprintf("key too long; at most %d bytes are allowed", MaxKeyLength)
		return nil, Problems{d.problemAt(name.StartOffset, "", msg)}
	}
	return d, nil
}

// overlongKey returns the first key that is longer than MaxKeyLength, nil if none is.
func overlongKey(v *hujson.Value) *hujson.Value {
	switch node := v.Value.(type) {
	case *hujson.Array:
		for i := range node.Elements {
			if name := overlongKey(&node.Elements[i]); name != nil {
				return name
			}
		}
	case *hujson.Object:
		for i := range node.Members {
			m := &node.Members[i]
			if m.Name.EndOffset-m.Name.StartOffset > MaxKeyLength {
				return &m.Name
			}
			if name := overlongKey(&m.Value); name != nil {
				return name
			}
		}
	}
	return nil
}

// checkSource checks what hujson doesn't: invalid UTF-8 in strings, and nesting that would
// overflow the stack of its recursive parser.
func (d *Document) checkSource(src []byte) (Problem, bool) {
	if at := invalidUTF8(src); at >= 0 {
		return d.problemAt(at, "", "invalid UTF-8"), false
	}
	if at := firstTooDeep(src, MaxDepth); at >= 0 {
		msg := fmt.Sprintf("nested too deep; at most %d levels are allowed", MaxDepth)
		return d.problemAt(at, "", msg), false
	}
	return Problem{}, true
}

// syntaxProblem parses the position from hujson's error message, which is the only place that
// has it.
func (d *Document) syntaxProblem(err error) Problem {
	p := Problem{File: d.file, Line: 1, Column: 1, Message: err.Error()}
	var line, column int
	if n, _ := fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &line, &column); n == 2 {
		p.Line = line
		p.Column = column
	}
	if cause := errors.UnwrapOnce(err); cause != nil {
		p.Message = "syntax error: " + cause.Error()
	}
	return p
}

// problemAt returns a problem at a byte offset.
func (d *Document) problemAt(offset int, path, msg string) Problem {
	line, column := d.lines.position(offset)
	return Problem{File: d.file, Line: line, Column: column, Path: path, Message: msg}
}

// invalidUTF8 returns the offset of the first invalid byte, or -1.
func invalidUTF8(src []byte) int {
	if utf8.Valid(src) {
		return -1
	}
	for i := 0; ; {
		r, n := utf8.DecodeRune(src[i:])
		if r == utf8.RuneError && n <= 1 {
			return i
		}
		i += n
	}
}
