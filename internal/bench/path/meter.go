package path

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"coveferry/internal/sse"
)

const (
	callPath = "/v1/completions"
	// shortBody requests three tokens, longBody a stream that lasts longer
	// than the measurement.
	shortTokens   = 3
	shortBody     = `{"model":"` + model + `","stream":true,"prompt":"path [[tokens=3]]"}`
	longBody      = `{"model":"` + model + `","stream":true,"prompt":"path [[tokens=4000]]"}`
	parallelOpens = 64
	idleConns     = 2048
)

// callMeter measures calls that are made directly or through the router.
type callMeter struct {
	mu       sync.Mutex
	first    *hdrhistogram.Histogram
	total    *hdrhistogram.Histogram
	gap      *hdrhistogram.Histogram // between tokens
	requests int
	failed   int
}

func newCallMeter() *callMeter {
	return &callMeter{first: newHistogram(), total: newHistogram(), gap: newHistogram()}
}

// sendCalls makes calls at a constant rate, open-loop, and returns when all have
// ended.
func (m *callMeter) sendCalls(ctx context.Context, url string, rate int, d time.Duration) error {
	client := newClient()
	defer client.CloseIdleConnections()
	pace := time.NewTicker(time.Second / time.Duration(rate))
	defer pace.Stop()
	var calls sync.WaitGroup
	for range int(d.Seconds() * float64(rate)) {
		select {
		case <-ctx.Done():
			calls.Wait()
			return ctx.Err()
		case <-pace.C:
		}
		calls.Go(func() { m.call(ctx, client, url) })
	}
	calls.Wait()
	return nil
}

func (m *callMeter) call(ctx context.Context, client *http.Client, url string) {
	start := time.Now()
	eventTimes, err := readCall(ctx, client, url)
	total := time.Since(start)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.requests++
	if err != nil {
		m.failed++
		return
	}
	recordDuration(m.first, eventTimes[0].Sub(start))
	recordDuration(m.total, total)
	for i := 1; i < min(len(eventTimes), shortTokens); i++ {
		recordDuration(m.gap, eventTimes[i].Sub(eventTimes[i-1]))
	}
}

func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	// Durations are far below the maximum of the histogram.
	_ = h.RecordValue(max(1, d.Microseconds()))
}

// readCall makes one call, reads the complete answer and returns the arrival
// times of its events, at least one.
func readCall(ctx context.Context, client *http.Client, url string) (eventTimes []time.Time, err error) {
	resp, err := sendRequest(ctx, client, url, shortBody)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	for event, err := range sse.Read(resp.Body) {
		if err != nil {
			return nil, err
		}
		eventTimes = append(eventTimes, time.Now())
		if event.Data == sse.Done {
			_, err := io.Copy(io.Discard, resp.Body) // so that the connection is reused
			return eventTimes, err
		}
	}
	return nil, io.ErrUnexpectedEOF
}

func sendRequest(ctx context.Context, client *http.Client, url, body string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+callPath, bytes.NewReader([]byte(body)))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.CombineErrors(errors.Newf("%s answered %s", url, resp.Status), resp.Body.Close())
	}
	return resp, nil
}

func (m *callMeter) stats() CallStats {
	return CallStats{
		Requests:   m.requests,
		Failed:     m.failed,
		FirstToken: latency(m.first),
		Total:      latency(m.total),
		Gap:        latency(m.gap),
	}
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConns, DisableCompression: true}}
}
