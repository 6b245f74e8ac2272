// Package wire defines the messages between a router and an agent. A router posts the engine's
// request body to PathAttempts with an Envelope in a header. The agent either answers with a
// Refusal, which says whether the attempt ran, or relays the engine's answer unchanged and
// closes it with an End in a trailer. An answer without End is incomplete.
package wire

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"coveferry/internal/load"
)

// PathAttempts is the path for attempts.
const PathAttempts = "/v1/attempts"

// PathStatus is the path of an agent's Status.
const PathStatus = "/v1/status"

// Headers and trailers between router and agent.
const (
	HeaderEnvelope = "Coveferry-Envelope"
	HeaderLoad     = "Coveferry-Load"
	HeaderEnd      = "Coveferry-End"
	// HeaderClock carries a Clock in each answer of an agent.
	HeaderClock = "Coveferry-Clock"
	// HeaderStatus carries the status code of a plain service's answer.
	HeaderStatus = "Coveferry-Status"
)

// maxHeaderJSON is the maximum size of a JSON header.
const maxHeaderJSON = 8 << 10

// Kind is the kind of a request.
type Kind string

// Kinds of requests.
const (
	KindChat       Kind = "chat"
	KindCompletion Kind = "completion"
	KindService    Kind = "service"
	// KindRouted requests are sent by a route table to endpoints without an agent.
	KindRouted Kind = "routed"
)

// Envelope describes an attempt to an agent. Times are relative, in milliseconds, because the
// clocks of VMs differ.
type Envelope struct {
	Request string `json:"request"`
	// Endpoint is the name of the intended endpoint; its address may have been reassigned to
	// another one.
	Endpoint string `json:"endpoint"`
	// Epoch numbers the attempts of a request from 1.
	Epoch int    `json:"epoch"`
	Kind  Kind   `json:"kind"`
	Team  string `json:"team"`
	Class string `json:"class"`
	Tier  int    `json:"tier"`

	// Method and Path are set for calls to a plain service.
	Method string `json:"method,omitempty"`
	Path   string `json:"path,omitempty"`

	FirstTokenMillis int64 `json:"first_token_ms"`
	DeadlineMillis   int64 `json:"deadline_ms"`
	// AgentClock is the latest reading of the receiving agent's clock that the router has, and
	// AgentClockAgeMillis its age when the attempt was sent; zero if it has none. From it the
	// agent computes how long the attempt was in transit.
	AgentClock          Clock `json:"heard,omitzero"`
	AgentClockAgeMillis int64 `json:"heard_ago_ms,omitempty"`
	// SentUnixMillis is the router's wall clock, for attempts without AgentClock.
	SentUnixMillis int64 `json:"sent_ms"`

	IdempotencyKey string `json:"key,omitempty"`
	NonIdempotent  bool   `json:"non_idempotent,omitempty"`
	// KeyIssuedMillis is the key's issue time in Unix milliseconds. If it is set, the key runs
	// at most once; 0 if unknown.
	KeyIssuedMillis int64 `json:"key_issued_ms,omitempty"`
	// Target is the model or service as a target name of package once; set with
	// KeyIssuedMillis.
	Target string `json:"target,omitempty"`
	// Resumed says that the caller has already received part of the answer.
	Resumed bool `json:"resumed,omitempty"`
	// BundleVersion is the version of the bundle that the router used.
	BundleVersion uint64 `json:"bundle"`
}

// Clock is a reading of an agent's clock, which has an arbitrary origin that differs between
// incarnations of the agent.
type Clock struct {
	Incarnation string `json:"i"`
	Millis      int64  `json:"t"`
}

// Status is an agent's state at one moment.
type Status struct {
	Endpoint string      `json:"endpoint"`
	Clock    Clock       `json:"clock"`
	Load     load.Report `json:"load"`
}

// Run says whether an attempt ran.
type Run string

// Values of Run. Only an agent can establish RunNot.
const (
	RunNot     Run = "not_run"
	RunYes     Run = "ran"
	RunUnknown Run = "unknown"
)

// Refusal is an agent's answer to an attempt that ended before any part of the engine's answer
// was relayed.
type Refusal struct {
	// Reason is a sched.Reason or one of the constants below.
	Reason           string `json:"reason"`
	Run              Run    `json:"run"`
	RetryAfterMillis int64  `json:"retry_after_ms,omitempty"`
	// EngineStatus and EngineBody are the engine's answer if the engine refused.
	EngineStatus int    `json:"engine_status,omitempty"`
	EngineBody   string `json:"engine_body,omitempty"`
	// Earlier is set if another request has used or may have used the key. With
	// ReasonDuplicate, Run refers to that request.
	Earlier *EarlierRequest `json:"earlier,omitempty"`
}

// Reasons of a refusal in addition to those of the scheduler.
const (
	ReasonLeaving       = "leaving"
	ReasonStale         = "stale"          // arrived after its deadline
	ReasonWrongEndpoint = "wrong_endpoint" // the address belongs to another endpoint
	ReasonBadEnvelope   = "bad_envelope"
	ReasonEngineDown    = "engine_down"   // connection failed, nothing was sent
	ReasonEngineFailed  = "engine_failed" // failed after the request was sent
	ReasonEngineRefused = "engine_refused"
	ReasonCancelled     = "cancelled"
	ReasonDuplicate     = "duplicate_key"
)

// RetryAfter returns how long to wait before a retry.
func (r Refusal) RetryAfter() time.Duration {
	return time.Duration(r.RetryAfterMillis) * time.Millisecond
}

// Ending is how a relayed answer ended.
type Ending string

// Endings of a relayed answer.
const (
	EndingComplete     Ending = "complete"
	EndingEngineFailed Ending = "engine_failed"
	EndingExpired      Ending = "expired"
	EndingCancelled    Ending = "cancelled"
	EndingLeaving      Ending = "leaving"
)

// End is the trailer of a relayed answer.
type End struct {
	Ending Ending `json:"ending"`
	// Tokens counts the tokens that the engine produced for this attempt.
	Tokens int         `json:"tokens"`
	Load   load.Report `json:"load"`
}

// ErrMalformed marks errors of headers that can't be decoded or are invalid.
var ErrMalformed = errors.New("malformed message between processes")

// Encode sets a header to the JSON encoding of a message.
func Encode(h http.Header, name string, message any) error {
	b, err := json.Marshal(message)
	if err != nil {
		return errors.Wrapf(err, "encode %s", name)
	}
	h.Set(name, string(b))
	return nil
}

// Decode decodes a message from a header; errors are marked ErrMalformed.
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

// Validate reports what is invalid in an envelope; errors are marked ErrMalformed.
func (e *Envelope) Validate() error {
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
