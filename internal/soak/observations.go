package soak

import "time"

// Call is a request as observed by its caller.
type Call struct {
	ID, Key, Team, Service string
	Router                 int
	// Resumes is the first request of the stream that this one resumes; empty for a new one.
	// Sources are the endpoints that its events came from.
	Resumes string
	Sources []string
	// Repeatable reports whether the request may run more than once.
	Repeatable bool
	Stream     bool
	// Crashing marks a crash request, which crashes each endpoint that runs it.
	Crashing  bool
	Sent, End time.Time
	// Added is the time at which the request's route was added; zero for initial routes.
	Added time.Time
	// CallerLeft reports whether the caller disconnected before the end of the answer.
	CallerLeft bool
	// Status is 0 without an answer. Complete reports whether the answer ended without a
	// transport error. ContentError describes an error in its content, if any.
	Status       int
	Complete     bool
	ContentError string
}

// Execution is a run of a request at an endpoint.
type Execution struct {
	ID, Endpoint, Service, Team string
	// Resumed reports whether the run resumes an earlier one of the same request.
	Resumed bool
	// FromCopy reports whether the run goes on from a copy of another endpoint's, as the same run.
	FromCopy   bool
	Begin, End time.Time // End is zero if the endpoint crashed before it recorded the end
	// BrokeOff reports whether the endpoint broke off its answer.
	BrokeOff bool
}

// end applies what the endpoint recorded of the run after its begin.
func (e *Execution) end(rec Record) {
	if rec.BrokeOff {
		e.BrokeOff = true
		return
	}
	e.End = rec.At
}

// Span is a time span.
type Span struct{ From, To time.Time }

func (s Span) touches(from, to time.Time) bool { return s.From.Before(to) && s.To.After(from) }

// Observations holds all observations of a run, made from outside the programs.
type Observations struct {
	Calls      []Call
	Executions []Execution
	// Revoked has the time at which each key was revoked, Drained that at which each
	// endpoint was marked as draining.
	Revoked, Drained map[string]time.Time
	// Moved has the keys that moved to another team.
	Moved map[string]Move
	// RouterFaults has the times of faults of each router, its connections or the store.
	RouterFaults map[int][]Span
	// Down has the times at which each router's process was not running.
	Down map[int][]Span
	// Stops has the planned stops of each router, from SIGTERM to the end of its process.
	Stops map[int][]Span
	// EndpointFaults has the times of faults of each endpoint.
	EndpointFaults map[string][]Span
	// Domains has the failure domain of each endpoint, Evacuated the times at which each
	// domain was evacuated, and Cold those at which each endpoint was cold.
	Domains map[string]string
	// Versions has the software version of each endpoint.
	Versions  map[string]string
	Evacuated map[string][]Span
	Cold      map[string][]Span
	// RateLimited has the times at which each endpoint stated a rate limit.
	RateLimited map[string][]LimitSpan
	// TurnedAway has the requests that endpoints answered with a request to back off, and
	// LeavingAnswers the answers that said that the endpoint leaves.
	TurnedAway     []TurnedAway
	LeavingAnswers []LeavingAnswer
	// LoggedAttempts has the number of attempts at endpoints that the router logged for each request.
	LoggedAttempts map[string]int
	// Exits describes programs that ended unexpectedly.
	Exits []string
	// LastFault is the time at which the last fault ended.
	LastFault time.Time
}
