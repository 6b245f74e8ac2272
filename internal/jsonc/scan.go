package jsonc

import (
	"bytes"
	"sort"
)

// lineIndex holds the offset of the start of each line.
type lineIndex []int

func newLineIndex(src []byte) lineIndex {
	idx := lineIndex{0}
	for i, b := range src {
		if b == '\n' {
			idx = append(idx, i+1)
		}
	}
	return idx
}

// position returns the line and the column, in bytes, of an offset; both start at 1.
func (idx lineIndex) position(offset int) (line, column int) {
	line = sort.SearchInts(idx, offset+1)
	return line, offset - idx[line-1] + 1
}

// firstTooDeep returns the offset of the first bracket nested deeper than limit, or -1. It
// only skips strings and comments and doesn't validate the rest: hujson stops at the first
// error, so it never nests deeper than counted here.
func firstTooDeep(src []byte, limit int) int {
	depth := 0
	for i := 0; i < len(src); i++ {
		switch src[i] {
		case '"':
			i += skipString(src[i:])
		case '/':
			i += skipComment(src[i:])
		case '{', '[':
			depth++
		case '}', ']':
			depth--
		}
		if depth > limit {
			return i
		}
	}
	return -1
}

// skipString returns the distance from an opening quote to the closing one.
func skipString(src []byte) int {
	for i := 1; i < len(src); i++ {
		switch src[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return len(src)
}

// skipComment returns the distance from a slash to the last byte of the comment that starts
// with it, or 0 if none does.
func skipComment(src []byte) int {
	end := ""
	switch {
	case bytes.HasPrefix(src, []byte("//")):
		end = "\n"
	case bytes.HasPrefix(src, []byte("/*")):
		end = "*/"
	default:
		return 0
	}
	const opening = 2
	n := bytes.Index(src[opening:], []byte(end))
	if n < 0 {
		return len(src)
	}
	return opening + n + len(end) - 1
}
