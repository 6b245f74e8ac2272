package agent

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"

	"github.com/cockroachdb/errors"

	"coveferry/internal/api"
	"coveferry/internal/completion"
	"coveferry/internal/server"
	"coveferry/internal/wire"
)

// maxRefusalBody bounds the bytes kept of an engine's error response.
const maxRefusalBody = 4 << 10

// Engine describes the endpoint's address and capabilities.
type Engine struct {
	// URL is the base URL of the endpoint's API.
	URL string
	// Priorities reports whether the engine supports the field "priority".
	Priorities bool
	// Resume reports whether the engine can continue an answer from a given
	// text, so that a running request can be preempted.
	Resume bool
	// HealthPath is the health check path, which answers 200 while the engine
	// is healthy. After a failure it is checked before the next request is
	// sent; empty if the endpoint has none.
	HealthPath string
}

// EngineHealthPath is the HealthPath of common model engines.
const EngineHealthPath = "/health"

// engineClient sends requests to the agent's engine.
type engineClient struct {
	engine Engine
	http   *http.Client
	// failures records that the engine failed and has not passed a health check
	// since.
	failures failureState
}

// enginePaths are the request paths of the completions protocol.
var enginePaths = map[wire.Kind]string{
	wire.KindChat:       "/v1/chat/completions",
	wire.KindCompletion: "/v1/completions",
}

// run sends the request and returns the response once its header has arrived,
// and whether the request ran as far as is known. The error is an *engineError,
// or the cause with which ctx ended.
func (c *engineClient) run(ctx context.Context, a *attempt) (*http.Response, wire.Run, error) {
	req, err := c.newRequest(ctx, a)
	if err != nil {
		return nil, wire.RunNot, &engineError{Reason: wire.ReasonBadEnvelope, Cause: err}
	}
	if err := c.checkHealth(ctx); err != nil {
		return nil, wire.RunNot, err
	}
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	resp, err := c.http.Do(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		run, err := sendError(ctx, connected, err)
		return nil, run, err
	}
	if a.env.Kind == wire.KindService || resp.StatusCode == http.StatusOK {
		return resp, wire.RunYes, nil
	}
	run, err := statusError(resp)
	return nil, run, err
}

func (c *engineClient) newRequest(ctx context.Context, a *attempt) (*http.Request, error) {
	if a.env.Kind == wire.KindService {
		return c.newSingleUseRequest(ctx, a, a.env.Method, a.env.Path, a.body)
	}
	body, err := c.completionBody(a)
	if err != nil {
		return nil, err
	}
	return c.newSingleUseRequest(ctx, a, http.MethodPost, enginePaths[a.env.Kind], body)
}

// newSingleUseRequest builds a request that the HTTP transport never retries. The
// transport retries requests with an idempotency key or an idempotent method if
// it can read the body again.
func (c *engineClient) newSingleUseRequest(ctx context.Context, a *attempt, method, path string, body []byte) (*http.Request, error) {
	reader := io.NopCloser(bytes.NewReader(body)) // hides that the body can be read again or is empty
	req, err := http.NewRequestWithContext(ctx, method, c.engine.URL+path, reader)
	if err != nil {
		return nil, errors.Wrap(err, "create engine request")
	}
	req.ContentLength = int64(len(body))
	setCommonHeaders(req, a)
	return req, nil
}

func (c *engineClient) completionBody(a *attempt) ([]byte, error) {
	body, err := completion.ForEngine(a.body)
	if err != nil {
		return nil, err
	}
	if c.engine.Priorities {
		body, err = completion.SetPriority(body, a.env.Tier)
		if err != nil {
			return nil, err
		}
	}
	return completion.Continue(a.env.Kind, body, a.progress.text.String(), a.progress.tokens)
}

func setCommonHeaders(req *http.Request, a *attempt) {
	req.Header.Set("Content-Type", a.contentType)
	req.Header.Set("X-Request-Id", a.engineRequestID())
	if a.env.IdempotencyKey != "" {
		req.Header.Set(api.HeaderIdempotencyKey, a.env.IdempotencyKey)
	}
}

// engineRequestID identifies the run to the engine by request, epoch and, after a
// preemption, the number of the run. A changed id in the answer tells the router
// that the answer was resumed.
func (a *attempt) engineRequestID() string {
	id := a.env.Request + "." + strconv.Itoa(a.env.Epoch)
	if a.runCount > 1 {
		id += "." + strconv.Itoa(a.runCount)
	}
	return id
}

// sendError converts an error of http.Client.Do, and returns whether the request
// may have run. Only a request that never got a connection is certain not to have
// run.
func sendError(ctx context.Context, connected bool, err error) (wire.Run, error) {
	run, reason := wire.RunNot, wire.ReasonEngineDown
	if connected {
		run, reason = wire.RunUnknown, wire.ReasonEngineFailed
	}
	if cause := context.Cause(ctx); cause != nil {
		return run, cause
	}
	failure := &engineError{Reason: reason, Cause: err}
	var malformed *server.MalformedHeadError
	if errors.As(err, &malformed) {
		failure.Status = http.StatusBadGateway // the engine answered, so the request didn't end it
	}
	return run, failure
}

// statusError converts an engine's error response. In the completions protocol
// 4xx and 503 mean that the engine did not accept the request.
func statusError(resp *http.Response) (wire.Run, error) {
	defer resp.Body.Close()
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxRefusalBody)) // best effort: for the message only
	e := &engineError{Reason: wire.ReasonEngineRefused, Status: resp.StatusCode, Body: string(body)}
	switch {
	case resp.StatusCode == http.StatusServiceUnavailable:
		e.Reason = wire.ReasonEngineDown
	case resp.StatusCode >= http.StatusInternalServerError:
		e.Reason = wire.ReasonEngineFailed
		return wire.RunUnknown, e
	}
	return wire.RunNot, e
}
