package bundle

import (
	"fmt"

	"coveferry/internal/jsonc"
)

// MaxValueBytes is the size of the largest value that the configuration service can
// store.
const MaxValueBytes = 1_000_000

// Inspection is the result of decoding and checking a bundle file.
type Inspection struct {
	// Bundle is nil if there are errors.
	Bundle   *Bundle
	Errors   jsonc.Problems
	Warnings jsonc.Problems
}

// Parse decodes and checks a bundle file. The file name is used in messages only. The
// error is an *InvalidError with all errors and their positions; a returned bundle
// has none.
func Parse(file string, src []byte) (*Bundle, error) {
	in := Inspect(file, src)
	if len(in.Errors) > 0 {
		return nil, &InvalidError{Problems: in.Errors}
	}
	return in.Bundle, nil
}

// Inspect decodes and checks a bundle file and also returns warnings.
func Inspect(file string, src []byte) Inspection {
	doc, err := jsonc.Parse(file, src)
	if err != nil {
		return Inspection{Errors: syntaxProblems(file, err)}
	}
	var b Bundle
	problems := doc.Decode(&b)
	found := check(&b, len(problems) == 0)
	in := Inspection{
		Errors:   append(problems, locate(doc, found.Errors(), problems)...),
		Warnings: locate(doc, found.Warnings(), problems),
	}
	if len(src) > MaxValueBytes {
		in.Warnings = append(in.Warnings, doc.Problem("", tooLargeMessage(len(src))))
	}
	in.Errors.Sort()
	in.Warnings.Sort()
	if len(in.Errors) == 0 {
		in.Bundle = &b
	}
	return in
}

func tooLargeMessage(size int) string {
	return fmt.Sprintf("the file has %d bytes, and the configuration service holds values up to %d; publish it in sections",
		size, MaxValueBytes)
}

func syntaxProblems(file string, err error) jsonc.Problems {
	if ps, ok := err.(jsonc.Problems); ok {
		return ps
	}
	return jsonc.Problems{{File: file, Line: 1, Column: 1, Message: err.Error()}}
}

// locate converts findings into problems with positions. It omits findings on a path
// that couldn't be decoded, because the decoding error already reports it.
func locate(doc *jsonc.Document, found Findings, problems jsonc.Problems) jsonc.Problems {
	undecodable := make(nameSet, len(problems))
	for _, p := range problems {
		undecodable[p.Path] = struct{}{}
	}
	var out jsonc.Problems
	for _, f := range found {
		if !undecodable.has(f.Path) {
			out = append(out, doc.Problem(f.Path, f.Message))
		}
	}
	return out
}
