// Package admit decides whether the holder of an API key may use a route. Keys may be
// revoked at any time, so they are accepted only while the router's key data is fresh.
package admit

import (
	"context"
	"net/http"
	"time"

	"coveferry/internal/age"
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
	Age   age.Age
	Limit time.Duration
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

// Filter implements pipeline.Filter.
type Filter struct{ maxAge func() time.Duration }

// New returns a filter that accepts keys while the route table of their request is no older than
// maxAge; 0 means always.
func New(maxAge func() time.Duration) *Filter { return &Filter{maxAge: maxAge} }

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
	if !r.Routes.Table.NeedsKeys() {
		return nil
	}
	team := r.Routes.Table.Team(r.APIKey)
	stale := f.checkFreshness(r.Routes)
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

func (f *Filter) checkFreshness(routes route.Snapshot) error {
	limit := f.maxAge()
	if routes.OlderThan(limit) {
		return &StaleError{Age: routes.Age, Limit: limit}
	}
	return nil
}

func setTeam(r *request.Request, team *route.Team) {
	r.TeamName, r.TeamResidency = team.Name, team.Residency
	if team.Tier != nil {
		r.Tier = max(0, *team.Tier) // clamped: 0 is the highest rank
	}
}
