package bundle

import (
	"fmt"
	"strings"
)

// Severity says whether a finding prevents a bundle from being accepted.
type Severity string

// The severities of findings.
const (
	SeverityError   Severity = "error"   // the bundle is rejected
	SeverityWarning Severity = "warning" // the bundle is accepted
)

// Finding is one error or warning about a bundle.
type Finding struct {
	Severity Severity
	// Path is the path in the bundle, such as "teams[2].grants[0].tier".
	Path    string
	Message string
}

// Findings is a list of findings in the order of the rules.
type Findings []Finding

// Errors returns the findings that prevent the bundle from being accepted.
func (f Findings) Errors() Findings { return f.withSeverity(SeverityError) }

// Warnings returns the findings that don't prevent it.
func (f Findings) Warnings() Findings { return f.withSeverity(SeverityWarning) }

func (f Findings) withSeverity(s Severity) Findings {
	var out Findings
	for _, finding := range f {
		if finding.Severity == s {
			out = append(out, finding)
		}
	}
	return out
}

// Error returns the findings, one per line.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i, one := range f {
		lines[i] = fmt.Sprintf("%s: %s", one.Path, one.Message)
	}
	return strings.Join(lines, "\n")
}

func (f *Findings) errorf(path, format string, args ...any) {
	*f = append(*f, Finding{SeverityError, path, fmt.Sprintf(format, args...)})
}

func (f *Findings) warnf(path, format string, args ...any) {
	*f = append(*f, Finding{SeverityWarning, path, fmt.Sprintf(format, args...)})
}
