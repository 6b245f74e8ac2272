package request

import (
	"strconv"
	"strings"
)

// EventRange says which events an attempt brought of a stream, by their IDs.
type EventRange struct {
	// After is the ID after which the attempt went on; empty if it began the stream.
	After string
	// First and Last are the IDs of the first and the last event that the caller got; empty for none.
	First, Last string
	// Duplicates counts the events that the caller had.
	Duplicates int
}

// Add adds events that the caller got, of which the first and the last ID are given.
func (e *EventRange) Add(first, last string) {
	if e.First == "" {
		e.First = first
	}
	if last != "" {
		e.Last = last
	}
}

// String describes the range for a log line; empty if there is nothing to tell.
func (e EventRange) String() string {
	var parts []string
	if e.After != "" {
		parts = append(parts, "after event "+e.After)
	}
	if e.First != "" {
		parts = append(parts, "events "+e.First+" to "+e.Last)
	}
	if e.Duplicates > 0 {
		parts = append(parts, strconv.Itoa(e.Duplicates)+" duplicates dropped")
	}
	return strings.Join(parts, ", ")
}
