// Package capacity is a capacity model of the fleet. It computes the state,
// messages, CPU time and memory of each role at a given fleet size, and compares
// them with their allowances.
//
// The model has no side effects. Its inputs are a Size (required figures of the
// fleet), the measured Slopes, and the Settings of mechanisms. Every number of a
// Report lists the inputs that it was computed from. A figure that an input
// leaves out is unknown, and so is everything that depends on it.
package capacity

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Errors of this package; match them with errors.Is.
var (
	// ErrBadInput marks inputs that can't be decoded or are invalid.
	ErrBadInput = errors.New("bad capacity input")
	// ErrNoSlope marks a slope that the model needs but the input lacks.
	ErrNoSlope = errors.New("slope is missing")
)

// MissingSlopeError reports a slope that the model needs but the input lacks. It
// matches ErrNoSlope.
type MissingSlopeError struct{ ID SlopeID }

// Error implements error.
func (e *MissingSlopeError) Error() string { return fmt.Sprintf("slope %s is missing", e.ID) }

// Is reports whether target is ErrNoSlope.
func (e *MissingSlopeError) Is(target error) bool { return target == ErrNoSlope }

// Inputs holds the inputs of a Report.
type Inputs struct {
	Size     Size
	Slopes   Slopes
	Settings Settings
}

// Report holds all results for one set of inputs.
type Report struct {
	Size      Size           `json:"size"`
	Slopes    Slopes         `json:"slopes"`
	Settings  Settings       `json:"settings"`
	Derived   []DerivedRow   `json:"derived"`
	Rows      []Row          `json:"rows"`
	Totals    []Total        `json:"totals"`
	Service   []ServiceRow   `json:"service"`
	Over      []OverRow      `json:"over"`
	Failures  []FailureRow   `json:"failures"`
	Breaks    []BreakRow     `json:"breaks"`
	Allowance AllowanceTable `json:"allowance"`
}

// Build computes the report. It returns the joined *MissingSlopeErrors of all
// slopes that the model needs but the inputs lack.
func Build(in Inputs) (Report, error) {
	r, err := evaluate(in)
	if err != nil {
		return Report{}, err
	}
	r.Breaks, err = findBreaks(in)
	return r, err
}

// evaluate computes the report without Report.Breaks.
func evaluate(in Inputs) (Report, error) {
	m := newModel(in)
	r := Report{Size: in.Size, Slopes: in.Slopes, Settings: in.Settings, Allowance: m.allowance}
	r.Derived = m.derived()
	r.Rows = m.rows()
	r.Totals = m.totals(r.Rows)
	r.Service = m.service()
	r.Over = m.over(r.Rows, r.Totals, r.Service)
	r.Failures = m.failures()
	return r, m.err()
}
