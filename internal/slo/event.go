// Package slo reports the error budget burn rate of each class and tier over
// several windows, following the multiwindow alerting of the SRE workbook. The
// calculations have no side effects and receive the time as an argument.
package slo

import "time"

// Result is the classification of a request against its class's objective.
type Result int

// The results, in the order of the counters.
const (
	// Good: complete, with the first token within the target.
	Good Result = iota
	// Late: complete, but with the first token after the target.
	Late
	// Failed: the answer was incomplete or ended with an error.
	Failed
	// Refused: not run, and reported to the caller as such. It counts as bad,
	// because the caller got no answer.
	Refused
	// Canceled: the caller disconnected before the answer was complete. It
	// counts neither as good nor as bad.
	Canceled
	numResults
)

var resultNames = [numResults]string{"good", "late", "failed", "refused", "canceled"}

// String returns the result's label in metrics.
func (r Result) String() string {
	if r < 0 || r >= numResults {
		return "unknown"
	}
	return resultNames[r]
}

// Outcome describes how a request ended.
type Outcome struct {
	// FirstToken is the time from arrival to the first token.
	FirstToken time.Duration
	// Target is the class's target for FirstToken.
	Target   time.Duration
	Complete bool
	Refused  bool
	Canceled bool
}

// Classify returns the result of an outcome. A complete answer counts as complete
// even if the caller disconnected right after it. A request that its caller
// canceled while it was queued counts as canceled, although it did not run.
func Classify(o Outcome) Result {
	switch {
	case o.Complete && o.FirstToken <= o.Target:
		return Good
	case o.Complete:
		return Late
	case o.Canceled:
		return Canceled
	case o.Refused:
		return Refused
	default:
		return Failed
	}
}

// Key identifies a series of counts.
type Key struct {
	Class string
	Tier  string
}

// Other collects the results of keys beyond the limit on the number of keys.
var Other = Key{Class: "other", Tier: "other"}

// Counts holds the number of requests by result.
type Counts struct {
	Good     uint64 `json:"good"`
	Late     uint64 `json:"late"`
	Failed   uint64 `json:"failed"`
	Refused  uint64 `json:"refused"`
	Canceled uint64 `json:"canceled"`
}

// Bad returns the number of requests that miss the objective: late, failed or
// refused.
func (c Counts) Bad() uint64 { return c.Late + c.Failed + c.Refused }

// Total returns the number of requests that count towards the objective, which is
// all but the canceled ones.
func (c Counts) Total() uint64 { return c.Good + c.Bad() }

// Plus returns the sum of both counts.
func (c Counts) Plus(d Counts) Counts {
	return Counts{
		Good:     c.Good + d.Good,
		Late:     c.Late + d.Late,
		Failed:   c.Failed + d.Failed,
		Refused:  c.Refused + d.Refused,
		Canceled: c.Canceled + d.Canceled,
	}
}
