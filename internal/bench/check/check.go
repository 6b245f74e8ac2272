// Package check compares the runs of the engines with the answers that callers
// received, and counts violations of the guarantees to callers. It has no side
// effects.
package check

import (
	"strings"

	"coveferry/internal/bench/client"
	"coveferry/internal/wire"
)

// Sent is a request that was sent, with its expected answer.
type Sent struct {
	ID            string
	Answer        string
	NonIdempotent bool
}

// Run is one execution according to an engine's record.
type Run struct {
	// Request is the ID of the request.
	Request string
	Engine  int
	// Tokens counts the tokens that the engine produced.
	Tokens int
	// Continues is set if the engine resumed from text that an earlier run of
	// the same request had produced.
	Continues bool
	// HandedOver is set if the engine ended the run in a hand-over, so that
	// another engine could resume exactly where it ended.
	HandedOver bool
}

// runCount counts the runs of one request.
type runCount struct{ all, continued, handedOver int }

// secondRuns returns the number of runs that repeated work. A run that resumes
// after a hand-over doesn't repeat work; one that resumes after a crash does,
// since the last tokens before the crash never reached the caller.
func (c runCount) secondRuns() int {
	return max(0, c.all-1-min(c.continued, c.handedOver))
}

// Counts holds the violations in a run, by kind. All of them must be 0.
type Counts struct {
	// Lost: a caller that was still waiting got neither a complete answer nor a
	// typed error.
	Lost int `json:"lost"`
	// Doubled: the caller got a second answer, or text beyond the answer's end.
	Doubled int `json:"doubled"`
	// Mixed: the caller got text that isn't part of its answer.
	Mixed int `json:"mixed"`
	// TruncatedAsWhole: a partial answer ended like a complete one.
	TruncatedAsWhole int `json:"truncated_as_whole"`
	// FalseNotRun: the error said "not run", but an engine ran the request.
	FalseNotRun int `json:"false_not_run"`
	// SecondRuns: repeated runs of non-idempotent requests.
	SecondRuns int `json:"second_runs"`
	// UnknownRuns: runs of requests that were not sent.
	UnknownRuns int `json:"unknown_runs"`

	// Examples are some of the requests with a violation.
	Examples []Example `json:"examples,omitempty"`
}

// Example is a request with a violation.
type Example struct {
	Violation Violation `json:"fault"`
	Request   string    `json:"request"`
	// End, Code and Tokens are taken from the request's outcome, if any.
	End    client.End `json:"end,omitempty"`
	Code   string     `json:"code,omitempty"`
	Tokens int        `json:"tokens,omitempty"`
}

// Violation is a kind of violation, named as in the JSON of Counts.
type Violation string

// The kinds of violations.
const (
	ViolationLost             Violation = "lost"
	ViolationDoubled          Violation = "doubled"
	ViolationMixed            Violation = "mixed"
	ViolationTruncatedAsWhole Violation = "truncated_as_whole"
	ViolationFalseNotRun      Violation = "false_not_run"
	ViolationSecondRun        Violation = "second_runs"
	ViolationUnknownRun       Violation = "unknown_runs"
)

// maxExamples bounds the examples of all violations together.
const maxExamples = 20

// Total returns the number of violations.
func (c Counts) Total() int {
	return c.Lost + c.Doubled + c.Mixed + c.TruncatedAsWhole +
		c.FalseNotRun + c.SecondRuns + c.UnknownRuns
}

// Check counts the violations among the requests that were sent.
func Check(sent []Sent, received []client.Outcome, runs []Run) Counts {
	var c Counts
	outcomes := byRequest(received)
	counts := countRuns(runs)
	known := make(map[string]bool, len(sent))
	for _, s := range sent {
		known[s.ID] = true
		c.checkRequest(s, outcomes[s.ID], counts[s.ID])
	}
	for _, r := range runs {
		if !known[r.Request] {
			c.add(ViolationUnknownRun, r.Request)
		}
	}
	return c
}

func byRequest(received []client.Outcome) map[string][]client.Outcome {
	m := make(map[string][]client.Outcome, len(received))
	for _, o := range received {
		m[o.ID] = append(m[o.ID], o)
	}
	return m
}

func countRuns(runs []Run) map[string]runCount {
	m := make(map[string]runCount, len(runs))
	for _, r := range runs {
		n := m[r.Request]
		n.all++
		if r.Continues {
			n.continued++
		}
		if r.HandedOver {
			n.handedOver++
		}
		m[r.Request] = n
	}
	return m
}

func (c *Counts) checkRequest(s Sent, outcomes []client.Outcome, runs runCount) {
	if s.NonIdempotent {
		for range runs.secondRuns() {
			c.add(ViolationSecondRun, s.ID)
		}
	}
	if len(outcomes) == 0 {
		c.add(ViolationLost, s.ID)
		return
	}
	for range len(outcomes) - 1 {
		c.add(ViolationDoubled, s.ID)
	}
	for _, o := range outcomes {
		c.checkOutcome(s, o, runs)
	}
}

func (c *Counts) checkOutcome(s Sent, o client.Outcome, runs runCount) {
	e := Example{Request: s.ID, End: o.End, Code: o.Code, Tokens: o.Tokens}
	switch {
	case o.Run == wire.RunNot && runs.all > 0:
		c.addExample(ViolationFalseNotRun, e)
	case o.End == client.EndTruncated || o.End == client.EndFailed:
		c.addExample(ViolationLost, e)
	}
	switch {
	case strings.HasPrefix(s.Answer, o.Text):
		if o.End == client.EndComplete && len(o.Text) < len(s.Answer) {
			c.addExample(ViolationTruncatedAsWhole, e)
		}
	case strings.HasPrefix(o.Text, s.Answer):
		c.addExample(ViolationDoubled, e)
	default:
		c.addExample(ViolationMixed, e)
	}
}

func (c *Counts) add(f Violation, request string) {
	c.addExample(f, Example{Request: request})
}

func (c *Counts) addExample(f Violation, e Example) {
	*c.counter(f)++
	e.Violation = f
	if len(c.Examples) < maxExamples {
		c.Examples = append(c.Examples, e)
	}
}

func (c *Counts) counter(f Violation) *int {
	switch f {
	case ViolationLost:
		return &c.Lost
	case ViolationDoubled:
		return &c.Doubled
	case ViolationMixed:
		return &c.Mixed
	case ViolationTruncatedAsWhole:
		return &c.TruncatedAsWhole
	case ViolationFalseNotRun:
		return &c.FalseNotRun
	case ViolationSecondRun:
		return &c.SecondRuns
	default:
		return &c.UnknownRuns
	}
}
