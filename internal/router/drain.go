package router

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"coveferry/internal/api"
	"coveferry/internal/server"
	"coveferry/internal/wire"
)

// errAborted is the cancellation cause of requests that are still open when the router stops.
var errAborted = errors.New("the router is stopping")

// drain is the state of a planned stop.
type drain struct {
	closeConns atomic.Bool
	refuseNew  atomic.Bool
	// sendCtx is canceled to refuse the requests that were not sent to an endpoint yet.
	sendCtx     context.Context
	stopSending context.CancelFunc
	// abortCtx is canceled to abort the requests that are still open.
	abortCtx context.Context
	abort    context.CancelCauseFunc
}

func newDrain() *drain {
	d := &drain{}
	d.sendCtx, d.stopSending = context.WithCancel(context.Background())
	d.abortCtx, d.abort = context.WithCancelCause(context.Background())
	return d
}

// Stop carries out a planned stop by the plan. closeServer closes the listener for callers and waits at most so
// long for the open requests; its error is returned.
func (rt *Router) Stop(plan server.ShutdownPlan, closeServer func(grace time.Duration) error) error {
	return plan.Run(rt.CloseCallerConnections, rt.AbortOpenRequests, func() error {
		rt.RefuseNewRequests()
		timer := time.AfterFunc(plan.SendUntil(), rt.RefuseUnsentRequests)
		defer timer.Stop()
		return closeServer(plan.Grace)
	})
}

// CloseCallerConnections closes each caller connection after its next answer. The load balancer
// then opens new ones to other routers, and no idle connection is left when the router stops: a
// request sent on an idle connection while it closes would be lost.
func (rt *Router) CloseCallerConnections() { rt.drain.closeConns.Store(true) }

// RefuseNewRequests refuses new requests from now on, which leaves the rest of the planned stop
// (server.ShutdownPlan.Grace) to the open ones.
func (rt *Router) RefuseNewRequests() { rt.drain.refuseNew.Store(true) }

// RefuseUnsentRequests refuses the open requests that were not sent to an endpoint yet, since they may not end
// before open requests are aborted: those whose bodies still arrive, and those that wait for capacity.
func (rt *Router) RefuseUnsentRequests() { rt.drain.stopSending() }

// stoppingError is returned for requests that arrive after RefuseNewRequests, or that were not sent until
// RefuseUnsentRequests.
type stoppingError struct{}

func (stoppingError) Error() string { return "router: stopping, takes no new requests" }

// API implements api.Convertible.
func (stoppingError) API() *api.Error {
	return &api.Error{
		Status: http.StatusServiceUnavailable, Type: api.TypeUnavailable, Code: "router_stopping",
		Message: "this router is stopping; others serve on", Run: wire.RunNot, RetryAfter: retryAfterCapacity,
	}
}

// AbortOpenRequests aborts the requests that are still open near the end of
// server.ShutdownPlan.Grace, with a typed error.
func (rt *Router) AbortOpenRequests() {
	rt.drain.stopSending()
	rt.drain.abort(errAborted)
}

// withAbort returns a context that is canceled with errAborted when open requests are aborted.
// The returned function must be called once the request has ended.
func (d *drain) withAbort(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(d.abortCtx, func() { cancel(errAborted) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// announceClose sets "Connection: close" on the answer while caller connections are being
// closed.
func (rt *Router) announceClose(w http.ResponseWriter) {
	if rt.drain.closeConns.Load() || rt.closesConnections() {
		w.Header().Set("Connection", "close")
	}
}

func (rt *Router) closesConnections() bool {
	c := rt.cfg.Routing
	return c != nil && c.ShouldCloseConnections != nil && c.ShouldCloseConnections()
}

// abortError is returned for a request that the router's stop aborted. It doesn't unwrap to
// its cause, because a canceled context looks like a caller that disconnected.
type abortError struct {
	cause error
	// notSent says that the request was never sent to an endpoint, so that it didn't run.
	notSent bool
}

func (e *abortError) Error() string { return "router: ended by the router's stop: " + e.cause.Error() }

// API implements api.Convertible.
func (e *abortError) API() *api.Error {
	if e.notSent {
		return stoppingError{}.API()
	}
	return &api.Error{
		Status: http.StatusServiceUnavailable, Type: api.TypeUnavailable, Code: "router_stopping",
		Message: "the router stopped before the answer was whole; the request may have run",
		Run:     wire.RunUnknown, RetryAfter: retryAfterCapacity,
	}
}
