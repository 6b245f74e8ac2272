package agent_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"coveferry/internal/agent"
	"coveferry/internal/completion/completiontest"
	"coveferry/internal/sched/fifo"
	"coveferry/internal/wire"
)

// Guards against memory that is lost to an answer without end.
func TestTextOfALongAnswerIsKeptToABound(t *testing.T) {
	const (
		answerBytes    = 64 << 20
		tolerableBytes = 8 << 20
	)
	g := NewWithT(t)
	answer := &completiontest.LongAnswer{
		Event: strings.Replace(textChunk, "x", strings.Repeat("x", 16<<10), 1), Bytes: answerBytes, End: endChunk + doneEvent,
	}
	engine := roundTripper(func() *http.Response {
		return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: answer}
	})
	ag := agent.New(agent.Config{
		Endpoint: "e", Engine: agent.Engine{URL: "http://engine"}, MaxBody: 1 << 10,
		Policy: fifo.New(fifo.Config{Slots: 1}), Client: &http.Client{Transport: engine},
	})
	req := httptest.NewRequestWithContext(t.Context(), http.MethodPost, wire.PathAttempts, strings.NewReader(`{}`))
	g.Expect(wire.Encode(req.Header, wire.HeaderEnvelope, wire.Envelope{Request: "r", Endpoint: "e", Epoch: 1, Kind: wire.KindChat, DeadlineMillis: 60_000})).To(Succeed())
	before := completiontest.HeapInUse()
	w := completiontest.NewDiscardWriter()
	ag.Handler().ServeHTTP(w, req)
	var end wire.End
	g.Expect(wire.Decode(w.Header(), wire.HeaderEnd, &end)).To(Succeed())
	g.Expect(end.Ending).To(Equal(wire.EndingComplete))
	g.Expect(int64(answer.HeapAtEnd()) - int64(before)).To(BeNumerically("<", tolerableBytes))
}

// roundTripper answers requests without a network.
type roundTripper func() *http.Response

// RoundTrip implements http.RoundTripper.
func (r roundTripper) RoundTrip(*http.Request) (*http.Response, error) { return r(), nil }
