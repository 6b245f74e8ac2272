// Package limit enforces the rate and concurrency limits of teams, which package limits
// tracks. It needs the team and the tier, so put it behind classify. Put it before
// attempts, so that a retry doesn't count twice.
package limit

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"coveferry/internal/api"
	"coveferry/internal/bundle"
	"coveferry/internal/credit"
	"coveferry/internal/limits"
	"coveferry/internal/pipeline"
	"coveferry/internal/request"
	"coveferry/internal/wire"
)

// Code identifies the limit that was reached.
type Code string

// The limits of a team.
const (
	CodeRequests    Code = "team_requests"
	CodeTokens      Code = "team_tokens"
	CodeConcurrency Code = "team_concurrency"
)

// Error is a request that exceeds a limit of its team.
type Error struct {
	Code       Code
	Team       string
	RetryAfter time.Duration
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("limit: team %s is over its limit %s", e.Team, e.Code)
}

// API implements api.Convertible.
func (e *Error) API() *api.Error {
	return &api.Error{
		Status: http.StatusTooManyRequests, Type: api.TypeRateLimit, Code: string(e.Code),
		Message: "team " + e.Team + " is over its own limit", Run: wire.RunNot, RetryAfter: e.RetryAfter,
	}
}

// Filter implements pipeline.Filter.
type Filter struct{ limits *limits.Limiter }

// New returns a filter whose limits apply to this router alone.
func New() *Filter { return NewWithLimiter(limits.New(limits.Config{})) }

// NewWithLimiter returns a filter that uses the limiter l.
func NewWithLimiter(l *limits.Limiter) *Filter { return &Filter{limits: l} }

// Name implements pipeline.Filter.
func (*Filter) Name() string { return "limit" }

// Do refuses the request if its team is over a limit. The tokens of a response are charged
// at its end, since their number isn't known before.
func (f *Filter) Do(ctx context.Context, r *request.Request, next pipeline.Next) error {
	if r.Team.Limits == (bundle.TeamLimits{}) {
		return next(ctx, r)
	}
	ticket, err := f.limits.Admit(time.Now(), r.Team, r.Tier)
	if err != nil {
		return newError(r.Team, err)
	}
	defer func() { ticket.End(time.Now(), r.Delivered.Tokens) }()
	return next(ctx, r)
}

// newError converts the limiter's error.
func newError(t *bundle.Team, err error) error {
	var reached *limits.Error
	if !errors.As(err, &reached) {
		return err
	}
	return &Error{Code: codeForKind(reached.Kind), Team: t.Name, RetryAfter: reached.RetryAfter}
}

func codeForKind(k credit.Kind) Code {
	switch k {
	case credit.KindTokens:
		return CodeTokens
	case credit.KindConcurrency:
		return CodeConcurrency
	default:
		return CodeRequests
	}
}
