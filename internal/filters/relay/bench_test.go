package relay_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"coveferry/internal/filters/relay"
	"coveferry/internal/request"
	"coveferry/internal/wire"
)

// benchToken is the event of one token in the engines' format.
const benchToken = `data: {"id":"chatcmpl-0123456789abcdef","object":"chat.completion.chunk","created":1767225600,` +
	`"model":"model-00","choices":[{"index":0,"delta":{"content":" token"},"finish_reason":null}]}` + "\n\n"

const benchEnd = `data: {"id":"chatcmpl-0123456789abcdef","object":"chat.completion.chunk","created":1767225600,` +
	`"model":"model-00","choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}` + "\n\n" + done

// tokenReader is a response body that returns the given number of tokens per read.
type tokenReader struct {
	remaining, perRead int
	pending            []byte
}

func (t *tokenReader) Read(p []byte) (int, error) {
	if len(t.pending) == 0 {
		switch {
		case t.remaining > 0:
			n := min(t.remaining, t.perRead)
			t.remaining -= n
			t.pending = bytes.Repeat([]byte(benchToken), n)
		case t.remaining == 0:
			t.remaining--
			t.pending = []byte(benchEnd)
		default:
			return 0, io.EOF
		}
	}
	n := copy(p, t.pending)
	t.pending = t.pending[n:]
	return n, nil
}

// countingCaller is a response writer that counts flushes.
type countingCaller struct {
	header  http.Header
	flushes int
}

func (c *countingCaller) Header() http.Header              { return c.header }
func (c *countingCaller) WriteHeader(int)                  {}
func (c *countingCaller) Write(p []byte) (int, error)      { return len(p), nil }
func (c *countingCaller) FlushError() error                { c.flushes++; return nil }
func (c *countingCaller) SetWriteDeadline(time.Time) error { return nil }

// BenchmarkRelay measures the router's cost of relaying one token, without the network.
func BenchmarkRelay(b *testing.B) {
	for _, bench := range []struct {
		name    string
		perRead int
	}{{"alone", 1}, {"four-at-once", 4}} {
		b.Run(bench.name, func(b *testing.B) {
			b.ReportAllocs()
			to := &countingCaller{header: make(http.Header)}
			r := &request.Request{Kind: wire.KindChat, Stream: true, Writer: to}
			r.Answer = &http.Response{Body: io.NopCloser(&tokenReader{remaining: b.N, perRead: bench.perRead})}
			if err := (relay.Filter{}).Do(context.Background(), r, nil); err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(to.flushes)/float64(b.N), "flushes/op")
		})
	}
}
