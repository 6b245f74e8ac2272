package relay

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"coveferry/internal/bundle"
	"coveferry/internal/request"
)

// endCheckTimeout bounds the question whether an endpoint's process still runs. A caller waits for
// the end of its answer meanwhile.
const endCheckTimeout = time.Second

// ProcessAlive asks an endpoint whether the process that the router knows still runs.
type ProcessAlive func(ctx context.Context, e *bundle.Endpoint) bool

// errConnectionEnded is the end of a connection that doesn't complete the answer. It counts as
// a broken connection.
var errConnectionEnded = errors.Wrap(io.ErrUnexpectedEOF, "the connection ended")

// errProcessEnded is the end of a connection whose process doesn't answer any more.
var errProcessEnded = errors.Wrap(errConnectionEnded, "the endpoint's process doesn't answer")

// confirmEnd returns an error if an answer that ends with its connection isn't known to be whole.
func (f Filter) confirmEnd(ctx context.Context, r *request.Request) error {
	if !r.EndsWithConnection {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, endCheckTimeout)
	defer cancel()
	confirmed := f.ProcessAlive != nil && f.ProcessAlive(ctx, r.Endpoint)
	f.Metrics.countEnd(confirmed)
	if !confirmed {
		return &BrokenError{Cause: errProcessEnded}
	}
	return nil
}
