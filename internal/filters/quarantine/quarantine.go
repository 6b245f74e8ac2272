package quarantine

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"coveferry/internal/api"
	"coveferry/internal/clock"
	"coveferry/internal/logging"
	"coveferry/internal/pipeline"
	"coveferry/internal/poison"
	"coveferry/internal/prompt"
	"coveferry/internal/request"
	"coveferry/internal/wire"
)

// QuarantinedError is a request that isn't sent because endpoints were lost while running
// it, or requests with the same part in their prompts.
type QuarantinedError struct {
	Evidence poison.Evidence
	// RetryAfter is the time until the request may be retried.
	RetryAfter time.Duration
}

// Error implements error.
func (e *QuarantinedError) Error() string {
	v := e.Evidence
	return fmt.Sprintf("quarantine: %d endpoints crashed while running %s (%s), the latest %s ago, %d of them reported by other routers: %s; it is quarantined for %s",
		v.LossCount, e.subject(), v.Identity, v.LatestAgo.Round(time.Millisecond), v.Reported, strings.Join(v.Endpoints, ", "), e.RetryAfter)
}

// subject names what crashed the endpoints.
func (e *QuarantinedError) subject() string {
	if e.Evidence.Part == 0 {
		return "this request"
	}
	return "requests with part " + prompt.FormatID(e.Evidence.Part) + " in their prompts"
}

// API implements api.Convertible. The status promises that the request didn't run.
// Retry-After keeps callers from retrying while the request is quarantined.
func (e *QuarantinedError) API() *api.Error {
	message := "endpoints ended while they ran this same request; it is held back for a while"
	if e.Evidence.Part != 0 {
		message = "endpoints ended while they ran " + e.subject() + "; these are held back for a while"
	}
	return &api.Error{
		Status: http.StatusServiceUnavailable, Type: api.TypeUnavailable, Code: "quarantined",
		Message: message, Run: wire.RunNot, RetryAfter: e.RetryAfter,
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
	case err == nil:
		f.table.RecordCompletion(f.poisonRequest(r))
	case ctx.Err() == nil && endpointLost(err):
		r.EndpointsLost++
		f.table.RecordLoss(r.Poison(), poison.Loss{
			Endpoint: processName(r), Sent: sent, At: f.clock(),
			Early: r.Delivered.Tokens == 0, Streamed: streamed(r),
		})
	}
	return err
}

// poisonRequest returns what may identify the request, without its content if the table needs
// none, since hashing that takes long.
func (f *Filter) poisonRequest(r *request.Request) poison.Request {
	if f.table.Empty() {
		return r.PoisonParts()
	}
	return r.Poison()
}

// streamed returns for how long the events of a request's stream have been arriving.
func streamed(r *request.Request) time.Duration {
	if r.Delivered.LastSentAt.IsZero() {
		return 0
	}
	return r.Delivered.LastSentAt.Sub(r.Delivered.FirstToken)
}

// processName identifies the process that handled the attempt: the endpoint's process, or
// the engine behind an agent. An agent outlives its engine and doesn't name it, so each
// attempt counts as a separate engine.
func processName(r *request.Request) string {
	if r.Kind == wire.KindRouted {
		return poison.ProcessName(r.Endpoint.Name, r.Endpoint.ProcessID())
	}
	return fmt.Sprintf("%s/%s.%d", r.Endpoint.Name, r.ID, r.Epoch)
}

func (f *Filter) check(r *request.Request) error {
	if f.table.Empty() {
		return nil // avoids computing the request's identity
	}
	verdict := f.table.Check(r.Poison())
	if verdict.Refused {
		return &QuarantinedError{Evidence: verdict.Evidence, RetryAfter: verdict.RetryAfter}
	}
	if verdict.Trial {
		f.logTrial(r, verdict.Evidence)
	}
	return nil
}

// CheckBeforeWaiting returns a *QuarantinedError for a request that must not wait for capacity because
// it is quarantined. Do checks it again once it may be sent.
func (f *Filter) CheckBeforeWaiting(r *request.Request) error {
	if f.table.Empty() {
		return nil
	}
	if verdict := f.table.CheckBeforeWaiting(r.Poison()); verdict.Refused {
		return &QuarantinedError{Evidence: verdict.Evidence, RetryAfter: verdict.RetryAfter}
	}
	return nil
}

func (f *Filter) logTrial(r *request.Request, e poison.Evidence) {
	line := f.log.Warn().Str(logging.FieldRequest, r.CallerID).Stringer(logging.FieldIdentity, e.Identity).Int("lost", e.LossCount)
	if e.Part != 0 {
		line.Str(logging.FieldPart, prompt.FormatID(e.Part))
	}
	line.Msg("quarantined request is tried again")
}
