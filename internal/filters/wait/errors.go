package wait

import (
	"fmt"
	"net/http"
	"time"

	"coveferry/internal/api"
	"coveferry/internal/waiting"
	"coveferry/internal/wire"
)

// Reason is why a request was refused.
type Reason string

const (
	// ReasonLate means that the request can't be answered in time any more.
	ReasonLate Reason = "late"
	// ReasonFull means that the queue reached its bound and others go first.
	ReasonFull Reason = "full"
	// ReasonStopping means that the router stops and sends nothing any more.
	ReasonStopping Reason = "stopping"
	// reasonShare counts what Config.Admit refused.
	reasonShare = "share"
)

// retryAfterStop is what callers are told at a stop: other routers serve on, and need no time.
const retryAfterStop = 100 * time.Millisecond

// RefusedError is a request that was not sent because its service has no capacity for it in time.
type RefusedError struct {
	Reason Reason
	// Wait is the expected wait on arrival and Bound the longest one allowed.
	Wait, Bound time.Duration
	// Position is the number of requests that were ahead on arrival.
	Position int
	// Return says when the caller should come back.
	Return waiting.Return
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("wait: refused (%s) behind %d requests: expected to wait %s of at most %s",
		e.Reason, e.Position, e.Wait.Round(time.Millisecond), e.Bound.Round(time.Millisecond))
}

// API implements api.Convertible.
func (e *RefusedError) API() *api.Error {
	if e.Reason == ReasonStopping {
		return &api.Error{
			Status: http.StatusServiceUnavailable, Type: api.TypeUnavailable, Code: "router_stopping",
			Message: "this router is stopping; others serve on", Run: wire.RunNot, RetryAfter: e.Return.After,
		}
	}
	return &api.Error{
		Status: http.StatusServiceUnavailable, Type: api.TypeOverloaded, Code: "waiting_" + string(e.Reason),
		Message: "overloaded: no endpoint has capacity for the request in time", Run: wire.RunNot,
		RetryAfter: e.Return.After,
	}
}
