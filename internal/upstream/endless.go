package upstream

import "fmt"

// Part is a part of an endpoint's answer.
type Part string

// The parts that may have no end. PartComments are the comments of a stream between two events,
// PartRepeats the events that its caller has, and PartText all of an answer that is collected for a caller
// who doesn't stream.
const (
	PartHead     Part = "head"
	PartEvent    Part = "event"
	PartComments Part = "comments"
	PartRepeats  Part = "repeats"
	PartText     Part = "text"
)

// EndlessError is a part of an answer that was given up since it is longer than its bound.
type EndlessError struct {
	Part Part
	// Bytes were read of it, at least.
	Bytes int
}

// Error implements error.
func (e *EndlessError) Error() string {
	return fmt.Sprintf("upstream: no end of the %s within %d bytes", e.Part, e.Bytes)
}
