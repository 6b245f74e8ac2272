package jsonc

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Problem is an error in a document and its position.
type Problem struct {
	File string
	// Line and Column start at 1; columns count bytes. Both are 0 for a file that couldn't be
	// read.
	Line, Column int
	// Path is the path of the value, such as "teams[3].grants[0].tier"; it is empty for the
	// document as a whole.
	Path string
	// Message describes the error and the allowed values.
	Message string
}

// String formats the problem on one line: FILE:LINE:COL: path: message.
func (p Problem) String() string {
	s := p.File + ": "
	if p.Line > 0 {
		s = fmt.Sprintf("%s:%d:%d: ", p.File, p.Line, p.Column)
	}
	if p.Path != "" {
		s += p.Path + ": "
	}
	return oneLine.Replace(s + p.Message)
}

var oneLine = strings.NewReplacer("\r", " ", "\n", " ")

// Problems lists all problems of a document in the order of their positions.
type Problems []Problem

// Error returns one line for each problem.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the problems as an error, and nil if there are none.
func (ps Problems) Err() error {
	if len(ps) == 0 {
		return nil
	}
	return ps
}

// Sort sorts the problems by position. It is stable.
func (ps Problems) Sort() {
	slices.SortStableFunc(ps, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
}
