package placement

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// Limits of requests to engines and agents.
const (
	maxReplyBytes  = 1 << 20
	queryTimeout   = 2 * time.Second
	settingTimeout = 10 * time.Second
	unloadTimeout  = time.Minute
	loadTimeout    = 30 * time.Minute
)

// Paths of the engine's interface.
const (
	pathOrders = "/orders"
	pathModels = "/v1/models"
)

// modelList is the engine's response at pathModels.
type modelList struct {
	Data []struct {
		ID string `json:"id"`
	} `json:"data"`
}

// timeout limits the time that an order takes.
func (k Kind) timeout() time.Duration {
	switch k {
	case LoadModel, LoadAdapter:
		return loadTimeout
	case UnloadModel:
		return unloadTimeout
	default:
		return settingTimeout
	}
}

// engineClient calls the agent's own engine.
type engineClient struct {
	url  string
	http *http.Client
}

// listModels returns what the engine holds.
func (c *engineClient) listModels(ctx context.Context) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	var reply modelList
	if err := getJSON(ctx, c.http, c.url+pathModels, &reply); err != nil {
		return nil, err
	}
	names := make([]string, len(reply.Data))
	for i, m := range reply.Data {
		names[i] = m.ID
	}
	return names, nil
}

// sendOrder sends an order to the engine, at most once, and waits until it is
// done. The error is a *RefusedError if the engine responded.
func (c *engineClient) sendOrder(ctx context.Context, o Order) error {
	ctx, cancel := context.WithTimeout(ctx, o.Kind.timeout())
	defer cancel()
	body, err := json.Marshal(o)
	if err != nil {
		return errors.Wrap(err, "placement: encode order")
	}
	bodyReader := io.NopCloser(bytes.NewReader(body)) // hides the body's type, so that the transport can't resend it
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url+pathOrders, bodyReader)
	if err != nil {
		return errors.Wrap(err, "placement: create order request")
	}
	req.ContentLength = int64(len(body))
	req.Header.Set("Content-Type", "application/json")
	return do(c.http, req, nil)
}

func getJSON(ctx context.Context, c *http.Client, url string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Wrap(err, "placement: create query")
	}
	return do(c, req, into)
}

// do sends a request and decodes the response into into, unless that is nil.
func do(c *http.Client, req *http.Request, into any) error {
	resp, err := c.Do(req)
	if err != nil {
		return errors.Wrap(err, "placement: send request")
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if resp.StatusCode != http.StatusOK {
		seconds, _ := strconv.Atoi(resp.Header.Get("Retry-After")) // an HTTP date counts as 0
		return &RefusedError{Status: resp.StatusCode, RetryAfter: time.Duration(max(0, seconds)) * time.Second}
	}
	if err != nil {
		return errors.Wrap(err, "placement: read response")
	}
	if into == nil {
		return nil
	}
	return errors.Wrap(json.Unmarshal(body, into), "placement: decode response")
}
