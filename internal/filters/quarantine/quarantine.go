package quarantine

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"coveferry/internal/api"
	"coveferry/internal/clock"
	"coveferry/internal/logging"
	"coveferry/internal/pipeline"
	"coveferry/internal/poison"
	"coveferry/internal/request"
	"coveferry/internal/wire"
)

// QuarantinedError is a request that isn't sent because endpoints were lost while running
// it.
type QuarantinedError struct {
	Identity poison.Identity
	// LossCount is how many endpoints were recently lost while running the request.
	// RetryAfter is the time until it may be retried.
	LossCount  int
	RetryAfter time.Duration
}

// Error implements error.
func (e *QuarantinedError) Error() string {
	return fmt.Sprintf("quarantine: %d endpoints crashed while running this request; it is quarantined for %s", e.LossCount, e.RetryAfter)
}

// API implements api.Convertible. The status promises that the request didn't run.
// Retry-After keeps callers from retrying while the request is quarantined.
func (e *QuarantinedError) API() *api.Error {
	return &api.Error{
		Status: http.StatusServiceUnavailable, Type: api.TypeUnavailable, Code: "quarantined",
		Message: "endpoints ended while they ran this same request; it is held back for a while",
		Run:     wire.RunNot, RetryAfter: e.RetryAfter,
	}
}

// Filter implements pipeline.Filter.
type Filter struct {
	table *poison.Table
	clock clock.Clock
	log   zerolog.Logger
}

// New returns a filter that uses the table. now must be the table's clock.
func New(table *poison.Table, now clock.Clock, log zerolog.Logger) *Filter {
	return &Filter{table: table, clock: now, log: log}
}

// Name implements pipeline.Filter.
func (*Filter) Name() string { return "quarantine" }

// Do refuses a request if too many endpoints were lost while running it, at any router and
// for any caller. Without this filter, 19 endpoints were lost within 14 s to one request
// sent twice a second, along with 30 requests of other callers. Its error is a
// *QuarantinedError or an error of the next filter.
func (f *Filter) Do(ctx context.Context, r *request.Request, next pipeline.Next) error {
	if err := f.check(r); err != nil {
		return err
	}
	sent := f.clock()
	err := next(ctx, r)
	if responded(err) && r.Endpoint != nil {
		f.table.RecordResponse(processName(r), sent)
	}
	switch {
	case err == nil && !f.table.Empty():
		f.table.RecordCompletion(r.Identity())
	case ctx.Err() == nil && endpointLost(err):
		r.EndpointsLost++
		f.table.RecordLoss(r.Identity(), poison.Loss{
			Endpoint: processName(r), Sent: sent, At: f.clock(), Early: r.Delivered.Tokens == 0,
		})
	}
	return err
}

// processName identifies the process that handled the attempt: the endpoint's process, or
// the engine behind an agent. An agent outlives its engine and doesn't name it, so each
// attempt counts as a separate engine.
func processName(r *request.Request) string {
	if r.Kind == wire.KindRouted {
		return r.Endpoint.Name + "/" + r.Endpoint.ProcessID()
	}
	return fmt.Sprintf("%s/%s.%d", r.Endpoint.Name, r.ID, r.Epoch)
}

func (f *Filter) check(r *request.Request) error {
	if f.table.Empty() {
		return nil // avoids computing the request's identity
	}
	verdict := f.table.Check(r.Identity())
	if verdict.Refused {
		return &QuarantinedError{Identity: r.Identity(), LossCount: verdict.LossCount, RetryAfter: verdict.RetryAfter}
	}
	if verdict.Trial {
		f.log.Warn().Stringer(logging.FieldIdentity, r.Identity()).Int("lost", verdict.LossCount).
			Msg("quarantined request is tried again")
	}
	return nil
}
