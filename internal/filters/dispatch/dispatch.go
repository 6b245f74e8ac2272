// Package dispatch sends one attempt to the agent of the selected endpoint and passes the
// response to the next filter. It updates the endpoint's load from the response.
package dispatch

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"coveferry/internal/balance"
	"coveferry/internal/bundle"
	"coveferry/internal/clock"
	"coveferry/internal/completion"
	"coveferry/internal/load"
	"coveferry/internal/pipeline"
	"coveferry/internal/request"
	"coveferry/internal/server"
	"coveferry/internal/wire"
)

// maxRefusalBytes limits how much of a refusal's body is read.
const maxRefusalBytes = 16 << 10

// Filter implements pipeline.Filter.
type Filter struct {
	pool          *balance.Pool
	client        *http.Client
	scheme        string
	clock         clock.Clock
	clockReadings *clockReadings
	// observer receives evidence of the endpoints' membership.
	observer   Observer
	direct     direct
	copiedRuns copiedRuns
	// responseSeq numbers the responses of endpoints without an agent.
	responseSeq atomic.Int64
}

// New returns a filter that reaches agents by the client. The scheme is "https", or "http"
// in tests without certificates.
func New(pool *balance.Pool, client *http.Client, scheme string, now clock.Clock) *Filter {
	return &Filter{pool: pool, client: client, scheme: scheme, clock: now, clockReadings: newClockReadings(), observer: nopObserver{}}
}

// Name implements pipeline.Filter.
func (*Filter) Name() string { return "dispatch" }

// Do sends the attempt to one endpoint or, with late binding, to a pair of endpoints of
// which one runs it. Its error is an *ExpiredError, a *RefusedError, a *NoResponseError, or
// an error of the next filter. When Do returns, the response is closed, so nothing of this
// attempt can reach the caller any more.
func (f *Filter) Do(ctx context.Context, r *request.Request, next pipeline.Next) error {
	if r.TimeLeft(f.clock()) <= 0 {
		return &ExpiredError{}
	}
	body, err := attemptBody(r)
	if err != nil {
		return err
	}
	// Late binding withholds the body from one of the two endpoints, so it needs a body.
	if r.SecondEndpoint != nil && len(body) > 0 {
		return f.sendPair(ctx, r, body, next)
	}
	return f.sendOne(ctx, r, body, next)
}

func (f *Filter) sendOne(ctx context.Context, r *request.Request, body []byte, next pipeline.Next) error {
	sent := time.Now()
	r.SentAt = sent
	if r.Kind == wire.KindRouted {
		return f.sendDirect(ctx, r, sent, next)
	}
	f.pool.Sent(sent, r.Endpoint.Name)
	err := f.exchange(ctx, r, body, next)
	f.recordResult(ctx, r.Endpoint, err, firstToken(r, sent))
	return err
}

func (f *Filter) exchange(ctx context.Context, r *request.Request, body []byte, next pipeline.Next) error {
	// Canceling the context stops the attempt at the agent on every return path.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	// The transport may resend the attempt on its own only if HTTP/2 signals that the
	// agent has not processed it, for example because the agent is stopping. Any further
	// automatic resend would need an idempotency key, which the attempt doesn't carry.
	req, err := f.request(httptrace.WithClientTrace(ctx, trace), r, r.Endpoint, bytes.NewReader(body), len(body))
	if err != nil {
		return err
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return &NoResponseError{Sent: connected, Cause: err}
	}
	return f.handleResponse(ctx, r, resp, next)
}

// handleResponse passes an agent's response to the next filter, or returns its refusal as an
// error.
func (f *Filter) handleResponse(ctx context.Context, r *request.Request, resp *http.Response, next pipeline.Next) error {
	defer resp.Body.Close()
	agentClock := f.recordResponseHeader(r.Endpoint.Name, resp.Header)
	if resp.StatusCode != http.StatusOK {
		return readRefusal(resp)
	}
	r.Answer = resp
	err := next(ctx, r)
	r.Answer = nil
	f.recordResponseTrailer(r.Endpoint.Name, agentClock, resp.Trailer)
	return err
}

// recordResult reports the result of an attempt to the pool and the observer.
func (f *Filter) recordResult(ctx context.Context, e *bundle.Endpoint, err error, firstTokenDelay time.Duration) {
	f.reportConnectionFailure(ctx, e, err)
	f.pool.Done(time.Now(), e.Name, result(ctx, err), firstTokenDelay)
}

// request returns the HTTP request of the attempt to an endpoint's agent. Its error is a *NoResponseError.
func (f *Filter) request(ctx context.Context, r *request.Request, e *bundle.Endpoint, body io.Reader, size int) (*http.Request, error) {
	url := f.scheme + "://" + e.Address + wire.PathAttempts
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, body)
	if err != nil {
		return nil, notSent(err)
	}
	req.ContentLength = int64(size)
	req.Header.Set("Content-Type", contentType(r))
	if err := wire.Encode(req.Header, wire.HeaderEnvelope, f.envelope(r, e.Name)); err != nil {
		return nil, notSent(err)
	}
	return req, nil
}

// attemptBody returns the caller's body, changed to continue after the tokens already
// delivered.
func attemptBody(r *request.Request) ([]byte, error) {
	if r.Kind == wire.KindService || r.Kind == wire.KindRouted {
		return r.Body, nil
	}
	body, err := completion.Continue(r.Kind, r.Body, string(r.Delivered.Text), r.Delivered.Tokens)
	return body, errors.Wrap(err, "dispatch: continue the answer")
}

func contentType(r *request.Request) string {
	if t := r.Header.Get("Content-Type"); t != "" && r.Kind == wire.KindService {
		return t
	}
	return "application/json"
}

// envelope must be called just before the attempt is sent: the timeouts in it are relative
// to that moment, and any delay before the agent receives it shortens them.
func (f *Filter) envelope(r *request.Request, endpoint string) wire.Envelope {
	now := time.Now()
	reading, age := f.clockReadings.latest(endpoint, f.clock())
	env := wire.Envelope{
		Request:             r.ID,
		Endpoint:            endpoint,
		Epoch:               r.Epoch,
		Kind:                r.Kind,
		Team:                r.Team.Name,
		Class:               r.Class.Name,
		Tier:                r.Tier,
		Method:              r.Method,
		Path:                r.Path,
		FirstTokenMillis:    r.FirstTokenBy.Sub(now).Milliseconds(),
		DeadlineMillis:      max(1, r.TimeLeft(f.clock()).Milliseconds()),
		AgentClock:          reading,
		AgentClockAgeMillis: age.Milliseconds(),
		SentUnixMillis:      now.UnixMilli(),
		IdempotencyKey:      r.IdempotencyKey,
		NonIdempotent:       r.NonIdempotent,
		Resumed:             r.Delivered.Started,
		BundleVersion:       r.Snapshot.Version(),
	}
	if !r.KeyIssued.IsZero() {
		env.KeyIssuedMillis = r.KeyIssued.UnixMilli()
		env.Target = r.KeyTarget()
	}
	return env
}

// recordResponseHeader updates the clock and load of an agent from the response header. It
// returns the agent's clock, which also names its incarnation.
func (f *Filter) recordResponseHeader(endpoint string, h http.Header) wire.Clock {
	var reading wire.Clock
	if err := wire.Decode(h, wire.HeaderClock, &reading); err == nil {
		f.clockReadings.add(endpoint, f.clock(), reading)
	}
	var report load.Report
	if err := wire.Decode(h, wire.HeaderLoad, &report); err == nil {
		f.recordLoad(endpoint, reading, report)
	} // the load report is optional
	return reading
}

func (f *Filter) recordResponseTrailer(endpoint string, agentClock wire.Clock, trailer http.Header) {
	var end wire.End
	if err := wire.Decode(trailer, wire.HeaderEnd, &end); err != nil {
		return // relay has already handled the missing trailer
	}
	f.recordLoad(endpoint, agentClock, end.Load)
}

func (f *Filter) recordLoad(endpoint string, agentClock wire.Clock, report load.Report) {
	if f.observer.Answered(endpoint, agentClock, time.Time{}, report) {
		f.pool.Report(time.Now(), endpoint, report)
	}
}

func readRefusal(resp *http.Response) error {
	var refusal wire.Refusal
	body := io.LimitReader(resp.Body, maxRefusalBytes)
	if err := json.NewDecoder(body).Decode(&refusal); err != nil {
		return &NoResponseError{Sent: true, Cause: errors.Wrapf(err, "refusal with status %d", resp.StatusCode)}
	}
	if refusal.Reason == wire.ReasonEngineRefused && !server.IsFinalStatus(refusal.EngineStatus) {
		// Agents of older software take any status below 500 for a refusal.
		refusal = wire.Refusal{Reason: wire.ReasonEngineFailed, Run: wire.RunUnknown, EngineStatus: http.StatusBadGateway}
	}
	return &RefusedError{Refusal: refusal}
}

// result classifies the attempt's error for outlier detection of the endpoint.
func result(ctx context.Context, err error) balance.Result {
	var refused *RefusedError
	switch {
	case err == nil:
		return balance.ResultOK
	case ctx.Err() != nil:
		return balance.ResultCancelled
	case errors.As(err, &refused) && refused.Run == wire.RunNot:
		return balance.ResultRefused
	default:
		return balance.ResultFailed
	}
}

// firstToken returns the time from sending to the first token, or 0 if an earlier attempt
// delivered the first token.
func firstToken(r *request.Request, sent time.Time) time.Duration {
	at := r.Delivered.FirstToken
	if at.Before(sent) {
		return 0
	}
	return at.Sub(sent)
}
