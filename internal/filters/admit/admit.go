// Package admit decides whether the holder of a key may use a route. A key may
// have been revoked since the router last heard, so keys count only while what
// the router knows of them is fresh.
package admit

import (
	"context"
	"net/http"
	"time"

	"coveferry/internal/api"
	"coveferry/internal/pipeline"
	"coveferry/internal/request"
	"coveferry/internal/route"
	"coveferry/internal/wire"
)

// retryAfterStale is when a caller may come back, to this router or another,
// where keys can't be trusted: about the time that one further reading takes.
const retryAfterStale = 100 * time.Millisecond

// KeyError is a key that no team holds.
type KeyError struct{}

// Error implements error.
func (*KeyError) Error() string { return "admit: no team holds the key" }

// API implements api.Convertible.
func (*KeyError) API() *api.Error {
	return &api.Error{
		Status: http.StatusUnauthorized, Type: api.TypeAuthentication, Code: "unknown_key",
		Message: "no team holds this key", Run: wire.RunNot,
	}
}

// StaleError is a key that can't be trusted, since the router has not heard of
// revoked keys for too long.
type StaleError struct {
	Age, Limit time.Duration
}

// Error implements error.
func (e *StaleError) Error() string {
	return "admit: knowledge of keys is " + e.Age.String() + " old, over the limit of " + e.Limit.String()
}

// API implements api.Convertible.
func (e *StaleError) API() *api.Error {
	return &api.Error{
		Status: http.StatusServiceUnavailable, Type: api.TypeUnavailable, Code: "keys_stale",
		Message:    "this router can't tell whether the key is still valid; another may",
		Run:        wire.RunNot,
		RetryAfter: retryAfterStale,
	}
}

// Config is what a filter needs.
type Config struct {
	// Age is how old the knowledge of keys is.
	Age func() time.Duration
	// MaxAge is the age up to which keys are trusted; 0 trusts them always.
	MaxAge func() time.Duration
}

// Filter implements pipeline.Filter.
type Filter struct{ cfg Config }

// New returns a filter.
func New(cfg Config) *Filter { return &Filter{cfg: cfg} }

// Name implements pipeline.Filter.
func (*Filter) Name() string { return "admit" }

// Do sets the request's team and tier. Its errors are *KeyError and *StaleError.
func (f *Filter) Do(ctx context.Context, r *request.Request, next pipeline.Next) error {
	if err := f.admit(r); err != nil {
		return err
	}
	return next(ctx, r)
}

func (f *Filter) admit(r *request.Request) error {
	if !r.Table.NeedsKeys() {
		return nil
	}
	team := r.Table.Team(r.Key)
	stale := f.checkFreshness()
	if r.Route.Public {
		if team != nil && stale == nil {
			setTeam(r, team)
		}
		return nil
	}
	if stale != nil {
		return stale
	}
	if team == nil {
		return &KeyError{}
	}
	setTeam(r, team)
	return nil
}

func (f *Filter) checkFreshness() error {
	age, limit := f.cfg.Age(), f.cfg.MaxAge()
	if limit > 0 && age > limit {
		return &StaleError{Age: age, Limit: limit}
	}
	return nil
}

func setTeam(r *request.Request, team *route.Team) {
	r.TeamName, r.TeamResidency = team.Name, team.Residency
	if team.Tier != nil {
		r.Tier = max(0, *team.Tier) // no rank is above the highest
	}
}
