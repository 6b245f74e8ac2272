// Package authenticate identifies the caller's team by its API key. Put it first, so that
// no work is done for unauthenticated requests.
package authenticate

import (
	"context"
	"net/http"
	"strings"

	"coveferry/internal/api"
	"coveferry/internal/pipeline"
	"coveferry/internal/request"
	"coveferry/internal/wire"
)

const bearer = "Bearer "

// Code says why authentication failed.
type Code string

// Codes of an Error.
const (
	CodeMissing Code = "missing_key"
	CodeWrong   Code = "wrong_key"
)

// Error is a request without a valid key.
type Error struct{ Code Code }

// Error implements error.
func (e *Error) Error() string { return "authenticate: " + string(e.Code) }

// API implements api.Convertible.
func (e *Error) API() *api.Error {
	msg := `send the team's key as "Authorization: Bearer KEY"`
	if e.Code == CodeWrong {
		msg = "no team holds this key"
	}
	return &api.Error{
		Status: http.StatusUnauthorized, Type: api.TypeAuthentication,
		Code: string(e.Code), Message: msg, Run: wire.RunNot,
	}
}

// Filter implements pipeline.Filter.
type Filter struct{}

// Name implements pipeline.Filter.
func (Filter) Name() string { return "authenticate" }

// Do sets the request's team.
func (Filter) Do(ctx context.Context, r *request.Request, next pipeline.Next) error {
	key, found := strings.CutPrefix(r.Header.Get(api.HeaderAuthorization), bearer)
	if !found || key == "" {
		return &Error{Code: CodeMissing}
	}
	team, known := r.Snapshot.TeamByKey(key)
	if !known {
		return &Error{Code: CodeWrong}
	}
	r.Team = team
	return next(ctx, r)
}
