package engine

import (
	"net/http"

	"github.com/cockroachdb/errors"

	"coveferry/internal/standin/web"
)

// RequestError is an error answer of the engine, in vLLM's format.
type RequestError struct {
	Status  int
	Type    string
	Message string
}

// Error returns the message.
func (e *RequestError) Error() string { return e.Message }

// Types of errors in error bodies.
const (
	typeBadRequest = "BadRequestError"
	typeNotFound   = "NotFoundError"
	typeConflict   = "ConflictError"
)

func badRequest(format string, args ...any) *RequestError {
	return newError(http.StatusBadRequest, typeBadRequest, format, args...)
}

func notFound(format string, args ...any) *RequestError {
	return newError(http.StatusNotFound, typeNotFound, format, args...)
}

func conflict(format string, args ...any) *RequestError {
	return newError(http.StatusConflict, typeConflict, format, args...)
}

func newError(status int, kind, format string, args ...any) *RequestError {
	return &RequestError{Status: status, Type: kind, Message: errors.Newf(format, args...).Error()}
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    int     `json:"code"`
}

// writeError answers with err's status, or 500 if it has none.
func writeError(w http.ResponseWriter, err error) {
	var re *RequestError
	if !errors.As(err, &re) {
		re = &RequestError{Status: http.StatusInternalServerError, Type: "InternalServerError", Message: err.Error()}
	}
	web.WriteJSON(w, re.Status, errorBody{Error: errorDetail{Message: re.Message, Type: re.Type, Code: re.Status}})
}
