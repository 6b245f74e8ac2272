package relay_test

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"coveferry/internal/completion/completiontest"
	"coveferry/internal/filters/relay"
	"coveferry/internal/request"
	"coveferry/internal/upstream"
	"coveferry/internal/wire"
)

const (
	// longAnswerBytes is the length of the answers of these tests, and tolerableBytes what may be kept of one.
	longAnswerBytes = 64 << 20
	tolerableBytes  = 16 << 20
)

// relayLong relays an answer and returns how much of it was read and how much more memory is then in use.
func relayLong(r *request.Request, event string) (read int, kept int64, err error) {
	answer := &completiontest.LongAnswer{Event: event, Bytes: longAnswerBytes}
	r.Writer = completiontest.NewDiscardWriter()
	r.Answer = &http.Response{Body: answer, Trailer: http.Header{}}
	before := completiontest.HeapInUse()
	err = relay.Filter{}.Do(context.Background(), r, nil)
	return answer.BytesRead(), int64(answer.HeapAtEnd()) - int64(before), err
}

var (
	longToken    = strings.Replace(token, `"x"`, `"`+strings.Repeat("x", 16<<10)+`"`, 1)
	longToolCall = `data: {"id":"a","choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"function":{"arguments":"` + strings.Repeat("x", 16<<10) + `"}}]}}]}` + "\n\n"
)

// Guards against memory that is lost to an answer without end.
func TestTextOfALongStreamIsKeptToABound(t *testing.T) {
	g := NewWithT(t)
	r := newStreamRequest()
	read, kept, err := relayLong(r, longToken)
	g.Expect(err).To(HaveOccurred(), "it has no end")
	g.Expect(read).To(BeNumerically(">=", longAnswerBytes), "its caller gets all of it")
	g.Expect(kept).To(BeNumerically("<", tolerableBytes))
	g.Expect(r.Delivered.Unresumable).To(BeTrue())
}

// Guards against memory that is lost to an answer without end.
func TestCollectedAnswerIsReadToABound(t *testing.T) {
	for name, event := range map[string]string{"text": longToken, "tool call": longToolCall} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			read, _, err := relayLong(&request.Request{Kind: wire.KindChat}, event)
			var endless *upstream.EndlessError
			g.Expect(errors.As(err, &endless)).To(BeTrue(), "%v", err)
			g.Expect(endless.Part).To(Equal(upstream.PartText))
			g.Expect(read).To(BeNumerically("<", tolerableBytes))
		})
	}
}

func TestAnswerForWhichNoMemoryIsLeft(t *testing.T) {
	noMemory := func(int64) bool { return false }
	t.Run("a stream goes on and can't be resumed", func(t *testing.T) {
		g := NewWithT(t)
		r := newStreamRequest()
		r.ReserveAnswer = noMemory
		got, err := relayBody(r, strings.Repeat(longToken, 3)+end+done, wire.EndingComplete)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got).To(HaveSuffix(done))
		g.Expect(r.Delivered.Unresumable).To(BeTrue())
	})
	t.Run("a collected answer is broken off", func(t *testing.T) {
		g := NewWithT(t)
		_, err := relayBody(&request.Request{Kind: wire.KindChat, ReserveAnswer: noMemory}, strings.Repeat(longToken, 3)+end+done, wire.EndingComplete)
		g.Expect(err).To(HaveOccurred())
	})
}

func TestShortAnswerNeedsNoReservation(t *testing.T) {
	g := NewWithT(t)
	r := &request.Request{Kind: wire.KindChat, ReserveAnswer: func(int64) bool { return false }}
	_, err := relayBody(r, longToken+end+done, wire.EndingComplete)
	g.Expect(err).NotTo(HaveOccurred())
}
