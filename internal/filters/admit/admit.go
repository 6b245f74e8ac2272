// Package admit decides whether the holder of an API key may use a route. Keys may be
// revoked at any time, so they are accepted only while the router's key data is fresh.
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

// retryAfterStale is the Retry-After sent while key data is stale: about the time until
// the next read. Another router may accept the key before that.
const retryAfterStale = 100 * time.Millisecond

// KeyError is a key that belongs to no team.
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

// StaleError is a key that can't be verified because the router's key data is too old.
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

// Config configures a Filter.
type Config struct {
	// Age returns the age of the key data.
	Age func() time.Duration
	// MaxAge returns the age up to which keys are accepted; 0 means always.
	MaxAge func() time.Duration
}

// Filter implements pipeline.Filter.
type Filter struct{ cfg Config }

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
	team := r.Table.Team(r.APIKey)
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
		r.Tier = max(0, *team.Tier) // clamped: 0 is the highest rank
	}
}
