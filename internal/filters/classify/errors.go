package classify

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"coveferry/internal/api"
	"coveferry/internal/once"
	"coveferry/internal/request"
	"coveferry/internal/wire"
)

// Code identifies what is wrong with a request.
type Code string

// Codes of an Error.
const (
	CodeMalformed      Code = "malformed_body"
	CodeBadHeader      Code = "bad_header"
	CodeUnknownClass   Code = "unknown_class"
	CodeUnknownModel   Code = "unknown_model"
	CodeUnknownService Code = "unknown_service"
	CodeKeyWithoutTime Code = "key_without_time"
	CodeBadKeyTime     Code = "bad_key_time"
)

// Error is an invalid request.
type Error struct {
	Code   Code
	Detail string
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("classify: %s: %s", e.Code, e.Detail) }

// API implements api.Convertible.
func (e *Error) API() *api.Error {
	out := &api.Error{
		Status: http.StatusBadRequest, Type: api.TypeInvalid,
		Code: string(e.Code), Message: e.Detail, Run: wire.RunNot,
	}
	switch e.Code {
	case CodeUnknownClass:
		out.Status = http.StatusForbidden
		out.Type = api.TypePermission
	case CodeUnknownModel, CodeUnknownService:
		out.Status = http.StatusNotFound
		out.Message = fmt.Sprintf("nothing called %q is served here; GET /v1/models lists the models", e.Detail)
	}
	return out
}

// keyWithoutTimeDetail explains what the key of a non-idempotent request needs.
const keyWithoutTimeDetail = "the " + api.HeaderIdempotencyKey + " of a request that must not run twice has to tell when it was issued: " +
	"use a UUID of version 7, or send " + api.HeaderKeyTime + " with the same time at each try"

// keyError converts the error of parsing an idempotency key.
func keyError(err error) error {
	if errors.Is(err, once.ErrKeyTooLong) {
		return headerError(api.HeaderIdempotencyKey, fmt.Sprintf("at most %d bytes", once.MaxKeyBytes))
	}
	return &Error{Code: CodeBadKeyTime, Detail: api.HeaderKeyTime + ": " + err.Error()}
}

func headerError(name, allowed string) error {
	return &Error{Code: CodeBadHeader, Detail: name + " must be " + allowed}
}

func unknownClassError(r *request.Request, name string) error {
	granted := make([]string, len(r.Team.Grants))
	for i, g := range r.Team.Grants {
		granted[i] = g.Class
	}
	detail := fmt.Sprintf("class %q is not granted to team %s; granted: %s", name, r.Team.Name, strings.Join(granted, ", "))
	return &Error{Code: CodeUnknownClass, Detail: detail}
}
