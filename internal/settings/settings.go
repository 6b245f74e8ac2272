// Package settings reads the settings file of a coveferryd process: its addresses, location,
// trusted keys and limits. A file is JSON with comments and is decoded strictly; all errors
// are reported at once, with their positions and the allowed values. Configuration that all
// processes share is in the bundle instead.
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

// InvalidError lists the problems of a settings file.
type InvalidError struct{ Problems jsonc.Problems }

// Error returns one line for each problem.
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

// LoadStandalone reads the settings of a standalone run; an empty file means the defaults. An
// error is an *InvalidError.
func LoadStandalone(path string) (*Standalone, error) {
	s := DefaultStandalone()
	if err := load(path, &s); err != nil {
		return nil, err
	}
	return &s, nil
}

// Check reads a settings file of any role. It returns the role in the file, empty if it has
// none, and the problems found.
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

// roleSettings is implemented by the settings of every role.
type roleSettings interface {
	role() Role
	// checks returns the results of the checks of the decoded values.
	checks() []checkResult
	// files returns the paths that are resolved against the folder of the settings file.
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

// loadRole decodes the document if it is for the role of dst. Settings of another role aren't
// checked further, since most of their keys would be reported as unknown.
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

// decode fills dst, runs its checks and resolves its paths against dir.
func decode(doc *jsonc.Document, dst roleSettings, dir string) jsonc.Problems {
	problems := doc.Decode(dst)
	for _, r := range dst.checks() {
		if !r.ok && !hasProblemAt(problems, r.path) {
			problems = append(problems, doc.Problem(r.path, r.message))
		}
	}
	problems.Sort()
	for _, f := range dst.files() {
		f.resolve(dir)
	}
	return problems
}

// hasProblemAt reports whether there is a problem at the path, within it or around it; a
// failed check of the value would only repeat it.
func hasProblemAt(problems jsonc.Problems, path string) bool {
	for _, p := range problems {
		if isWithin(p.Path, path) || isWithin(path, p.Path) {
			return true
		}
	}
	return false
}

// isWithin reports whether path lies in the value at outer.
func isWithin(path, outer string) bool {
	rest, ok := strings.CutPrefix(path, outer)
	return ok && (rest == "" || rest[0] == '.' || rest[0] == '[')
}

// read parses a file. If it returns no document, it returns at least one problem.
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

// readLimited reads at most one byte more than the size limit.
func readLimited(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close() // nothing was written
	return io.ReadAll(io.LimitReader(f, jsonc.MaxSize+1))
}

// errorReason removes the path from an error, since the problem already contains it.
func errorReason(err error) string {
	var pathErr *os.PathError
	if errors.As(err, &pathErr) {
		return pathErr.Err.Error()
	}
	return err.Error()
}
