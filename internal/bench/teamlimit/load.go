package teamlimit

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"coveferry/internal/api"
	"coveferry/internal/fleet"
	"coveferry/internal/server"
	"coveferry/internal/standin/engine"
)

// load sends requests to all routers, at a constant rate for each.
type load struct {
	opt      Options
	urls     []string
	client   *http.Client
	start    time.Time
	counts   counts
	inFlight sync.WaitGroup
}

// counts holds the requests sent after the warm-up, by their end.
type counts struct{ sent, admitted, refused, failed atomic.Int64 }

func newLoad(f *fleet.Fleet, o Options) *load {
	l := &load{opt: o, client: server.NewClient(nil, nil)}
	for _, r := range f.Routers() {
		l.urls = append(l.urls, r.URL()+"/v1/completions")
	}
	return l
}

// run sends the load and returns when all requests have ended.
func (l *load) run(ctx context.Context) *counts {
	l.start = time.Now()
	var senders sync.WaitGroup
	for i := range l.urls {
		senders.Go(func() { l.sendTo(ctx, i) })
	}
	senders.Wait()
	l.inFlight.Wait()
	l.client.CloseIdleConnections()
	return &l.counts
}

// demand returns the request rate of router i, per second. The last router gets
// busiestShare of the total.
func (l *load) demand(i int) float64 {
	others := len(l.urls) - 1
	if i == others {
		return demandFactor * busiestShare * l.opt.Limit
	}
	return demandFactor * (1 - busiestShare) * l.opt.Limit / float64(others)
}

// sendTo sends one router's requests at their due times, open-loop.
func (l *load) sendTo(ctx context.Context, i int) {
	interval := time.Duration(float64(time.Second) / l.demand(i))
	// The first requests of the routers are staggered over one interval.
	due := interval * time.Duration(i) / time.Duration(len(l.urls))
	for ; due < warmUp+l.opt.Duration; due += interval {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(l.start.Add(due))):
		}
		l.inFlight.Go(func() { l.sendAndCount(ctx, l.urls[i], due >= warmUp) })
	}
}

func (l *load) sendAndCount(ctx context.Context, url string, counting bool) {
	status := l.post(ctx, url)
	if !counting {
		return
	}
	l.counts.sent.Add(1)
	switch status {
	case http.StatusOK:
		l.counts.admitted.Add(1)
	case http.StatusTooManyRequests:
		l.counts.refused.Add(1)
	default:
		l.counts.failed.Add(1)
	}
}

// post sends a request and returns the status code; 0 if there is no complete
// response.
func (l *load) post(ctx context.Context, url string) int {
	body := fmt.Sprintf(`{"model":%q,"prompt":"hello [[tokens=1]]"}`, engine.DefaultModel)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return 0
	}
	req.Header.Set(api.HeaderAuthorization, "Bearer "+key)
	resp, err := l.client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}
