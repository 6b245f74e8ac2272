package request

import (
	"cmp"
	"fmt"
	"time"

	"coveferry/internal/upstream"
)

// NextRepeat says of a Step that another attempt followed it.
const NextRepeat = "repeat"

// Step records one attempt and its result.
type Step struct {
	Epoch    int
	Endpoint string
	// Version is that of the endpoint's software; empty if unknown.
	Version string
	// Outcome is "complete" or the text of the attempt's error.
	Outcome string
	// Tokens is the number of tokens that the caller had received after the attempt.
	Tokens int
	// Next is NextRepeat or why the request was given up; empty after a complete answer.
	Next string
	// Signals is what the endpoint's answer says of the endpoint.
	Signals upstream.Signals
	// LimitPart is the rate limit and the share of it that the attempt was charged to; empty if
	// there is none.
	LimitPart string
	// Connections counts the connections used for the attempt, to Address. ReusedConnection says that other
	// requests had been sent on the last of them.
	Connections      int
	Address          string
	ReusedConnection bool
	// Arrival is what is known of the attempt's arrival, and SentAfter the time from the request's
	// arrival to when the attempt was sent.
	Arrival   Arrival
	SentAfter time.Duration
	// EndedAfter is the time from the request's arrival to the end of the attempt.
	EndedAfter time.Duration
	// RunEnd is the evidence that the attempt's run had ended when the next attempt was made, and
	// RunEndAfter how long that was waited for; empty if it wasn't.
	RunEnd      string
	RunEndAfter time.Duration
	// FromCopy says that the attempt went on from a copy of an earlier one's KV cache.
	FromCopy bool
	// Events is what the attempt brought of a stream. EndsWithConnection says that its answer has neither a
	// length nor chunks.
	Events             EventRange
	EndsWithConnection bool
	// Endless is the part of the answer that had no end; empty for none.
	Endless upstream.Part
	// Budget describes the use of the retry budget if a retry was charged to it or refused by
	// it; empty otherwise.
	Budget string
}

// String formats the step for the log.
func (s Step) String() string {
	endpoint := s.Endpoint
	if s.Version != "" {
		endpoint += " (" + s.Version + ")"
	}
	text := fmt.Sprintf("attempt %d at %s: %s, %d tokens held, %s%s%s", s.Epoch, endpoint, s.Outcome, s.Tokens, s.connection(), s.end(), s.Next)
	if s.Arrival != ArrivalNotSent {
		text += fmt.Sprintf(", %s, sent after %s", s.Arrival, s.SentAfter.Round(time.Millisecond))
	}
	if s.FromCopy {
		text += ", from a copy of the run"
	}
	if events := s.Events.String(); events != "" {
		text += ", " + events
	}
	if s.EndsWithConnection {
		text += ", ends with its connection"
	}
	if s.Connections > 1 {
		text += fmt.Sprintf(", on %d connections", s.Connections)
	}
	if s.Budget != "" {
		text += ", " + s.Budget
	}
	if s.LimitPart != "" {
		text += ", by " + s.LimitPart
	}
	if signals := s.Signals.String(); signals != "" {
		text += ", " + signals
	}
	return text
}

// isOneOfSeveral reports whether the request had an attempt before this one or gets one after it.
func (s Step) isOneOfSeveral() bool { return s.Epoch > 1 || s.Next == NextRepeat }

// connection describes where one of several attempts was sent. Endpoints that follow one another may
// share an address.
func (s Step) connection() string {
	switch {
	case !s.isOneOfSeveral() || s.Address == "":
		return ""
	case s.ReusedConnection:
		return "to " + s.Address + " on a used connection, "
	}
	return "to " + s.Address + ", "
}

// end describes when an attempt that was sent ended, and how its run was known to have ended.
func (s Step) end() string {
	if s.Arrival == ArrivalNotSent {
		return ""
	}
	text := "ended after " + s.EndedAfter.Round(time.Millisecond).String()
	if s.RunEndAfter > 0 {
		text += fmt.Sprintf(" (run: %s within %s)", cmp.Or(s.RunEnd, "not known to have ended"), s.RunEndAfter.Round(time.Millisecond))
	}
	return text + ", "
}
