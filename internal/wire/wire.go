// Package wire holds the messages between a router and an agent. A router
// posts the engine's request body to PathAttempts with an Envelope in a header.
// The agent answers with a Refusal, which is its word that the attempt did not
// run, or relays the engine's answer as it is and closes it with an End in a
// trailer. An answer without its End is incomplete, whatever came before.
package wire

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"coveferry/internal/load"
)

// PathAttempts is where an agent takes attempts.
const PathAttempts = "/v1/attempts"

// PathStatus is where an agent tells its Status.
const PathStatus = "/v1/status"

// Headers and trailers between router and agent.
const (
	HeaderEnvelope = "Coveferry-Envelope"
	HeaderLoad     = "Coveferry-Load"
	HeaderEnd      = "Coveferry-End"
	// HeaderClock carries a Clock with each answer of an agent.
	HeaderClock = "Coveferry-Clock"
	// HeaderStatus carries the status that a plain service answered with.
	HeaderStatus = "Coveferry-Status"
)

// maxHeaderJSON bounds what is decoded from one header.
const maxHeaderJSON = 8 << 10

// Kind is the kind of endpoint a request is for.
type Kind string

// The kinds of request.
const (
	KindChat       Kind = "chat"
	KindCompletion Kind = "completion"
	KindService    Kind = "service"
	// KindRouted requests go by a route table to endpoints without an agent.
	KindRouted Kind = "routed"
)

// Envelope says what an agent has to know of an attempt. Times are given as
// what remains, in milliseconds, since clocks of VMs differ.
type Envelope struct {
	Request string `json:"request"`
	// Endpoint is the name of the endpoint meant: an address may have come
	// to another one since.
	Endpoint string `json:"endpoint"`
	// Epoch numbers the attempts of a request from 1.
	Epoch int    `json:"epoch"`
	Kind  Kind   `json:"kind"`
	Team  string `json:"team"`
	Class string `json:"class"`
	Tier  int    `json:"tier"`

	// Method and Path are those of a plain service's call.
	Method string `json:"method,omitempty"`
	Path   string `json:"path,omitempty"`

	FirstTokenMillis int64 `json:"first_token_ms"`
	DeadlineMillis   int64 `json:"deadline_ms"`
	// Heard is a reading of this agent's clock that the router heard
	// HeardAgoMillis before it sent the attempt; zero if it heard none. With
	// it the agent can tell how long the attempt was under way.
	Heard          Clock `json:"heard,omitzero"`
	HeardAgoMillis int64 `json:"heard_ago_ms,omitempty"`
	// SentUnixMillis is the router's wall clock, for an agent without Heard.
	SentUnixMillis int64 `json:"sent_ms"`

	IdempotencyKey string `json:"key,omitempty"`
	NonIdempotent  bool   `json:"non_idempotent,omitempty"`
	// KeyIssuedMillis is when the key was issued, in Unix milliseconds; with
	// it the key runs at most once. 0 if the key doesn't tell.
	KeyIssuedMillis int64 `json:"key_issued_ms,omitempty"`
	// Target is the model or service, as package once names it; set with
	// KeyIssuedMillis.
	Target string `json:"target,omitempty"`
	// Resumed says that the caller already holds part of the answer.
	Resumed bool `json:"resumed,omitempty"`
	// BundleVersion is the version of the bundle the router decided by.
	BundleVersion uint64 `json:"bundle"`
}

// Clock is a reading of an agent's clock. The clock begins at a moment of its own,
// and each incarnation of the agent has another one.
type Clock struct {
	Incarnation string `json:"i"`
	Millis      int64  `json:"t"`
}

// Status is what an agent says of itself at one moment.
type Status struct {
	Endpoint string      `json:"endpoint"`
	Clock    Clock       `json:"clock"`
	Load     load.Report `json:"load"`
}

// Run says whether an attempt ran.
type Run string

// Whether an attempt ran. Only an agent's own word makes it RunNot.
const (
	RunNot     Run = "not_run"
	RunYes     Run = "ran"
	RunUnknown Run = "unknown"
)

// Refusal is an agent's answer to an attempt that ended before any of the
// engine's answer was relayed.
type Refusal struct {
	// Reason is a sched.Reason or one of the constants below.
	Reason           string `json:"reason"`
	Run              Run    `json:"run"`
	RetryAfterMillis int64  `json:"retry_after_ms,omitempty"`
	// EngineStatus and EngineBody are the engine's own refusal, if it is
	// what refused.
	EngineStatus int    `json:"engine_status,omitempty"`
	EngineBody   string `json:"engine_body,omitempty"`
	// Earlier is set where another request has or may have had the key; with
	// ReasonDuplicate Run tells of that one.
	Earlier *Earlier `json:"earlier,omitempty"`
}

// Reasons of a refusal besides those of the scheduler.
const (
	ReasonLeaving      = "leaving"
	ReasonStale        = "stale"          // came when its deadline had passed
	ReasonNotHere      = "wrong_endpoint" // the address belongs to another one
	ReasonBadEnvelope  = "bad_envelope"
	ReasonEngineDown   = "engine_down"   // no connection: nothing was sent
	ReasonEngineFailed = "engine_failed" // broke after the request was sent
	ReasonEngineSaysNo = "engine_refused"
	ReasonCancelled    = "cancelled"
	ReasonDuplicate    = "duplicate_key"
)

// RetryAfter is when the caller may come back.
func (r Refusal) RetryAfter() time.Duration {
	return time.Duration(r.RetryAfterMillis) * time.Millisecond
}

// Ending is how a relayed answer ended.
type Ending string

// The endings of a relayed answer.
const (
	EndingComplete     Ending = "complete"
	EndingEngineFailed Ending = "engine_failed"
	EndingExpired      Ending = "expired"
	EndingCancelled    Ending = "cancelled"
	EndingLeaving      Ending = "leaving"
)

// End closes a relayed answer.
type End struct {
	Ending Ending `json:"ending"`
	// Tokens counts what the engine produced for this attempt.
	Tokens int         `json:"tokens"`
	Load   load.Report `json:"load"`
}

// ErrMalformed marks a header that can't be decoded.
var ErrMalformed = errors.New("malformed message between processes")

// Encode puts a message in a header.
func Encode(h http.Header, name string, message any) error {
	b, err := json.Marshal(message)
	if err != nil {
		return errors.Wrapf(err, "encode %s", name)
	}
	h.Set(name, string(b))
	return nil
}

// Decode reads a message from a header; its error is marked ErrMalformed.
func Decode(h http.Header, name string, message any) error {
	text := h.Get(name)
	if text == "" {
		return errors.Mark(errors.Newf("header %s is missing", name), ErrMalformed)
	}
	if len(text) > maxHeaderJSON {
		return errors.Mark(errors.Newf("header %s is longer than %d bytes", name, maxHeaderJSON), ErrMalformed)
	}
	if err := json.Unmarshal([]byte(text), message); err != nil {
		return errors.Mark(errors.Wrapf(err, "header %s", name), ErrMalformed)
	}
	return nil
}

// Check tells what is wrong with an envelope; its error is marked ErrMalformed.
func (e *Envelope) Check() error {
	switch {
	case e.Request == "":
		return errors.Mark(errors.New("envelope: request is missing"), ErrMalformed)
	case e.Epoch < 1:
		return errors.Mark(errors.New("envelope: epoch must be at least 1"), ErrMalformed)
	case e.Kind != KindChat && e.Kind != KindCompletion && e.Kind != KindService:
		return errors.Mark(errors.Newf("envelope: unknown kind %q", e.Kind), ErrMalformed)
	case e.Tier < 0 || e.Tier >= load.MaxTiers:
		return errors.Mark(errors.Newf("envelope: tier %d is outside 0..%d", e.Tier, load.MaxTiers-1), ErrMalformed)
	case e.DeadlineMillis <= 0:
		return errors.Mark(errors.New("envelope: the deadline has passed"), ErrMalformed)
	}
	return nil
}
