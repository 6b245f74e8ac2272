package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"coveferry/internal/api"
	"coveferry/internal/bench/arrivals"
)

const (
	chatPath = "/v1/chat/completions"
	// maxErrorBody bounds the bytes read of an error body.
	maxErrorBody = 64 << 10
	// idleConns is the maximum number of idle connections per router.
	idleConns = 2048
)

// ErrBadRequest marks the error of a request that could not be built.
var ErrBadRequest = errors.New("request could not be built")

// Client sends requests to routers.
type Client struct {
	http    *http.Client
	routers []string
	model   string
	key     func(team string) string
	start   time.Time
}

// Config configures a Client.
type Config struct {
	// Routers are base URLs.
	Routers []string
	Model   string
	// Key returns the API key of a team.
	Key func(team string) string
	// Start is the time that times in outcomes are relative to.
	Start time.Time
	// Transport replaces the usual HTTP transport, if set.
	Transport http.RoundTripper
}

// New returns a Client.
func New(c Config) *Client {
	transport := c.Transport
	if transport == nil {
		transport = &http.Transport{
			MaxIdleConns:        0, // no limit across all hosts
			MaxIdleConnsPerHost: idleConns,
			DisableCompression:  true,
		}
	}
	return &Client{
		http:    &http.Client{Transport: transport},
		routers: c.Routers,
		model:   c.Model,
		key:     c.Key,
		start:   c.Start,
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Do sends a request and reads its answer to the end or until the deadline. If
// ctx ends first, the outcome is EndInterrupted.
func (c *Client) Do(ctx context.Context, a arrivals.Arrival) Outcome {
	o := Outcome{ID: a.ID, Due: a.At, Sent: c.now()}
	deadline := c.start.Add(a.At + a.Deadline)
	callCtx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	c.exchange(callCtx, a, &o)
	o.Ended = c.now()
	classifyInterruption(ctx, callCtx, &o)
	return o
}

// classifyInterruption distinguishes an interruption of the bench and a timeout
// of the caller from a broken answer.
func classifyInterruption(ctx, callCtx context.Context, o *Outcome) {
	if o.End != EndFailed && o.End != EndTruncated {
		return
	}
	switch {
	case ctx.Err() != nil:
		o.End = EndInterrupted
	case callCtx.Err() != nil:
		o.End = EndTimeout
	}
}

func (c *Client) now() time.Duration { return time.Since(c.start) }

func (c *Client) exchange(ctx context.Context, a arrivals.Arrival, o *Outcome) {
	o.End = EndFailed
	req, err := c.request(ctx, a)
	if err != nil {
		o.Code = err.Error()
		return
	}
	resp, err := c.http.Do(req)
	if err != nil {
		o.Code = err.Error()
		return
	}
	defer func() { _ = resp.Body.Close() }()
	o.RequestID = resp.Header.Get(api.HeaderRequestID)
	if resp.StatusCode != http.StatusOK {
		readErrorResponse(resp, o)
		return
	}
	c.stream(resp.Body, o)
}

type chatRequest struct {
	Model    string        `json:"model"`
	Messages []chatMessage `json:"messages"`
	Stream   bool          `json:"stream"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Body returns the request body for an arrival.
func Body(model string, a arrivals.Arrival) ([]byte, error) {
	body, err := json.Marshal(chatRequest{
		Model:    model,
		Messages: []chatMessage{{Role: "user", Content: a.Prompt}},
		Stream:   true,
	})
	return body, errors.Mark(err, ErrBadRequest)
}

func (c *Client) request(ctx context.Context, a arrivals.Arrival) (*http.Request, error) {
	body, err := Body(c.model, a)
	if err != nil {
		return nil, err
	}
	base := c.routers[int(a.Pick)%len(c.routers)]
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+chatPath, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Mark(err, ErrBadRequest)
	}
	h := req.Header
	h.Set("Content-Type", "application/json")
	h.Set(api.HeaderAuthorization, "Bearer "+c.key(a.Team))
	h.Set(api.HeaderClass, a.Class)
	if a.NonIdempotent {
		h.Set(api.HeaderNonIdempotent, "true")
		h.Set(api.HeaderIdempotencyKey, IdempotencyKey(a))
		h.Set(api.HeaderKeyTime, time.Now().UTC().Format(time.RFC3339Nano))
	}
	return req, nil
}

// IdempotencyKey returns the idempotency key of a non-idempotent request; empty
// for other requests.
func IdempotencyKey(a arrivals.Arrival) string {
	if !a.NonIdempotent {
		return ""
	}
	return "bench-" + a.ID
}

// errorBody is coveferry's typed error, as a response body or the data of an
// event.
type errorBody struct {
	Error *api.Error `json:"error"`
}

func readErrorResponse(resp *http.Response, o *Outcome) {
	o.End = EndRefused
	o.Status = resp.StatusCode
	if s, err := strconv.Atoi(resp.Header.Get(api.HeaderRetryAfter)); err == nil {
		o.RetryAfter = time.Duration(s) * time.Second
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBody))
	if err != nil {
		o.Code = "unreadable"
		return
	}
	var e errorBody
	if json.Unmarshal(body, &e) != nil || e.Error == nil {
		o.Code = "untyped"
		return
	}
	o.Code = e.Error.Code
	o.Run = e.Error.Run
}

// looksLikeError is a cheap test that avoids decoding every event as an error.
func looksLikeError(data string) bool { return strings.HasPrefix(data, `{"error"`) }
