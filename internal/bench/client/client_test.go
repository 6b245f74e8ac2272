package client_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"coveferry/internal/api"
	"coveferry/internal/bench/arrivals"
	"coveferry/internal/bench/client"
	"coveferry/internal/wire"
)

const (
	head          = `{"choices":[{"delta":{"role":"assistant"},"finish_reason":null}]}`
	tokenA        = `{"choices":[{"delta":{"content":"one"},"finish_reason":null}]}`
	tokenB        = `{"choices":[{"delta":{"content":" two"},"finish_reason":null}]}`
	finish        = `{"choices":[{"delta":{},"finish_reason":"stop"}]}`
	done          = "[DONE]"
	eventInterval = 100 * time.Millisecond
)

var arrival = arrivals.Arrival{
	ID: "r1", Team: "team", Class: "queries", At: time.Second, Deadline: time.Second,
	Prompt: "hello", NonIdempotent: true,
}

// script answers with a status and events, one per eventInterval, and
// then ends the body. With err it fails; with hang it never answers.
type script struct {
	status int
	header http.Header
	events []string
	err    error // of the connection
	hang   bool
	got    *http.Request
}

func (s *script) RoundTrip(r *http.Request) (*http.Response, error) {
	s.got = r
	if s.hang {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	if s.err != nil {
		return nil, s.err
	}
	pr, pw := io.Pipe()
	go s.write(r.Context(), pw)
	return &http.Response{StatusCode: s.status, Header: s.header, Body: pr}, nil
}

func (s *script) write(ctx context.Context, w *io.PipeWriter) {
	for _, e := range s.events {
		select {
		case <-time.After(eventInterval):
		case <-ctx.Done():
			_ = w.CloseWithError(ctx.Err())
			return
		}
		text := e
		if s.status == http.StatusOK {
			text = "data: " + e + "\n\n"
		}
		_, _ = io.WriteString(w, text)
	}
	_ = w.Close()
}

func do(ctx context.Context, s *script) client.Outcome {
	c := client.New(client.Config{
		Routers:   []string{"http://router"},
		Model:     "m",
		Key:       func(team string) string { return "key-of-" + team },
		Start:     time.Now().Add(-arrival.At),
		Transport: s,
	})
	return c.Do(ctx, arrival)
}

func stream(events ...string) *script { return &script{status: http.StatusOK, events: events} }

func TestEndOfEachKindOfAnswer(t *testing.T) {
	cases := []struct {
		name   string
		script *script
		end    client.End
	}{
		{"complete answer", stream(head, tokenA, tokenB, finish, done), client.EndComplete},
		{"no finish reason", stream(head, tokenA, tokenB, done), client.EndTruncated},
		{"no done marker", stream(head, tokenA, tokenB, finish), client.EndTruncated},
		{"broken event", stream(head, tokenA, "{", finish, done), client.EndTruncated},
		{"error event", stream(head, tokenA, `{"error":{"code":"engine_failed"}}`), client.EndErrorEvent},
		{"refusal", &script{status: 503, events: []string{`{"error":{"code":"queue_full"}}`}}, client.EndRefused},
		{"connection refused", &script{err: errors.New("refused")}, client.EndFailed},
		{"no answer until the deadline", &script{hang: true}, client.EndTimeout},
		{"slow beyond the deadline", stream(strings.Split(strings.Repeat(tokenA+"\n", 20), "\n")[:20]...), client.EndTimeout},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := do(t.Context(), c.script)
				g := gomega.NewWithT(t)
				g.Expect(o.End).To(gomega.Equal(c.end))
				g.Expect(o.Code == "").To(gomega.Equal(c.end == client.EndComplete))
				g.Expect(o.Ended).To(gomega.BeNumerically("<=", arrival.At+arrival.Deadline))
			})
		})
	}
}

func TestWholeAnswerIsTimedAndCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		s := stream(head, tokenA, tokenB, finish, done)
		s.header = http.Header{api.HeaderRequestID: {"q7"}}
		o := do(t.Context(), s)
		g.Expect(o.Text).To(gomega.Equal("one two"))
		g.Expect(o.Tokens).To(gomega.Equal(2))
		g.Expect(o.RequestID).To(gomega.Equal("q7"))
		g.Expect(o.Sent).To(gomega.Equal(time.Second))
		g.Expect(o.First).To(gomega.Equal(time.Second + 2*eventInterval))
		g.Expect(o.Gaps).To(gomega.Equal([]time.Duration{eventInterval}))
		g.Expect(o.Ended).To(gomega.Equal(time.Second + 5*eventInterval))
		g.Expect(s.got.Header.Get(api.HeaderAuthorization)).To(gomega.Equal("Bearer key-of-team"))
		g.Expect(s.got.Header.Get(api.HeaderClass)).To(gomega.Equal("queries"))
		g.Expect(s.got.Header.Get(api.HeaderNonIdempotent)).To(gomega.Equal("true"))
		g.Expect(s.got.Header.Get(api.HeaderIdempotencyKey)).To(gomega.Equal(client.IdempotencyKey(arrival)))
	})
}

func TestRefusalRecordsTheErrorResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		refusal := api.Error{Status: 503, Type: api.TypeOverloaded, Code: "queue_full", Run: wire.RunNot}
		s := &script{status: 503, events: []string{string(refusal.JSON())}, header: http.Header{"Retry-After": {"3"}}}
		o := do(t.Context(), s)
		g := gomega.NewWithT(t)
		g.Expect(o.Status).To(gomega.Equal(503))
		g.Expect(o.Code).To(gomega.Equal("queue_full"))
		g.Expect(o.Run).To(gomega.Equal(wire.RunNot))
		g.Expect(o.RetryAfter).To(gomega.Equal(3 * time.Second))
	})
}

func TestInterruptionIsNotATimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), eventInterval)
		defer cancel()
		gomega.NewWithT(t).Expect(do(ctx, &script{hang: true}).End).To(gomega.Equal(client.EndInterrupted))
	})
}

// slowDoer answers each request after ten seconds.
type slowDoer struct{ start time.Time }

func (s slowDoer) Do(ctx context.Context, a arrivals.Arrival) client.Outcome {
	o := client.Outcome{ID: a.ID, Sent: time.Since(s.start), End: client.EndComplete}
	select {
	case <-time.After(10 * time.Second):
	case <-ctx.Done():
		o.End = client.EndInterrupted
	}
	return o
}

var threeArrivals = []arrivals.Arrival{
	{ID: "r1", At: time.Second}, {ID: "r2", At: 2 * time.Second}, {ID: "r3", At: 3 * time.Second},
}

func TestLoadIsOpenLoop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		start := time.Now()
		result := client.Run(t.Context(), slowDoer{start}, threeArrivals, client.Options{Start: start, MaxOpen: 10})
		g.Expect(result.MaxOpen).To(gomega.Equal(3))
		for i, o := range result.Outcomes {
			g.Expect(o.ID).To(gomega.Equal(threeArrivals[i].ID))
			g.Expect(o.Sent).To(gomega.Equal(threeArrivals[i].At))
		}
	})
}

func TestOpenRequestLimitIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		start := time.Now()
		result := client.Run(t.Context(), slowDoer{start}, threeArrivals, client.Options{Start: start, MaxOpen: 2})
		g.Expect(result.LimitHit).To(gomega.Equal(1))
		g.Expect(result.Outcomes[2].End).To(gomega.Equal(client.EndInterrupted))
	})
}

func TestInterruptedRunKeepsSentRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 2500*time.Millisecond)
		defer cancel()
		start := time.Now()
		result := client.Run(ctx, slowDoer{start}, threeArrivals, client.Options{Start: start, MaxOpen: 10})
		g := gomega.NewWithT(t)
		g.Expect(result.Outcomes).To(gomega.HaveLen(2))
		g.Expect(time.Since(start)).To(gomega.Equal(2500 * time.Millisecond))
	})
}
