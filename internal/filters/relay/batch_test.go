package relay_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"coveferry/internal/filters/relay"
)

// batchReader is a response body that returns one batch per read. beforeRead is called
// with the data read so far, before each read that might block.
type batchReader struct {
	remaining  []string
	read       string
	beforeRead func(read string)
}

func (b *batchReader) Read(p []byte) (int, error) {
	b.beforeRead(b.read)
	if len(b.remaining) == 0 {
		return 0, io.EOF
	}
	n := copy(p, b.remaining[0])
	b.read += b.remaining[0][:n]
	b.remaining = b.remaining[1:]
	return n, nil
}

// recordingCaller records what is written and flushed, and can simulate a caller that
// disconnected.
type recordingCaller struct {
	countingCaller
	written, flushed string
	flushErr         error
}

func (c *recordingCaller) Write(p []byte) (int, error) {
	c.written += string(p)
	return len(p), nil
}

func (c *recordingCaller) FlushError() error {
	c.flushes++
	c.flushed = c.written
	return c.flushErr
}

func TestBatchIsFlushedOnceBeforeTheNextRead(t *testing.T) {
	g := NewWithT(t)
	to := &recordingCaller{countingCaller: countingCaller{header: make(http.Header)}}
	from := &batchReader{remaining: []string{token + token, token, token + end + done}}
	from.beforeRead = func(read string) {
		g.Expect(to.flushed+done).To(HavePrefix(read), "all data must be flushed before a read that may block")
	}
	r := newStreamRequest()
	r.Writer = to
	r.Answer = &http.Response{Body: io.NopCloser(from)}
	g.Expect(relay.Filter{}.Do(context.Background(), r, nil)).To(Succeed())
	g.Expect(to.flushed).To(Equal(token + token + token + token + end + done))
	g.Expect(to.flushes).To(Equal(4), "one per batch, one at the end")
}

func TestDisconnectedCallerIsDetectedAtFlush(t *testing.T) {
	for _, answer := range [][]string{{token, token}, {token + end}} {
		g := NewWithT(t)
		errDisconnected := errors.New("gone")
		r := newStreamRequest()
		r.Writer = &recordingCaller{countingCaller: countingCaller{header: make(http.Header)}, flushErr: errDisconnected}
		r.Answer = &http.Response{Body: io.NopCloser(&batchReader{remaining: answer, beforeRead: func(string) {}})}
		err := relay.Filter{}.Do(context.Background(), r, nil)
		var callerErr *relay.CallerError
		g.Expect(err).To(BeAssignableToTypeOf(callerErr))
		g.Expect(err).To(MatchError(errDisconnected))
		g.Expect(r.Delivered.Tokens).To(Equal(1), "nothing more is read")
	}
}
