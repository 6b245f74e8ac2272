// Package request holds the value that travels through a router's pipe. Each
// filter fills in its part; later filters rely on it.
package request

import (
	"fmt"
	"net/http"
	"time"

	"coveferry/internal/bundle"
	"coveferry/internal/completion"
	"coveferry/internal/once"
	"coveferry/internal/poison"
	"coveferry/internal/prompt"
	"coveferry/internal/route"
	"coveferry/internal/upstream"
	"coveferry/internal/wire"
)

// Request is one caller's request on its way through the router.
type Request struct {
	// Set when the request arrives.
	ID      string
	Arrived time.Time
	// ArrivedClock is the same moment by the clock that counts all pauses.
	ArrivedClock time.Time
	Snapshot     *bundle.Snapshot // kept for the whole life of the request
	Kind         wire.Kind
	Header       http.Header
	Body         []byte
	// Method, Service and Path are those of a call to a plain service.
	Method  string
	Service string
	Path    string

	// Table is the route table that a request of kind KindRouted keeps for its
	// whole life. Host and Target are those that its caller named, unchanged.
	Table  *route.Table
	Host   string
	Target string

	// Set by match, for a request of kind KindRouted.
	Route *route.Route
	// CallerID names the request on the wire, as its caller does.
	CallerID string
	// Key is the caller's API key, empty if it sent none.
	Key    string
	Prompt prompt.Prompt
	// Wait is how long the answer of the latest attempt was expected to take to
	// begin.
	Wait time.Duration
	// Read is the part of Wait in which the request's own prompt is read.
	Read time.Duration
	// Source has probably cached parts of the prompt that Endpoint lacks; nil
	// if none is known to.
	Source *bundle.Endpoint
	// Copy is where the memory of the latest attempt's run is copied to as it
	// grows; nil if nowhere. Resume is where an attempt goes on from such a
	// copy, as the same run; nil for one that begins anew.
	Copy   *bundle.Endpoint
	Resume *bundle.Endpoint
	// Tight says that long prompts beside it would make the stream late.
	Tight bool
	// Kept is how many endpoints were kept for such streams.
	Kept int
	// Stride is how many tokens an event of the answer holds; 0 if unknown.
	Stride int
	// MaxRuns is the most endpoints at which the request may run; 0 is the
	// retry policy's own bound.
	MaxRuns int

	// Set by authenticate. TeamName is that of a routed request, and TeamResidency where
	// its team allows it to be served.
	Team          *bundle.Team
	TeamName      string
	TeamResidency *route.Residency

	// Set by classify.
	Class          *bundle.Class
	Tier           int // rank, 0 is the highest
	Model          string
	Stream         bool
	IncludeUsage   bool
	MaxTokens      int // 0 if the caller set none
	Prefix         uint64
	FirstTokenBy   time.Time
	Deadline       time.Time
	IdempotencyKey string
	NonIdempotent  bool
	// KeyIssued is when the idempotency key was issued. With it the key runs
	// at most once, at its home; zero if the key doesn't tell.
	KeyIssued  time.Time
	Candidates []*bundle.Endpoint

	// Set by choose, for each attempt anew. With late binding the request
	// waits at Second, too, and dispatch sets Endpoint to the one that ran it.
	Endpoint *bundle.Endpoint
	Second   *bundle.Endpoint

	// Set by attempts and dispatch.
	Epoch int
	// Tried lists the endpoints that this request has been sent to.
	Tried []string
	// Round is where the present round of Tried begins: a request that comes
	// back to endpoints it has tried begins a new one.
	Round int
	// Latest returns the snapshot in force, whose endpoints an attempt after
	// the first may use; nil is that of the request.
	Latest func() *bundle.Snapshot
	// Trail lists the attempts made, for the log.
	Trail []Step
	// Lost counts the attempts that ended with their endpoints. Set by quarantine.
	Lost int
	// Stream of the current attempt's answer.
	Answer *http.Response
	// RateLimit is what the endpoint of the latest attempt said of its own limit. Set by
	// dispatch.
	RateLimit upstream.RateLimit
	// Connections counts those on which the latest attempt was sent. Set by dispatch.
	Connections int
	// LimitPart tells by which limit of its endpoint the latest attempt was sent; empty if
	// that had named none. Set by choose.
	LimitPart string

	// Collected is the answer so far for a caller who wants it in one piece.
	// Kept by relay.
	Collected *completion.Collector

	// Delivered is what the caller already holds. Kept by relay.
	Delivered Delivered

	// Began is called at the first token; nil if nobody asks. Set by shed.
	Began func()

	// Heard is called for each part of an endpoint's answer; nil if nobody
	// asks. Set by dispatch.
	Heard func(now time.Time)
	// HeardEvent is the same for each event of a stream.
	HeardEvent func(now time.Time)

	// Writer is where the caller's answer goes. Used by relay alone.
	Writer http.ResponseWriter

	identity poison.Identity // 0 until it is asked for
}

// Step is one attempt and what came of it.
type Step struct {
	Epoch    int
	Endpoint string
	// Outcome is "complete" or the text of the attempt's error.
	Outcome string
	// Tokens is what the caller held after it.
	Tokens int
	// Next is "repeat" or why the request was given up; empty after a
	// complete answer.
	Next string
	// Limit is the limit that the endpoint named in its answer, and Part by which limit and
	// which part of it the request was sent; empty if there is none.
	Limit, Part string
	// Connections counts those on which the attempt was sent.
	Connections int
	// Budget tells how much of the retry budget was used when a retry was charged to it or
	// refused by it; empty if neither.
	Budget string
}

// String is the step as a line of a log.
func (s Step) String() string {
	text := fmt.Sprintf("attempt %d at %s: %s, %d tokens held, %s", s.Epoch, s.Endpoint, s.Outcome, s.Tokens, s.Next)
	if s.Connections > 1 {
		text += fmt.Sprintf(", on %d connections", s.Connections)
	}
	if s.Budget != "" {
		text += ", " + s.Budget
	}
	if s.Part != "" {
		text += ", by " + s.Part
	}
	if s.Limit != "" {
		text += ", limit " + s.Limit
	}
	return text
}

// Delivered is the part of the answer that the caller already holds.
type Delivered struct {
	// Started says that the status line went out.
	Started bool
	// ID is the answer's id in the completions protocol.
	ID     string
	Text   []byte
	Tokens int
	// Last is the last chunk that held text.
	Last string
	// Unresumable says that the answer holds what an engine can't go on
	// from, such as part of a tool call.
	Unresumable bool
	FirstToken  time.Time
	// LastEvent is the id of the last event of a routed stream.
	LastEvent string
	// LastAt is when the caller was last sent a part of the answer, and MaxGap
	// the longest pause between two parts.
	LastAt time.Time
	MaxGap time.Duration
}

// KeyTarget is the model or service as package once names it.
func (r *Request) KeyTarget() string {
	if r.Kind == wire.KindService {
		return once.ServiceTarget(r.Service)
	}
	return once.ModelTarget(r.Model)
}

// TriedEndpoint says whether the request has been sent to the endpoint in this
// round.
func (r *Request) TriedEndpoint(name string) bool {
	for _, t := range r.Tried[r.Round:] {
		if t == name {
			return true
		}
	}
	return false
}

// Left is the time left before the deadline, by the clock that counts all pauses
// and shows now.
func (r *Request) Left(now time.Time) time.Duration {
	return r.Deadline.Sub(r.Arrived) - now.Sub(r.ArrivedClock)
}

// EndpointsIn lists all endpoints of a snapshot that could serve the request.
func (r *Request) EndpointsIn(s *bundle.Snapshot) []*bundle.Endpoint {
	if r.Kind == wire.KindService {
		return s.EndpointsForService(r.Service)
	}
	return s.EndpointsForModel(r.Model)
}
