package dispatch

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"coveferry/internal/bundle"
	"coveferry/internal/pipeline"
	"coveferry/internal/request"
)

// expectContinue makes the transport withhold the body until the agent asks for it, which
// it does right before it runs the attempt.
const expectContinue = "100-continue"

// errOtherClaimed ends a reservation after the other endpoint got the body.
var errOtherClaimed = errors.New("dispatch: the other endpoint was first")

// binding gives the body to the first of two reservations that asks for it. The other one
// is canceled at once to release its place in the queue.
type binding struct {
	mu     sync.Mutex
	winner int // noWinner until an agent asks for the body
	body   []byte
	cancel [2]context.CancelCauseFunc
}

const noWinner = -1

// claim gives the body to reservation i unless the other one has it.
func (b *binding) claim(i int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.winner == noWinner {
		b.winner = i
		b.cancel[1-i](errOtherClaimed)
	}
	return b.winner == i
}

// claimed reports whether reservation i has the body.
func (b *binding) claimed(i int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.winner == i
}

// bodyGate is the request body of one reservation. Its first Read claims the body.
type bodyGate struct {
	binding *binding
	index   int
	reader  io.Reader // nil before the claim
}

// Read implements io.Reader.
func (g *bodyGate) Read(p []byte) (int, error) {
	if g.reader == nil {
		if !g.binding.claim(g.index) {
			return 0, errOtherClaimed
		}
		g.reader = bytes.NewReader(g.binding.body)
	}
	return g.reader.Read(p)
}

// Close implements io.Closer.
func (g *bodyGate) Close() error { return nil }

// reservation is a queued request at one endpoint of a pair.
type reservation struct {
	endpoint *bundle.Endpoint
	req      *http.Request
	sent     time.Time
	claimed  func() bool
}

// reservationResult is the result of a reservation: a response to relay, or an error.
type reservationResult struct {
	*reservation
	resp *http.Response
	err  error
}

// sendPair queues the request at both endpoints and runs it at the one that asks for the
// body first.
func (f *Filter) sendPair(ctx context.Context, r *request.Request, body []byte, next pipeline.Next) error {
	endpoints := [2]*bundle.Endpoint{r.Endpoint, r.SecondEndpoint}
	b := &binding{winner: noWinner, body: body}
	var pair [2]*reservation
	for i, e := range endpoints {
		var reservationCtx context.Context
		reservationCtx, b.cancel[i] = context.WithCancelCause(ctx)
		defer b.cancel[i](nil)
		req, err := f.request(reservationCtx, r, e, &bodyGate{binding: b, index: i}, len(body))
		if err != nil {
			return err
		}
		req.Header.Set("Expect", expectContinue)
		pair[i] = &reservation{endpoint: e, req: req, claimed: func() bool { return b.claimed(i) }}
	}
	replies := make(chan reservationResult, len(pair))
	for _, res := range pair {
		res.sent = time.Now()
		f.pool.Sent(res.sent, res.endpoint.Name)
		go func() { replies <- f.reserve(res) }()
	}
	return f.awaitPair(r, endpoints, replies, next)
}

// reserve waits for the endpoint's reply. A refusal or error is recorded immediately, so
// that the endpoint doesn't count as busy while the other one responds.
func (f *Filter) reserve(res *reservation) reservationResult {
	resp, err := f.client.Do(res.req)
	if err == nil && resp.StatusCode == http.StatusOK {
		return reservationResult{reservation: res, resp: resp}
	}
	if err != nil {
		// Without the body the agent can't have run the request.
		err = &NoResponseError{Sent: res.claimed(), Cause: err}
	} else {
		f.recordResponseHeader(res.endpoint.Name, resp.Header)
		err = errors.CombineErrors(readRefusal(resp), resp.Body.Close())
	}
	f.recordResult(res.req.Context(), res.endpoint, err, 0)
	return reservationResult{reservation: res, err: err}
}

// awaitPair relays the response of the endpoint that ran the request. If neither did, it
// returns the error of the endpoint that had the body, or else of the first one.
func (f *Filter) awaitPair(r *request.Request, endpoints [2]*bundle.Endpoint, replies <-chan reservationResult, next pipeline.Next) error {
	var failed reservationResult
	for range endpoints {
		p := <-replies
		if p.resp != nil {
			r.Endpoint = p.endpoint
			err := f.handleResponse(p.req.Context(), r, p.resp, next)
			f.recordResult(p.req.Context(), p.endpoint, err, firstToken(r, p.sent))
			return err
		}
		if failed.reservation == nil || p.claimed() || p.endpoint == endpoints[0] && !failed.claimed() {
			failed = p
		}
	}
	r.Endpoint = failed.endpoint
	return failed.err
}
