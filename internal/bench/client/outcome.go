// Package client sends the bench's requests as callers do: streaming chat
// completions over HTTP, cancelled at the class's deadline. It records what each
// caller received and when.
package client

import (
	"time"

	"coveferry/internal/wire"
)

// End is the way in which a request ended for its caller.
type End string

// The ends of a request.
const (
	// EndComplete: a finish reason and then [DONE] arrived.
	EndComplete End = "complete"
	// EndRefused: an error status arrived instead of a stream.
	EndRefused End = "refused"
	// EndTruncated: the stream ended or broke before [DONE].
	EndTruncated End = "truncated"
	// EndErrorEvent: a started stream ended with an error event.
	EndErrorEvent End = "error_event"
	// EndTimeout: the caller gave up at its deadline.
	EndTimeout End = "timeout"
	// EndFailed: the connection broke before any answer.
	EndFailed End = "failed"
	// EndInterrupted: the bench didn't send or cut off the request; it isn't
	// measured.
	EndInterrupted End = "interrupted"
)

// Outcome is what the caller of one request received. Times are relative to the
// start of the run.
type Outcome struct {
	ID string
	// RequestID is the router's ID of the request, if the caller received it.
	RequestID string
	// Due is the planned and Sent the actual time of sending. Latencies are
	// relative to Due, so that delays of the bench itself count as latency
	// instead of being hidden (coordinated omission).
	Due  time.Duration
	Sent time.Duration
	// First is the time of the first token; it is undefined if Tokens is 0.
	First time.Duration
	Ended time.Duration
	End   End
	// Gaps are the inter-token latencies.
	Gaps []time.Duration
	// Tokens counts the received events with text.
	Tokens int
	Text   string

	// Code is the code of a typed error, or describes why the connection or
	// the stream broke.
	Code string
	// Status, Run and RetryAfter are set if the answer was an error.
	Status     int
	Run        wire.Run
	RetryAfter time.Duration
}
