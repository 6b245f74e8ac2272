// Package dispatch sends one attempt to the agent of the chosen endpoint and
// hands on its answer. It learns the endpoint's load from what comes back.
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
	"coveferry/internal/wire"
)

// maxRefusalBytes bounds what is read of a refusal.
const maxRefusalBytes = 16 << 10

// Filter implements pipeline.Filter.
type Filter struct {
	pool          *balance.Pool
	client        *http.Client
	scheme        string
	clock         clock.Clock
	clockReadings *clockReadings
	// observer learns of endpoints' membership.
	observer   Observer
	direct     direct
	copiedRuns copiedRuns
	// answerSeq numbers the answerSeq of endpoints without an agent.
	answerSeq atomic.Int64
}

// New returns a filter that reaches agents by the client, with the scheme
// "https", or "http" where a test runs without certificates.
func New(pool *balance.Pool, client *http.Client, scheme string, now clock.Clock) *Filter {
	return &Filter{pool: pool, client: client, scheme: scheme, clock: now, clockReadings: newClockReadings(), observer: nopObserver{}}
}

// Name implements pipeline.Filter.
func (*Filter) Name() string { return "dispatch" }

// Do sends the attempt, to one endpoint or, with late binding, to a pair of
// them of which one runs it. Its error is an *ExpiredError, a *RefusedError, a
// *LostError, or that of the rest of the pipe. When it returns, nothing of this
// attempt can reach the caller any more: its answer has been closed.
func (f *Filter) Do(ctx context.Context, r *request.Request, next pipeline.Next) error {
	if r.Left(f.clock()) <= 0 {
		return &ExpiredError{}
	}
	body, err := attemptBody(r)
	if err != nil {
		return err
	}
	// A request without a body can't be kept back from one of two.
	if r.Second != nil && len(body) > 0 {
		return f.sendPair(ctx, r, body, next)
	}
	return f.sendOne(ctx, r, body, next)
}

func (f *Filter) sendOne(ctx context.Context, r *request.Request, body []byte, next pipeline.Next) error {
	sent := time.Now()
	if r.Kind == wire.KindRouted {
		return f.sendDirect(ctx, r, sent, next)
	}
	f.pool.Sent(sent, r.Endpoint.Name)
	err := f.exchange(ctx, r, body, next)
	f.recordResult(ctx, r.Endpoint, err, firstToken(r, sent))
	return err
}

func (f *Filter) exchange(ctx context.Context, r *request.Request, body []byte, next pipeline.Next) error {
	// Ending the context ends the attempt at the agent, however this returns.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	// The transport may send the attempt again by itself only where HTTP/2
	// says that the agent hasn't seen it, as when the agent is stopping: the
	// attempt carries no idempotency key that would let it do more.
	req, err := f.request(httptrace.WithClientTrace(ctx, trace), r, r.Endpoint, bytes.NewReader(body), len(body))
	if err != nil {
		return err
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return &NoAnswerError{Sent: connected, Cause: err}
	}
	return f.handleAnswer(ctx, r, resp, next)
}

// handleAnswer hands an agent's handleAnswer on to the rest of the pipe, or reads its
// refusal.
func (f *Filter) handleAnswer(ctx context.Context, r *request.Request, resp *http.Response, next pipeline.Next) error {
	defer resp.Body.Close()
	agentClock := f.recordAnswerHeader(r.Endpoint.Name, resp.Header)
	if resp.StatusCode != http.StatusOK {
		return readRefusal(resp)
	}
	r.Answer = resp
	err := next(ctx, r)
	r.Answer = nil
	f.recordAnswerTrailer(r.Endpoint.Name, agentClock, resp.Trailer)
	return err
}

// recordResult tells the pool and the observer how an attempt ended.
func (f *Filter) recordResult(ctx context.Context, e *bundle.Endpoint, err error, firstToken time.Duration) {
	f.reportConnectionFailure(ctx, e, err)
	f.pool.Done(time.Now(), e.Name, result(ctx, err), firstToken)
}

// request makes the attempt's request to an endpoint's agent.
func (f *Filter) request(ctx context.Context, r *request.Request, e *bundle.Endpoint, body io.Reader, size int) (*http.Request, error) {
	url := f.scheme + "://" + e.Address + wire.PathAttempts
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, body)
	if err != nil {
		return nil, errors.Wrap(err, "dispatch: make the attempt's request")
	}
	req.ContentLength = int64(size)
	req.Header.Set("Content-Type", contentType(r))
	return req, wire.Encode(req.Header, wire.HeaderEnvelope, f.envelope(r, e.Name))
}

// attemptBody is the caller's body, changed to go on from what was delivered.
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

// envelope is made as late as can be; what passes before the agent has it shortens
// the time that it gives.
func (f *Filter) envelope(r *request.Request, endpoint string) wire.Envelope {
	now := time.Now()
	reading, age := f.clockReadings.latest(endpoint, f.clock())
	env := wire.Envelope{
		Request:          r.ID,
		Endpoint:         endpoint,
		Epoch:            r.Epoch,
		Kind:             r.Kind,
		Team:             r.Team.Name,
		Class:            r.Class.Name,
		Tier:             r.Tier,
		Method:           r.Method,
		Path:             r.Path,
		FirstTokenMillis: r.FirstTokenBy.Sub(now).Milliseconds(),
		DeadlineMillis:   max(1, r.Left(f.clock()).Milliseconds()),
		Heard:            reading,
		HeardAgoMillis:   age.Milliseconds(),
		SentUnixMillis:   now.UnixMilli(),
		IdempotencyKey:   r.IdempotencyKey,
		NonIdempotent:    r.NonIdempotent,
		Resumed:          r.Delivered.Started,
		BundleVersion:    r.Snapshot.Version(),
	}
	if !r.KeyIssued.IsZero() {
		env.KeyIssuedMillis = r.KeyIssued.UnixMilli()
		env.Target = r.KeyTarget()
	}
	return env
}

// recordAnswerHeader takes what the head of an answer says of its agent, and returns the
// agent's clock, which also names its incarnation.
func (f *Filter) recordAnswerHeader(endpoint string, h http.Header) wire.Clock {
	var reading wire.Clock
	if err := wire.Decode(h, wire.HeaderClock, &reading); err == nil {
		f.clockReadings.add(endpoint, f.clock(), reading)
	}
	var report load.Report
	if err := wire.Decode(h, wire.HeaderLoad, &report); err == nil {
		f.recordLoad(endpoint, reading, report)
	} // an answer without a report is still an answer
	return reading
}

func (f *Filter) recordAnswerTrailer(endpoint string, agentClock wire.Clock, trailer http.Header) {
	var end wire.End
	if err := wire.Decode(trailer, wire.HeaderEnd, &end); err != nil {
		return // relay has judged the missing end
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
		return &NoAnswerError{Sent: true, Cause: errors.Wrapf(err, "refusal with status %d", resp.StatusCode)}
	}
	return &RefusedError{Refusal: refusal}
}

// result is what the attempt says of the endpoint's health.
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

// firstToken is the time from sending to the first token, if this attempt
// brought it.
func firstToken(r *request.Request, sent time.Time) time.Duration {
	at := r.Delivered.FirstToken
	if at.Before(sent) {
		return 0
	}
	return at.Sub(sent)
}
