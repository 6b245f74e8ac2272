package dispatch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"coveferry/internal/bundle"
	"coveferry/internal/filters/relay"
	"coveferry/internal/load"
	"coveferry/internal/wire"
)

// Observer receives evidence about the health of endpoints from attempts. Its methods are
// called concurrently and must not block.
type Observer interface {
	// Answered receives the load report of a response. sent is when the request was sent,
	// or zero if unknown. It returns false if the report is from an earlier incarnation of
	// the agent and must be ignored.
	Answered(endpoint string, clock wire.Clock, sent time.Time, report load.Report) bool
	// Failed receives a connection failure. sent is false if the connection was refused,
	// so nothing was sent, and true if it broke later. incarnation is that of the process
	// that the attempt was addressed to, or empty if unknown.
	Failed(endpoint, incarnation string, sent bool)
}

// SetObserver sets the observer of all further attempts. It must be called before the
// filter is used.
func (f *Filter) SetObserver(o Observer) { f.observer = o }

// nopObserver is the default Observer.
type nopObserver struct{}

func (nopObserver) Answered(string, wire.Clock, time.Time, load.Report) bool { return true }
func (nopObserver) Failed(string, string, bool)                              {}

// reportConnectionFailure reports an attempt whose connection failed. Attempts ended by
// the caller or the deadline are no evidence about the connection.
func (f *Filter) reportConnectionFailure(ctx context.Context, e *bundle.Endpoint, err error) {
	var noResponse *NoResponseError
	var broken *relay.BrokenError
	switch {
	case err == nil || ctx.Err() != nil:
	case errors.As(err, &noResponse):
		f.observer.Failed(e.Name, e.ProcessID(), noResponse.Sent)
	case errors.As(err, &broken) && broken.Ending == "":
		f.observer.Failed(e.Name, e.ProcessID(), true)
	}
}
