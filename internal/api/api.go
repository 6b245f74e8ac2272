// Package api holds what callers see besides the usual completions protocol:
// coveferry's headers and its typed errors.
package api

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"coveferry/internal/wire"
)

// Headers that a caller may send.
const (
	HeaderAuthorization = "Authorization" // Bearer KEY
	HeaderClass         = "Coveferry-Class"
	// HeaderDeadline is how long the answer is worth waiting for: "30s".
	HeaderDeadline       = "Coveferry-Deadline"
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderNonIdempotent set to "true" marks a request that must not run
	// twice.
	HeaderNonIdempotent = "Coveferry-Non-Idempotent"
	// HeaderKeyTime is when the idempotency key was issued, by RFC 3339. A
	// UUID of version 7 as the key tells it by itself.
	HeaderKeyTime = "Coveferry-Key-Time"
)

// Headers that coveferry sends.
const (
	HeaderRequestID  = "Coveferry-Request-Id"
	HeaderRetryAfter = "Retry-After"
)

// Type is the broad kind of an error, for callers to branch on.
type Type string

// The types of error.
const (
	TypeAuthentication Type = "authentication_error"
	TypePermission     Type = "permission_error"
	TypeInvalid        Type = "invalid_request_error"
	TypeRateLimit      Type = "rate_limit_error" // the team's own limit
	TypeOverloaded     Type = "overloaded_error" // no room for this tier now
	TypeTimeout        Type = "timeout_error"
	TypeUpstream       Type = "upstream_error" // the endpoint failed
	TypeUnavailable    Type = "unavailable_error"
	TypeConflict       Type = "conflict_error" // the idempotency key is taken
)

// Error is an error as a caller gets it, as the body of an answer or as the
// last event of a stream that had begun.
type Error struct {
	Status  int    `json:"-"`
	Type    Type   `json:"type"`
	Code    string `json:"code"`
	Message string `json:"message"`
	// Run says whether the request ran. "not_run" is a promise.
	Run wire.Run `json:"run"`
	// RetryAfter is when to come back; 0 if coming back doesn't help.
	RetryAfter time.Duration `json:"-"`
	// Fractions gives RetryAfter in fractions of a second, for callers that take
	// them because their deadlines are short.
	Fractions bool   `json:"-"`
	RequestID string `json:"request_id,omitempty"`
	// Earlier is the request that used the idempotency key before, or says
	// that one can't be ruled out. For a duplicate Run tells of that one.
	Earlier *wire.Earlier `json:"earlier,omitempty"`
}

// Error implements error.
func (e *Error) Error() string { return string(e.Type) + "/" + e.Code + ": " + e.Message }

type errorBody struct {
	Error errorFields `json:"error"`
}

type errorFields struct {
	*Error
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty"`
}

// JSON is the body that a caller gets.
func (e *Error) JSON() []byte {
	body := errorBody{errorFields{Error: e, RetryAfterMillis: e.RetryAfter.Milliseconds()}}
	b, err := json.Marshal(body)
	if err != nil { // strings and integers only: can't happen
		return []byte(`{"error":{"type":"unavailable_error"}}`)
	}
	return b
}

// formatRetryAfter is in whole seconds, rounded up, as RFC 9110 asks, or in
// fractions for callers that take them.
func (e *Error) formatRetryAfter() string {
	if e.Fractions {
		return strconv.FormatFloat(e.RetryAfter.Seconds(), 'f', -1, 64)
	}
	return strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds())))
}

// Write sends the error as a whole answer.
func (e *Error) Write(w http.ResponseWriter) {
	GiveTime(w)
	h := w.Header()
	h.Set("Content-Type", "application/json")
	if e.RetryAfter > 0 {
		h.Set(HeaderRetryAfter, e.formatRetryAfter())
	}
	w.WriteHeader(e.Status)
	_, _ = w.Write(e.JSON()) // the caller may have left
}
