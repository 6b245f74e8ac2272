package agent_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"coveferry/internal/agent"
	"coveferry/internal/sched/fifo"
	"coveferry/internal/wire"
)

const (
	token = `data: {"id":"a","choices":[{"index":0,"text":"x"}]}` + "\n\n"
	end   = `data: {"id":"a","choices":[{"index":0,"text":"","finish_reason":"stop"}]}` + "\n\ndata: [DONE]\n\n"
)

// batchedEngine is an engine whose answer arrives one batch per read. beforeRead
// is called with the text received so far, before each read that could block.
type batchedEngine struct {
	remaining  []string
	received   string
	beforeRead func(received string)
}

func (p *batchedEngine) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(p)}, nil
}

func (p *batchedEngine) Read(b []byte) (int, error) {
	p.beforeRead(p.received)
	if len(p.remaining) == 0 {
		return 0, io.EOF
	}
	n := copy(b, p.remaining[0])
	p.received += p.remaining[0][:n]
	p.remaining = p.remaining[1:]
	return n, nil
}

// flushRecorder records the text that was flushed.
type flushRecorder struct {
	*httptest.ResponseRecorder
	flushedText string
	flushes     int
}

func (f *flushRecorder) FlushError() error {
	f.flushes++
	f.flushedText = f.Body.String()
	return nil
}

func TestTokensOfOneReadAreFlushedTogether(t *testing.T) {
	g := NewWithT(t)
	w := &flushRecorder{ResponseRecorder: httptest.NewRecorder()}
	engine := &batchedEngine{remaining: []string{token + token, token, token + end}}
	engine.beforeRead = func(received string) { g.Expect(w.flushedText).To(Equal(received), "unflushed data before a read") }
	ag := agent.New(agent.Config{
		Endpoint: "e", Engine: agent.Engine{URL: "http://engine"}, Policy: fifo.New(fifo.Config{Slots: 1}),
		MaxBody: 1 << 10, Client: &http.Client{Transport: engine},
	})
	req := httptest.NewRequest(http.MethodPost, wire.PathAttempts, strings.NewReader(`{"prompt":"x"}`))
	env := wire.Envelope{Request: "r", Endpoint: "e", Epoch: 1, Kind: wire.KindCompletion, DeadlineMillis: 60_000}
	g.Expect(wire.Encode(req.Header, wire.HeaderEnvelope, env)).To(Succeed())
	ag.Handler().ServeHTTP(w, req)
	g.Expect(w.flushedText).To(Equal(token + token + token + token + end))
	g.Expect(w.flushes).To(Equal(3), "one flush per batch")
}
