// Package api defines what callers see in addition to the completions protocol: coveferry's
// headers and typed errors.
package api

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"coveferry/internal/wire"
)

// Request headers of callers.
const (
	HeaderAuthorization = "Authorization" // Bearer KEY
	HeaderClass         = "Coveferry-Class"
	// HeaderDeadline is how long the caller waits for the answer, such as "30s".
	HeaderDeadline       = "Coveferry-Deadline"
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderNonIdempotent set to "true" marks a request that must not run twice.
	HeaderNonIdempotent = "Coveferry-Non-Idempotent"
	// HeaderKeyTime is the issue time of the idempotency key in RFC 3339 format. It isn't
	// needed if the key is a version 7 UUID, which contains its time.
	HeaderKeyTime = "Coveferry-Key-Time"
)

// Response headers.
const (
	HeaderRequestID  = "Coveferry-Request-Id"
	HeaderRetryAfter = "Retry-After"
)

// Type is the category of an error, for callers to branch on.
type Type string

// Error types.
const (
	TypeAuthentication Type = "authentication_error"
	TypePermission     Type = "permission_error"
	TypeInvalid        Type = "invalid_request_error"
	TypeRateLimit      Type = "rate_limit_error" // the team's own limit
	TypeOverloaded     Type = "overloaded_error" // no capacity for this tier
	TypeTimeout        Type = "timeout_error"
	TypeUpstream       Type = "upstream_error" // the endpoint failed
	TypeUnavailable    Type = "unavailable_error"
	TypeConflict       Type = "conflict_error" // the idempotency key is in use
)

// Error is an error as sent to a caller, as the body of a response or as the last event of a
// stream.
type Error struct {
	Status  int    `json:"-"`
	Type    Type   `json:"type"`
	Code    string `json:"code"`
	Message string `json:"message"`
	// Run says whether the request ran. "not_run" is a guarantee.
	Run wire.Run `json:"run"`
	// RetryAfter is how long to wait before a retry; 0 if a retry doesn't help.
	RetryAfter time.Duration `json:"-"`
	// FractionalRetryAfter formats RetryAfter in fractions of a second, for callers with short
	// deadlines that accept them.
	FractionalRetryAfter bool   `json:"-"`
	RequestID            string `json:"request_id,omitempty"`
	// Earlier is the request that used the idempotency key before, or says that one can't be
	// ruled out. For a duplicate key, Run refers to that request.
	Earlier *wire.EarlierRequest `json:"earlier,omitempty"`
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

// JSON returns the response body.
func (e *Error) JSON() []byte {
	body := errorBody{errorFields{Error: e, RetryAfterMillis: e.RetryAfter.Milliseconds()}}
	b, err := json.Marshal(body)
	if err != nil { // strings and integers only: can't happen
		return []byte(`{"error":{"type":"unavailable_error"}}`)
	}
	return b
}

// formatRetryAfter returns whole seconds, rounded up, as RFC 9110 requires, or fractions if
// FractionalRetryAfter is set.
func (e *Error) formatRetryAfter() string {
	if e.FractionalRetryAfter {
		return strconv.FormatFloat(e.RetryAfter.Seconds(), 'f', -1, 64)
	}
	return strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds())))
}

// Write sends the error as a complete response.
func (e *Error) Write(w http.ResponseWriter) {
	ExtendWriteDeadline(w)
	h := w.Header()
	h.Set("Content-Type", "application/json")
	if e.RetryAfter > 0 {
		h.Set(HeaderRetryAfter, e.formatRetryAfter())
	}
	w.WriteHeader(e.Status)
	_, _ = w.Write(e.JSON()) // the caller may have disconnected
}
