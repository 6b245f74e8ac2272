package router

import (
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"coveferry/internal/api"
	"coveferry/internal/wire"
)

// retryAfterCapacity is the Retry-After of a router that is at capacity or stopping.
const retryAfterCapacity = time.Second

// receiveError is returned for a request that the router couldn't read or accept.
type receiveError struct {
	status  int
	code    string
	message string
	cause   error
}

func (e *receiveError) Error() string { return "receive: " + e.code + ": " + e.message }

func (e *receiveError) Unwrap() error { return e.cause }

// API implements api.Convertible.
func (e *receiveError) API() *api.Error {
	out := &api.Error{
		Status: e.status, Type: api.TypeInvalid, Code: e.code, Message: e.message, Run: wire.RunNot,
	}
	if e.status == http.StatusServiceUnavailable {
		out.Type = api.TypeOverloaded
		out.RetryAfter = retryAfterCapacity
	}
	return out
}

func bodyTooLarge(limit int64) error {
	return &receiveError{
		status: http.StatusRequestEntityTooLarge, code: "body_too_large",
		message: fmt.Sprintf("the body is larger than %d bytes", limit),
	}
}

func headersTooLarge(limit int) error {
	return &receiveError{
		status: http.StatusRequestHeaderFieldsTooLarge, code: "headers_too_large",
		message: fmt.Sprintf("the headers are larger than %d bytes", limit),
	}
}

// bodyError converts an error from reading the body to a receiveError.
func bodyError(err error, limit int64) error {
	var large *http.MaxBytesError
	var received *receiveError
	switch {
	case errors.As(err, &received):
		return received
	case errors.As(err, &large):
		return bodyTooLarge(limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &receiveError{
			status: http.StatusRequestTimeout, code: "body_too_slow",
			message: "the body did not arrive in time", cause: err,
		}
	default:
		return &receiveError{
			status: http.StatusBadRequest, code: "body_cut_off",
			message: "the body could not be read to its end", cause: err,
		}
	}
}

func capacityExceeded(what string) error {
	return &receiveError{
		status: http.StatusServiceUnavailable, code: "router_full",
		message: "this router holds all the " + what + " it may",
	}
}
