// Package upstream defines how a router communicates with endpoints that it reaches without
// agents. Header names differ between environments, so they are hidden behind Protocol.
package upstream

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"coveferry/internal/load"
	"coveferry/internal/prompt"
)

// Incoming is the information in a caller's request headers.
type Incoming struct {
	// ID identifies the request. Endpoints echo it, so that the answer to another request is
	// detected.
	ID string
	// APIKey is empty if the caller sent none.
	APIKey string
	// CallerTimeout is how long the caller waits; 0 if unknown.
	CallerTimeout time.Duration
	// LastEvent is the ID of the last event of a stream that the caller has received; empty for
	// none.
	LastEvent string
	// Resumes is the ID of the request whose answer brought the stream's first event, if the
	// caller resumes a stream; empty if it doesn't say.
	Resumes string
	Prompt  prompt.Prompt
}

// Attempt is the information for an endpoint in addition to the caller's request.
type Attempt struct {
	ID string
	// Endpoint is the intended instance; another instance that has taken over its address
	// refuses the request.
	Endpoint string
	// Team is empty for a request without a key.
	Team string
	// Rank is the rank by which the endpoint admits the request.
	Rank int
	// TimeLeft is how long the endpoint may work on the request.
	TimeLeft time.Duration
	// FetchFrom is the address of another endpoint from whose cache missing parts of the prompt
	// may be fetched; empty for none.
	FetchFrom string
	// CopyTo is the address of another endpoint to which the run's memory is copied as it
	// grows; empty for none.
	CopyTo string
	// FromCopy says that the endpoint has a copy of the run's memory, from which this attempt
	// resumes.
	FromCopy bool
	// Address is the endpoint's own address.
	Address string
	// LastEvent is the ID of the event after which a stream resumes.
	LastEvent string
}

// Reply is the information in an endpoint's answer besides status and body.
type Reply struct {
	// ID is the ID of the answered request.
	ID string
	// NotRun is the endpoint's guarantee that it didn't and won't run the request.
	NotRun bool
	// WrongInstance says that another instance has the address.
	WrongInstance bool
	// Signed says that the answer comes from the endpoint itself, not from an intermediary.
	Signed bool
	Signals
}

// Signals is what an endpoint's answer says of the endpoint itself.
type Signals struct {
	// Leaving says that the endpoint is leaving and takes no new requests.
	Leaving bool
	// Backoff is how long the endpoint wants no requests from this router; 0 if the answer
	// doesn't say.
	Backoff time.Duration
	// Cold is how much longer the endpoint stays cold; 0 if the answer doesn't say.
	Cold time.Duration
	// RateLimit is the endpoint's statement of its own limit.
	RateLimit RateLimit
	// Load is the endpoint's load report; nil if the answer has none.
	Load *load.Report
}

// String lists the signals, except the load, for a log line; empty if there are none.
func (s Signals) String() string {
	var parts []string
	if s.Leaving {
		parts = append(parts, "leaving")
	}
	if s.Backoff > 0 {
		parts = append(parts, "backoff "+s.Backoff.String())
	}
	if s.Cold > 0 {
		parts = append(parts, "cold "+s.Cold.String())
	}
	if limit := s.RateLimit.String(); limit != "" {
		parts = append(parts, "limit "+limit)
	}
	return strings.Join(parts, ", ")
}

// RateLimit is an endpoint's limit on the requests per second from all routers together.
type RateLimit struct {
	Kind LimitKind
	// PerSecond is the limit, 0 or more, if Kind is LimitSet.
	PerSecond float64
}

// LimitKind is the kind of a RateLimit.
type LimitKind uint8

const (
	// LimitNone: the answer states no limit.
	LimitNone LimitKind = iota
	// LimitSet: the answer states a limit.
	LimitSet
	// LimitUnreadable: the limit can't be parsed. Any limit known before remains valid.
	LimitUnreadable
)

// String formats the limit for logs; empty if there is none.
func (l RateLimit) String() string {
	switch l.Kind {
	case LimitSet:
		return strconv.FormatFloat(l.PerSecond, 'g', 4, 64) + "/s"
	case LimitUnreadable:
		return "unreadable"
	}
	return ""
}

// Health is the result of a health check in addition to whether the endpoint is healthy.
type Health struct {
	// Connected says that a connection was established.
	Connected bool
	// Answered says that the process that was asked for answered, whatever it said.
	Answered bool
	Signals
}

// Protocol translates between header names on the wire and the types of this package.
type Protocol interface {
	// Incoming reads a caller's headers.
	Incoming(h http.Header) Incoming
	// Encode sets the headers of an attempt in a copy of the caller's headers and removes those
	// that endpoints must not see.
	Encode(h http.Header, a Attempt)
	// Decode reads the headers of an endpoint's answer.
	Decode(resp *http.Response) Reply
}
