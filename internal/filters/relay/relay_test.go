package relay_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"unicode/utf8"

	. "github.com/onsi/gomega"

	"coveferry/internal/filters/relay"
	"coveferry/internal/request"
	"coveferry/internal/wire"
)

const (
	token = `data: {"id":"a","choices":[{"index":0,"delta":{"content":"x"}}]}` + "\n\n"
	end   = `data: {"id":"a","choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}` + "\n\n"
	abort = `data: {"id":"a","choices":[{"index":0,"delta":{},"finish_reason":"abort"}]}` + "\n\n"
	done  = "data: [DONE]\n\n"
)

// relayBody relays the given body and final status, and returns what the caller
// received.
func relayBody(r *request.Request, stream string, ending wire.Ending) (string, error) {
	trailer := http.Header{}
	if ending != "" {
		_ = wire.Encode(trailer, wire.HeaderEnd, wire.End{Ending: ending})
	}
	w := httptest.NewRecorder()
	r.Writer = w
	r.Answer = &http.Response{Body: io.NopCloser(strings.NewReader(stream)), Trailer: trailer}
	err := relay.Filter{}.Do(context.Background(), r, nil)
	return w.Body.String(), err
}

func newStreamRequest() *request.Request { return &request.Request{Kind: wire.KindChat, Stream: true} }

// Each of these streams stops before the finish reason. The caller must receive only the
// valid beginning, so that the response can be resumed.
func TestAnswerWithoutFinishReasonIsIncomplete(t *testing.T) {
	for name, stream := range map[string]string{
		"empty":                       "",
		"cut off":                     token,
		"cut with done":               token + done,
		"aborted":                     token + abort + done,
		"cut within a chunk":          token + `data: {"id":"a","choices":[{"index":0,"delta":{"content":"y` + "\n\n" + end + done,
		"cut within the finish chunk": token + strings.TrimSuffix(end, "\n\n"),
		"cut within a rune":           token + `data: {"id":"a","choices":[{"index":0,"delta":{"content":"` + "\xc3" + `"}}]}` + "\n\n" + end + done,
		"error as a chunk":            token + `data: {"error":{"message":"out of memory"}}` + "\n\n" + done,
		"error as an event":           token + "event: error\ndata: {}\n\n" + done,
	} {
		g := NewWithT(t)
		r := newStreamRequest()
		got, err := relayBody(r, stream, wire.EndingComplete)
		var broken *relay.BrokenError
		g.Expect(err).To(BeAssignableToTypeOf(broken), name)
		g.Expect(got).To(Equal(strings.Repeat(token, r.Delivered.Tokens)), name)
		g.Expect(r.Delivered.Tokens).To(BeNumerically("<=", 1), name)
	}
}

// After the finish reason the response is complete, so a later failure must not cause a
// retry: a resuming engine could only add to the response.
func TestFailureAfterFinishReasonIsIgnored(t *testing.T) {
	for _, stream := range []string{token + end, token + end + done, token + end + token, token + end + "data: {\n\n"} {
		for _, ending := range []wire.Ending{"", wire.EndingComplete, wire.EndingEngineFailed, wire.EndingLeaving} {
			g := NewWithT(t)
			got, err := relayBody(newStreamRequest(), stream, ending)
			g.Expect(err).NotTo(HaveOccurred(), "%q %q", stream, ending)
			g.Expect(got).To(Equal(token+end+done), "%q %q", stream, ending)
		}
	}
}

func TestAnswerAtTokenLimitIsCompletedWithoutEngine(t *testing.T) {
	g := NewWithT(t)
	r := newStreamRequest()
	r.MaxTokens = 2
	_, err := relayBody(r, token, "")
	g.Expect(err).To(HaveOccurred())
	ended, err := relay.EndAtLimit(r)
	g.Expect(ended, err).To(BeFalse(), "one token is missing")
	_, err = relayBody(r, token, "")
	g.Expect(err).To(HaveOccurred())
	w := httptest.NewRecorder()
	r.Writer = w
	ended, err = relay.EndAtLimit(r)
	g.Expect(ended, err).To(BeTrue())
	g.Expect(w.Body.String()).To(Equal(strings.Replace(end, "stop", "length", 1) + done))

	r = &request.Request{Kind: wire.KindCompletion, MaxTokens: 1}
	_, err = relayBody(r, `data: {"id":"a","choices":[{"index":0,"text":"x"}]}`+"\n\n", "")
	g.Expect(err).To(HaveOccurred())
	w = httptest.NewRecorder()
	r.Writer = w
	g.Expect(relay.EndAtLimit(r)).To(BeTrue())
	g.Expect(w.Body.String()).To(ContainSubstring(`"text":"x","finish_reason":"length"`))
	g.Expect(w.Body.String()).To(ContainSubstring(`"completion_tokens":1`))
}

// FuzzRelay checks that for any input the end marker is sent at most once, only after the
// engine's finish reason, and with nothing after it.
func FuzzRelay(f *testing.F) {
	for _, stream := range []string{token + end + done, token + abort + done, token + done, "event: error\ndata: x\n\n", end + end, "data: [DONE]"} {
		f.Add(stream, true, true, "complete")
	}
	f.Fuzz(func(t *testing.T, stream string, chat, streams bool, ending string) {
		r := &request.Request{Kind: wire.KindCompletion, Stream: streams}
		if chat {
			r.Kind = wire.KindChat
		}
		got, err := relayBody(r, stream, wire.Ending(ending))
		whole := strings.HasSuffix(got, done)
		switch {
		case streams && whole != (err == nil):
			t.Fatalf("%v, but the caller got %q", err, got)
		case streams && strings.Count(got, done) > 1:
			t.Fatalf("more than one end marker: %q", got)
		case !streams && err != nil && got != "":
			t.Fatalf("%v, but the caller got %q", err, got)
		case err == nil && !strings.Contains(got, `"finish_reason"`):
			t.Fatalf("complete without a finish reason: %q", got)
		case !utf8.ValidString(got):
			t.Fatalf("not UTF-8: %q", got)
		}
	})
}

// Guards against a panic over a status that is none, which leaves the caller without an answer.
func TestServiceAnswerWithoutAFinalStatusIsNotRelayed(t *testing.T) {
	for _, status := range []int{0, 99, 101, 600} {
		g := NewWithT(t)
		w := httptest.NewRecorder()
		answer := &http.Response{Header: http.Header{}, Body: io.NopCloser(strings.NewReader("x"))}
		g.Expect(wire.Encode(answer.Header, wire.HeaderStatus, status)).To(Succeed())
		r := &request.Request{Kind: wire.KindService, Writer: w, Answer: answer}
		err := relay.Filter{}.Do(context.Background(), r, nil)
		var broken *relay.BrokenError
		g.Expect(err).To(BeAssignableToTypeOf(broken))
		g.Expect(r.Delivered.Started).To(BeFalse())
	}
}
