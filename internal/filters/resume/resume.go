// Package resume binds a stream that its caller resumes to the service and the software version that
// began it. Put it behind admit, which keeps unknown callers from asking other routers, and before
// the filters that depend on the service.
package resume

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"coveferry/internal/api"
	"coveferry/internal/filters/choose"
	"coveferry/internal/filters/match"
	"coveferry/internal/filters/relay"
	"coveferry/internal/pipeline"
	"coveferry/internal/request"
	"coveferry/internal/route"
	"coveferry/internal/streamversion"
	"coveferry/internal/wire"
)

// retryAfter is the Retry-After of a stream that is refused since its route has changed.
const retryAfter = 100 * time.Millisecond

// UnknownError is a resumed stream of which nobody knows the software version that began it. The
// request was not sent.
type UnknownError struct {
	Stream string
	// RetryIn is when it is worth coming back with the stream; 0 for never.
	RetryIn time.Duration
}

// Error implements error.
func (e *UnknownError) Error() string {
	return "resume: the software version that began the stream of request \"" + e.Stream + "\" isn't known"
}

// API implements api.Convertible. Where nobody can learn of the stream any more, the status doesn't invite the
// caller to come back with it.
func (e *UnknownError) API() *api.Error {
	if e.RetryIn > 0 {
		out := refusal("unknown_stream", "this router can't ask yet which software version began the stream")
		out.RetryAfter = e.RetryIn
		return out
	}
	return &api.Error{
		Status: http.StatusBadGateway, Type: api.TypeUpstream, Code: "stream_lost",
		Message: "nobody knows any more which software version began the stream; begin it anew, without the ID of an event",
		Run:     wire.RunNot,
	}
}

// MovedError is a resumed stream that began at a service to which its route no longer leads. The
// request was not sent.
type MovedError struct{ Service string }

// Error implements error.
func (e *MovedError) Error() string {
	return "resume: the route no longer leads to " + e.Service + ", where the stream began"
}

// API implements api.Convertible.
func (e *MovedError) API() *api.Error {
	return refusal("stream_moved", "the service that began the stream no longer serves the route; begin it anew")
}

// refusal returns the answer to a request that was not sent.
func refusal(code, message string) *api.Error {
	return &api.Error{
		Status: http.StatusServiceUnavailable, Type: api.TypeUnavailable, Code: code, Message: message,
		Run: wire.RunNot, RetryAfter: retryAfter,
	}
}

// Streams knows where streams began. *streamversion.Registry implements it.
type Streams interface {
	Begin(now time.Time, id streamversion.StreamID, o streamversion.ServiceVersion)
	End(id streamversion.StreamID)
	Find(ctx context.Context, q streamversion.Query) (streamversion.Finding, bool)
	// RecordCallerTimeout records how long a caller waits.
	RecordCallerTimeout(d time.Duration)
}

// Filter implements pipeline.Filter.
type Filter struct {
	streams   Streams
	endpoints match.Endpoints
	resumed   *prometheus.CounterVec
}

// New returns a filter. Without streams it passes all requests on: endpoints then have no versions.
// metrics registers its counter of resumed streams; nil for none.
func New(streams Streams, endpoints match.Endpoints, metrics prometheus.Registerer) *Filter {
	f := &Filter{streams: streams, endpoints: endpoints, resumed: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "coveferry_streams_resumed_total",
		Help: "Streams that callers resumed, by whether they went on.",
	}, []string{"result"})}
	if metrics != nil {
		metrics.MustRegister(f.resumed)
	}
	return f
}

// Name implements pipeline.Filter.
func (*Filter) Name() string { return "resume" }

// Do sets the service and the software version of a resumed stream, and records where a stream
// begins.
func (f *Filter) Do(ctx context.Context, r *request.Request, next pipeline.Next) error {
	if f.streams == nil || !r.Route.Stream {
		return next(ctx, r)
	}
	f.streams.RecordCallerTimeout(r.CallerTimeout)
	stream := streamversion.IDOf(r.CallerID)
	switch {
	case r.ResumedAfter == "" && !r.Route.Resumable:
		return next(ctx, r) // its caller can't resume it
	case r.ResumedAfter == "":
		return f.follow(ctx, r, stream, next)
	}
	if r.Resumes != "" {
		stream = streamversion.IDOf(r.Resumes)
	}
	err := f.bind(ctx, r)
	if err == nil {
		err = f.follow(ctx, r, stream, next)
	}
	f.resumed.WithLabelValues(resultOf(r, err)).Inc()
	return err
}

// follow records where the stream begins, until its caller has it to its end.
func (f *Filter) follow(ctx context.Context, r *request.Request, stream streamversion.StreamID, next pipeline.Next) error {
	r.OnStreamBegun = func() {
		f.streams.Begin(time.Now(), stream, streamversion.ServiceVersion{Service: r.Service, Version: *r.StreamVersion})
	}
	err := next(ctx, r)
	r.OnStreamBegun = nil
	if err == nil {
		f.streams.End(stream)
	}
	return err
}

// bind has the request served only where the stream that it resumes began.
func (f *Filter) bind(ctx context.Context, r *request.Request) error {
	query := streamversion.Query{Service: r.Service}
	if r.Resumes != "" {
		query.ID = streamversion.IDOf(r.Resumes)
	}
	found, known := f.streams.Find(ctx, query)
	switch {
	case ctx.Err() != nil:
		return &relay.CallerError{Cause: ctx.Err()}
	case !known:
		return &UnknownError{Stream: r.Resumes, RetryIn: found.RetryIn}
	}
	r.Resumption = request.Resumption{Evidence: string(found.Evidence), Age: found.Age}
	r.StreamVersion = &found.ServiceVersion.Version
	if found.ServiceVersion.Service == r.Service {
		return nil
	}
	if !slices.ContainsFunc(r.Route.Targets, func(t route.Target) bool { return t.Service == found.ServiceVersion.Service }) {
		return &MovedError{Service: found.ServiceVersion.Service}
	}
	r.Service = found.ServiceVersion.Service
	r.Candidates = f.endpoints(r.Service)
	return nil
}

// Values of the result label other than the codes of errors.
const (
	resultContinued = "continued"
	resultFailed    = "failed"
)

// resultOf returns what became of a resumed stream: continued if the caller got any more of it, or why
// it was refused.
func resultOf(r *request.Request, err error) string {
	var noEndpoint *choose.Error
	switch {
	case err == nil || r.Delivered.Tokens > 0:
		return resultContinued
	case api.From(err).Run == wire.RunNot || errors.As(err, &noEndpoint):
		return cmp.Or(api.From(err).Code, resultFailed)
	}
	return resultFailed
}
