package router

import (
	"context"
	"net/http"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"coveferry/internal/api"
	"coveferry/internal/wire"
)

// errEnded is the cause with which open requests are ended at a router's stop.
var errEnded = errors.New("the router is stopping")

// drain is how far a router's planned stop has come.
type drain struct {
	leaving atomic.Bool
	// refusing says that new requests are refused.
	refusing atomic.Bool
	// over ends when open requests are to end.
	over context.Context
	end  context.CancelCauseFunc
}

func newDrain() *drain {
	over, end := context.WithCancelCause(context.Background())
	return &drain{over: over, end: end}
}

// Leave makes the connections of callers close behind their next answer, so
// that the balancer opens new ones elsewhere and none is idle when the router
// stops: a request sent on an idle connection as it closes would be lost.
func (rt *Router) Leave() { rt.drain.leaving.Store(true) }

// Refuse has new requests refused from now on, so that what is under way has the
// rest of the time of a planned stop.
func (rt *Router) Refuse() { rt.drain.refusing.Store(true) }

// stoppingError is a request that came when the router took no more.
type stoppingError struct{}

func (stoppingError) Error() string { return "router: stopping, takes no new requests" }

// API implements api.Convertible.
func (stoppingError) API() *api.Error {
	return &api.Error{
		Status: http.StatusServiceUnavailable, Type: api.TypeUnavailable, Code: "router_stopping",
		Message: "this router is stopping; others serve on", Run: wire.RunNot, RetryAfter: retryAfterFull,
	}
}

// EndOpen ends the requests still open with a typed error, for what the time of
// a planned stop doesn't suffice.
func (rt *Router) EndOpen() { rt.drain.end(errEnded) }

// follow ends ctx when open requests are to end. The function it returns must
// be called once the request has ended.
func (d *drain) follow(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(d.over, func() { cancel(errEnded) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// announce tells the caller's connection to close behind the answer.
func (rt *Router) announce(w http.ResponseWriter) {
	if rt.drain.leaving.Load() || rt.turnsAway() {
		w.Header().Set("Connection", "close")
	}
}

func (rt *Router) turnsAway() bool {
	c := rt.cfg.Routing
	return c != nil && c.TurnAway != nil && c.TurnAway()
}

// endedError is a request that was cut off by the router's stop. It doesn't
// unwrap to its cause, which looks like a caller that left.
type endedError struct{ cause error }

func (e *endedError) Error() string { return "router: ended by the router's stop: " + e.cause.Error() }

// API implements api.Convertible.
func (e *endedError) API() *api.Error {
	return &api.Error{
		Status: http.StatusServiceUnavailable, Type: api.TypeUnavailable, Code: "router_stopping",
		Message: "the router stopped before the answer was whole; the request may have run",
		Run:     wire.RunUnknown, RetryAfter: retryAfterFull,
	}
}
