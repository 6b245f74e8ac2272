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

// Observer is told what attempts show of their endpoints. It is called by many
// goroutines at once and must not wait.
type Observer interface {
	// Answered takes the report of an answer to a request that was sent at a moment, zero
	// if that isn't known. False means that it is of an earlier incarnation of the agent
	// and must not count.
	Answered(endpoint string, clock wire.Clock, sent time.Time, report load.Report) bool
	// Failed takes a connection that was refused, so that nothing was sent, or
	// that broke later. incarnation is that of the process it led to, empty if unknown.
	Failed(endpoint, incarnation string, sent bool)
}

// Observe has an observer told of each attempt from now on. It must be called
// before the filter is used.
func (f *Filter) Observe(o Observer) { f.observer = o }

// nopObserver is the Observer that a filter begins with.
type nopObserver struct{}

func (nopObserver) Answered(string, wire.Clock, time.Time, load.Report) bool { return true }
func (nopObserver) Failed(string, string, bool)                              {}

// reportConnectionFailure tells of an attempt whose connection failed. One that the caller or
// the deadline ended says nothing of the connection.
func (f *Filter) reportConnectionFailure(ctx context.Context, e *bundle.Endpoint, err error) {
	var noAnswer *NoAnswerError
	var broken *relay.BrokenError
	switch {
	case err == nil || ctx.Err() != nil:
	case errors.As(err, &noAnswer):
		f.observer.Failed(e.Name, e.Process(), noAnswer.Sent)
	case errors.As(err, &broken) && broken.Ending == "":
		f.observer.Failed(e.Name, e.Process(), true)
	}
}
