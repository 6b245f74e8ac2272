package agent

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"coveferry/internal/wire"
)

// probeTimeout bounds a health check of the engine.
const probeTimeout = time.Second

// failureState records that the engine failed and has not passed a health check
// since. An engine that is down but still accepts connections would otherwise
// receive one request after the other, each with unknown run status.
type failureState struct{ failed atomic.Bool }

// recordResult sets the state if a run ended by a failure of the engine.
func (s *failureState) recordResult(err error) {
	var engineErr *engineError
	failed := errors.As(err, &engineErr) && engineErr.Reason != wire.ReasonEngineRefused
	if failed || errors.Is(err, errCutOff) {
		s.failed.Store(true)
	}
}

// checkHealth probes an engine that failed before the next request is sent to it.
// An error means that the request must not be sent.
func (c *engineClient) checkHealth(ctx context.Context) error {
	if c.engine.HealthPath == "" || !c.failures.failed.Load() {
		return nil
	}
	if err := c.probeHealth(ctx); err != nil {
		if cause := context.Cause(ctx); cause != nil {
			return cause
		}
		return &engineError{Reason: wire.ReasonEngineDown, Cause: err}
	}
	c.failures.failed.Store(false)
	return nil
}

// ping returns an error unless the engine answers. It asks for nothing, so any status will do.
func (c *engineClient) ping(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodOptions, c.engine.URL, nil)
	if err != nil {
		return errors.Wrap(err, "create ping")
	}
	req.URL.Opaque = "*"
	resp, err := c.http.Do(req)
	if err != nil {
		return errors.Mark(errors.Wrap(err, "the engine doesn't answer any more"), errCutOff)
	}
	return resp.Body.Close()
}

func (c *engineClient) probeHealth(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.engine.URL+c.engine.HealthPath, nil)
	if err != nil {
		return errors.Wrap(err, "create health check request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return errors.Wrap(err, "send health check")
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxRefusalBody)) // keeps the connection reusable
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("health check: status %d", resp.StatusCode)
	}
	return nil
}
