// Package settings reads the file that a process of coveferryd is started with:
// its addresses, its place, whom it trusts and its bounds. A file is JSON with
// comments, decoded strictly; every fault is reported at once, with its place
// and what is allowed. What all processes share stands in the bundle instead.
package settings

import (
	"bytes"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"

	"coveferry/internal/jsonc"
)

// InvalidError says that a settings file can't be used, and why.
type InvalidError struct{ Problems jsonc.Problems }

// Error writes one line for each problem.
func (e *InvalidError) Error() string { return e.Problems.Error() }

// Unwrap returns the problems.
func (e *InvalidError) Unwrap() error { return e.Problems }

// LoadRouter reads the settings of a router. An error is an *InvalidError.
func LoadRouter(path string) (*Router, error) {
	s := DefaultRouter()
	if err := load(path, &s); err != nil {
		return nil, err
	}
	return &s, nil
}

// LoadAgent reads the settings of an agent. An error is an *InvalidError.
func LoadAgent(path string) (*Agent, error) {
	s := DefaultAgent()
	if err := load(path, &s); err != nil {
		return nil, err
	}
	return &s, nil
}

// LoadStandalone reads the settings of a standalone run; an empty file is one
// of defaults. An error is an *InvalidError.
func LoadStandalone(path string) (*Standalone, error) {
	s := DefaultStandalone()
	if err := load(path, &s); err != nil {
		return nil, err
	}
	return &s, nil
}

// Check reads a settings file of any role. It returns the role that the file
// names, empty if it names none, and what is wrong with it.
func Check(path string) (Role, jsonc.Problems) {
	doc, problems := read(path)
	if doc == nil {
		return "", problems
	}
	role, problems := readRole(doc)
	if len(problems) > 0 {
		return "", problems
	}
	return role, decode(doc, newSettings(role), filepath.Dir(path))
}

// roleSettings is what the settings of every role can do.
type roleSettings interface {
	role() Role
	// rules are checked once the file is decoded.
	rules() []rule
	// files are the paths in the settings, to be resolved.
	files() []*File
}

func newSettings(role Role) roleSettings {
	switch role {
	case RoleRouter:
		s := DefaultRouter()
		return &s
	case RoleAgent:
		s := DefaultAgent()
		return &s
	default:
		s := DefaultStandalone()
		return &s
	}
}

func load(path string, dst roleSettings) error {
	doc, problems := read(path)
	if doc != nil {
		problems = loadRole(doc, dst, filepath.Dir(path))
	}
	if len(problems) > 0 {
		return &InvalidError{Problems: problems}
	}
	return nil
}

// loadRole decodes the document if it is meant for the role of dst. Settings
// of another role aren't looked at further: most keys would be wrong.
func loadRole(doc *jsonc.Document, dst roleSettings, dir string) jsonc.Problems {
	role, problems := readRole(doc)
	switch {
	case role == "" && dst.role() == RoleStandalone && !hasKey(doc, keyRole):
		// the role has a default
	case len(problems) > 0:
		return problems
	case role != dst.role():
		msg := "these are the settings of " + quote(string(role)) + "; this process needs those of " + quote(string(dst.role()))
		return jsonc.Problems{doc.Problem(keyRole, msg)}
	}
	return decode(doc, dst, dir)
}

// decode fills dst, checks its rules and resolves its paths against dir.
func decode(doc *jsonc.Document, dst roleSettings, dir string) jsonc.Problems {
	problems := doc.Decode(dst)
	for _, r := range dst.rules() {
		if !r.ok && !reported(problems, r.path) {
			problems = append(problems, doc.Problem(r.path, r.message))
		}
	}
	problems.Sort()
	for _, f := range dst.files() {
		f.resolve(dir)
	}
	return problems
}

// reported says whether a problem was found at a path, within or around it; a
// rule on the value would then only repeat it.
func reported(problems jsonc.Problems, path string) bool {
	for _, p := range problems {
		if isWithin(p.Path, path) || isWithin(path, p.Path) {
			return true
		}
	}
	return false
}

// isWithin says whether path lies in the value at outer.
func isWithin(path, outer string) bool {
	rest, ok := strings.CutPrefix(path, outer)
	return ok && (rest == "" || rest[0] == '.' || rest[0] == '[')
}

// read parses a file. Without a document there is at least one problem.
func read(path string) (*jsonc.Document, jsonc.Problems) {
	src, err := readLimited(path)
	if err != nil {
		return nil, jsonc.Problems{{File: path, Message: "can't be read: " + errorReason(err)}}
	}
	if len(src) <= jsonc.MaxSize && len(bytes.TrimSpace(src)) == 0 {
		src = []byte("{}")
	}
	doc, err := jsonc.Parse(path, src)
	if err != nil {
		var problems jsonc.Problems
		if !errors.As(err, &problems) {
			problems = jsonc.Problems{{File: path, Message: err.Error()}}
		}
		return nil, problems
	}
	return doc, nil
}

// readLimited reads no more than it takes to see that a file is too large.
func readLimited(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close() // nothing was written
	return io.ReadAll(io.LimitReader(f, jsonc.MaxSize+1))
}

// errorReason leaves the path out of an error, as the problem names it already.
func errorReason(err error) string {
	var pathErr *os.PathError
	if errors.As(err, &pathErr) {
		return pathErr.Err.Error()
	}
	return err.Error()
}
