package agent_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"coveferry/internal/agent"
	"coveferry/internal/sched/fifo"
	"coveferry/internal/wire"
)

// longAnswer is an answer of many chunks of text. At its end it records the heap in use.
type longAnswer struct {
	left   int // bytes
	rest   string
	atEnd  uint64
	closed bool
}

// Read implements io.Reader.
func (l *longAnswer) Read(p []byte) (int, error) {
	if l.rest == "" {
		l.next()
	}
	if l.closed {
		return 0, io.EOF
	}
	n := copy(p, l.rest)
	l.rest = l.rest[n:]
	return n, nil
}

func (l *longAnswer) next() {
	switch {
	case l.left > 0:
		l.rest = strings.Replace(textChunk, "x", strings.Repeat("x", 16<<10), 1)
		l.left -= len(l.rest)
	case l.atEnd == 0:
		l.atEnd = heapInUse()
		l.rest = endChunk + doneEvent
	default:
		l.closed = true
	}
}

func heapInUse() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// discardWriter is a ResponseWriter that keeps only the header.
type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header         { return d.header }
func (d discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (d discardWriter) WriteHeader(int)             {}
func (d discardWriter) Flush()                      {}

// Guards against memory that is lost to an answer without end.
func TestTextOfALongAnswerIsKeptToABound(t *testing.T) {
	const (
		answerBytes    = 64 << 20
		tolerableBytes = 8 << 20
	)
	g := NewWithT(t)
	answer := &longAnswer{left: answerBytes}
	engine := roundTripper(func() *http.Response {
		return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(answer)}
	})
	ag := agent.New(agent.Config{
		Endpoint: "e", Engine: agent.Engine{URL: "http://engine"}, MaxBody: 1 << 10,
		Policy: fifo.New(fifo.Config{Slots: 1}), Client: &http.Client{Transport: engine},
	})
	req := httptest.NewRequestWithContext(t.Context(), http.MethodPost, wire.PathAttempts, strings.NewReader(`{}`))
	g.Expect(wire.Encode(req.Header, wire.HeaderEnvelope, wire.Envelope{Request: "r", Endpoint: "e", Epoch: 1, Kind: wire.KindChat, DeadlineMillis: 60_000})).To(Succeed())
	before := heapInUse()
	w := discardWriter{http.Header{}}
	ag.Handler().ServeHTTP(w, req)
	var end wire.End
	g.Expect(wire.Decode(w.header, wire.HeaderEnd, &end)).To(Succeed())
	g.Expect(end.Ending).To(Equal(wire.EndingComplete))
	g.Expect(int64(answer.atEnd) - int64(before)).To(BeNumerically("<", tolerableBytes))
}

// roundTripper answers requests without a network.
type roundTripper func() *http.Response

// RoundTrip implements http.RoundTripper.
func (r roundTripper) RoundTrip(*http.Request) (*http.Response, error) { return r(), nil }
