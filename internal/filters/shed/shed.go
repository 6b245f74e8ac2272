// Package shed implements load shedding: it refuses requests that endpoints would refuse
// anyway before they are sent, so that the cost of refusals doesn't add to an overload. It
// never refuses a tier while an endpoint has lower-tier work that could be preempted. Put
// it behind limit and before attempts.
package shed

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"coveferry/internal/api"
	"coveferry/internal/balance"
	"coveferry/internal/pipeline"
	"coveferry/internal/request"
	"coveferry/internal/throttle"
	"coveferry/internal/wire"
)

// Bounds of the Retry-After sent with refusals.
const (
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

const shardCount = 16

// Error is a request that was refused because of overload.
type Error struct {
	Tier       int
	RetryAfter time.Duration
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("shed: tier %d is overloaded", e.Tier) }

// API implements api.Convertible.
func (e *Error) API() *api.Error {
	return &api.Error{
		Status: http.StatusTooManyRequests, Type: api.TypeOverloaded, Code: "overloaded",
		Message: "overloaded: endpoints refuse requests of this tier now",
		Run:     wire.RunNot, RetryAfter: e.RetryAfter,
	}
}

// Filter implements pipeline.Filter.
type Filter struct {
	cfg    throttle.Config
	pool   *balance.Pool
	random func() float64
	shards [shardCount]shard
}

// shard holds the throttles of a subset of the models and services.
type shard struct {
	mu        sync.Mutex
	throttles map[string]*throttle.Throttle
}

// New returns a filter without history. random returns random numbers from [0, 1).
func New(cfg throttle.Config, pool *balance.Pool, random func() float64) *Filter {
	f := &Filter{cfg: cfg, pool: pool, random: random}
	for i := range f.shards {
		f.shards[i].throttles = make(map[string]*throttle.Throttle)
	}
	return f
}

// Name implements pipeline.Filter.
func (*Filter) Name() string { return "shed" }

// Do refuses the request with an *Error, or passes it on and records whether an endpoint
// accepted it.
func (f *Filter) Do(ctx context.Context, r *request.Request, next pipeline.Next) error {
	t := f.throttleFor(r)
	now := time.Now()
	if !t.Allow(now, r.Tier, f.random()) && f.pool.MayReject(now, r.Tier, r.Candidates) {
		t.Refused(now, r.Tier)
		return &Error{Tier: r.Tier, RetryAfter: f.retryAfter(now, r)}
	}
	r.OnFirstToken = func() { t.Accepted(time.Now(), r.Tier) }
	err := next(ctx, r)
	if err != nil && r.Delivered.FirstToken.IsZero() && ctx.Err() == nil {
		t.Refused(time.Now(), r.Tier)
	}
	return err
}

// throttleFor returns the throttle shared by requests for the same model or service.
func (f *Filter) throttleFor(r *request.Request) *throttle.Throttle {
	name := r.Model + "/" + r.Service
	sh := &f.shards[xxhash.Sum64String(name)%shardCount]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	t, known := sh.throttles[name]
	if !known {
		t = throttle.New(f.cfg)
		sh.throttles[name] = t
	}
	return t
}

// retryAfter returns the shortest time in which an endpoint will have processed the work
// queued ahead of the request, by the drain rate that it reported.
func (f *Filter) retryAfter(now time.Time, r *request.Request) time.Duration {
	shortest := maxRetryAfter
	for _, v := range f.pool.Views(now, r.Candidates) {
		if v.Load.DrainPerSecond <= 0 {
			continue
		}
		wait := float64(v.Load.QueuedAhead(r.Tier)+1) / v.Load.DrainPerSecond
		shortest = min(shortest, time.Duration(wait*float64(time.Second)))
	}
	return max(shortest, minRetryAfter)
}
