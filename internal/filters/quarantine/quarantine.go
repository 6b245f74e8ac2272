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

// HeldError is a request that isn't sent, since endpoints ended while they ran it.
type HeldError struct {
	Identity poison.Identity
	// LossCount is how many endpoints ended under it lately, and After when it may be tried again.
	LossCount  int
	RetryAfter time.Duration
}

// Error implements error.
func (e *HeldError) Error() string {
	return fmt.Sprintf("quarantine: %d endpoints ended under this request; it is held back for %s", e.LossCount, e.RetryAfter)
}

// API implements api.Convertible. The status lets callers count on it that the request
// didn't run, and the time keeps those that heed it from coming back in vain.
func (e *HeldError) API() *api.Error {
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

// New returns a filter that goes by the table, whose clock it shares.
func New(table *poison.Table, now clock.Clock, log zerolog.Logger) *Filter {
	return &Filter{table: table, clock: now, log: log}
}

// Name implements pipeline.Filter.
func (*Filter) Name() string { return "quarantine" }

// Do keeps a request from endpoints under which too many of them ended, whichever router
// it came to and whoever sent it: without this 19 endpoints ended within 14 s under one
// request that came twice a second, with 30 requests of others. Its error is a *HeldError
// or that of the rest of the pipe.
func (f *Filter) Do(ctx context.Context, r *request.Request, next pipeline.Next) error {
	if err := f.check(r); err != nil {
		return err
	}
	sent := f.clock()
	err := next(ctx, r)
	if answered(err) && r.Endpoint != nil {
		f.table.Survived(processName(r), sent)
	}
	switch {
	case err == nil && !f.table.Empty():
		f.table.Completed(r.Identity())
	case ctx.Err() == nil && endpointLost(err):
		r.Lost++
		f.table.Lost(r.Identity(), poison.Loss{
			Endpoint: processName(r), Sent: sent, At: f.clock(), Early: r.Delivered.Tokens == 0,
		})
	}
	return err
}

// processName names what ended: the endpoint's process, or behind an agent, which outlives its
// engine and names none, the one that ran just this attempt.
func processName(r *request.Request) string {
	if r.Kind == wire.KindRouted {
		return r.Endpoint.Name + "/" + r.Endpoint.Process()
	}
	return fmt.Sprintf("%s/%s.%d", r.Endpoint.Name, r.ID, r.Epoch)
}

func (f *Filter) check(r *request.Request) error {
	if f.table.Empty() {
		return nil // no request has to be identified
	}
	verdict := f.table.Ask(r.Identity())
	if verdict.Held {
		return &HeldError{Identity: r.Identity(), LossCount: verdict.LossCount, RetryAfter: verdict.RetryAfter}
	}
	if verdict.Trial {
		f.log.Warn().Stringer(logging.FieldIdentity, r.Identity()).Int("lost", verdict.LossCount).
			Msg("request that was held back is tried again")
	}
	return nil
}
