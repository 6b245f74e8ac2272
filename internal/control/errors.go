package control

import (
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// Reasons why a call has no reply, for errors.Is.
var (
	// ErrUnreachable: no connection could be made, so the call was never sent.
	ErrUnreachable = errors.New("control: unreachable")
	// ErrOutcomeUnknown: the connection broke or the call timed out; the peer
	// may or may not have handled the call.
	ErrOutcomeUnknown = errors.New("control: no reply")
	// ErrTooLarge: a message exceeds the maximum size.
	ErrTooLarge = errors.New("control: message too large")
	// ErrMalformed: a frame can't be decoded.
	ErrMalformed = errors.New("control: malformed message")
	// ErrClosed: the client or the pool was closed.
	ErrClosed = errors.New("control: closed")
)

// CallError is the reason why a call has no reply, with the underlying error.
type CallError struct {
	Kind error // one of the errors above
	Err  error
}

// Error returns the reason and the underlying error.
func (e *CallError) Error() string { return e.Kind.Error() + ": " + e.Err.Error() }

// Unwrap returns the underlying error.
func (e *CallError) Unwrap() error { return e.Err }

// Is reports whether target is the reason of this error.
func (e *CallError) Is(target error) bool { return target == e.Kind }

func unreachable(err error) error { return &CallError{Kind: ErrUnreachable, Err: err} }

// Code is the reason why a peer refused a call.
type Code int64

// Error codes. Those defined by JSON-RPC keep their numbers.
const (
	CodeUnknownMethod Code = jsonrpc2.CodeMethodNotFound
	CodeInvalid       Code = jsonrpc2.CodeInvalidParams
	CodeInternal      Code = jsonrpc2.CodeInternalError
	// CodeForbidden: the caller's role is not allowed to call the method.
	CodeForbidden Code = 403
	// CodeBusy: the caller has too many concurrent calls at this peer.
	CodeBusy Code = 429
	// CodeUnavailable: the peer can't answer now, for example during startup.
	CodeUnavailable Code = 503
)

// Error is a peer's refusal of a call.
type Error struct {
	Code    Code
	Message string
}

// Error returns the peer's message and the code.
func (e *Error) Error() string { return fmt.Sprintf("%s (code %d)", e.Message, e.Code) }

// HasCode reports whether err is a refusal with the given code.
func HasCode(err error, code Code) bool {
	var e *Error
	return errors.As(err, &e) && e.Code == code
}

// toWire converts a handler's error to an error of the JSON-RPC library.
func toWire(err error) *jsonrpc2.Error {
	var e *Error
	if errors.As(err, &e) {
		return &jsonrpc2.Error{Code: int64(e.Code), Message: e.Message}
	}
	return &jsonrpc2.Error{Code: int64(CodeInternal), Message: err.Error()}
}

// fromWire converts an error of the JSON-RPC library to one of this package.
func fromWire(err error) error {
	var remote *jsonrpc2.Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &remote):
		return &Error{Code: Code(remote.Code), Message: remote.Message}
	case errors.Is(err, ErrTooLarge):
		return err
	default:
		return &CallError{Kind: ErrOutcomeUnknown, Err: err}
	}
}
