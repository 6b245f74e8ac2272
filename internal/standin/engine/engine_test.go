package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/onsi/gomega"

	"coveferry/internal/standin/web/webtest"
)

// newClient returns a client of the handler.
func newClient(t *testing.T, h http.Handler) *http.Client { return webtest.Serve(t, h).Client }

// stream is the part of a streamed answer that a client received.
type stream struct {
	text   string
	tokens int
	reason string
	done   bool
	usage  *usage
	first  time.Duration // time to first token
	total  time.Duration
}

var errStoppedReading = errors.New("the client stops reading")

// post sends body and reads the stream until it ends or stopAfter tokens arrived.
func post(c *http.Client, path, body string, stopAfter int) (stream, error) {
	return postAs(c, path, "", body, stopAfter, new(atomic.Int32))
}

func postAs(c *http.Client, path, id, body string, stopAfter int, count *atomic.Int32) (stream, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, webtest.URL+path, strings.NewReader(body))
	req.Header.Set(HeaderRequestID, id)
	begin := time.Now()
	resp, err := c.Do(req)
	if err != nil {
		return stream{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		data, _ := io.ReadAll(resp.Body)
		return stream{}, errors.Newf("status %d: %s", resp.StatusCode, data)
	}
	s, err := readStream(resp.Body, begin, stopAfter, count)
	s.total = time.Since(begin)
	return s, err
}

func readStream(r io.Reader, begin time.Time, stopAfter int, count *atomic.Int32) (stream, error) {
	var s stream
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			s.done = true
			continue
		}
		if err := s.add(data, begin); err != nil {
			return s, err
		}
		count.Store(int32(s.tokens))
		if stopAfter > 0 && s.tokens == stopAfter {
			return s, errStoppedReading
		}
	}
	return s, lines.Err()
}

func (s *stream) add(data string, begin time.Time) error {
	var c chunk
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		return err
	}
	if c.Usage != nil {
		s.usage = c.Usage
		return nil
	}
	ch := c.Choices[0]
	if ch.FinishReason != nil {
		s.reason = *ch.FinishReason
		return nil
	}
	text := ch.Text
	if text == nil {
		text = ch.Delta.Content
	}
	if *text == "" {
		return nil
	}
	if s.tokens == 0 {
		s.first = time.Since(begin)
	}
	s.tokens++
	s.text += *text
	return nil
}

// chatBody returns a chat request with one message and additional fields.
func chatBody(prompt, more string) string {
	return `{"model":"stand-in","stream":true,"messages":[{"role":"user","content":"` + prompt + `"}]` + more + `}`
}

func TestStreamsACompleteAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		e := New(Config{TokenTime: 10 * time.Millisecond})
		body := chatBody("review [[tokens=20]]", `,"stream_options":{"include_usage":true}`)
		got, err := post(newClient(t, e.Handler()), PathChat, body, 0)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		want, err := ExpectedAnswer(PathChat, []byte(body))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(got.text).To(gomega.Equal(want.Text))
		g.Expect(got.tokens).To(gomega.Equal(20))
		g.Expect(got.usage.CompletionTokens).To(gomega.Equal(20))
		g.Expect(got.reason).To(gomega.Equal("stop"))
		g.Expect(got.done).To(gomega.BeTrue())
		g.Expect(got.first).To(gomega.Equal(10 * time.Millisecond))
		g.Expect(got.total).To(gomega.Equal(200 * time.Millisecond))
	})
}

func TestCrashAbortsAnswersMidStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		e := New(Config{TokenTime: 10 * time.Millisecond})
		c := newClient(t, e.Handler())
		time.AfterFunc(105*time.Millisecond, e.Crash)
		got, err := post(c, PathChat, chatBody("[[tokens=20]]", ""), 0)
		g.Expect(err).To(gomega.MatchError(io.ErrUnexpectedEOF))
		g.Expect(got.done).To(gomega.BeFalse())
		g.Expect(got.tokens).To(gomega.Equal(10))
		g.Expect(e.Record()).To(gomega.HaveLen(1))
		g.Expect(e.Record()[0].End).To(gomega.Equal(EndCrashed))
		g.Expect(e.Record()[0].Produced).To(gomega.Equal(10))

		for range 10 {
			_, err = post(c, PathChat, chatBody("hello", ""), 0)
			g.Expect(err).To(gomega.HaveOccurred())
			_, err = c.Get(webtest.URL + PathHealth)
			g.Expect(err).To(gomega.HaveOccurred())
		}
		e.Restart()
		got, err = post(c, PathChat, chatBody("hello [[tokens=3]]", ""), 0)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(got.done).To(gomega.BeTrue())
	})
}

func TestDisconnectStopsWorkWithinOneStep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		e := New(Config{TokenTime: 10 * time.Millisecond})
		_, err := post(newClient(t, e.Handler()), PathChat, chatBody("[[tokens=50]]", ""), 7)
		g.Expect(err).To(gomega.MatchError(errStoppedReading))
		time.Sleep(time.Second)
		g.Expect(e.Record()).To(gomega.HaveLen(1))
		g.Expect(e.Record()[0].End).To(gomega.Equal(EndCancelled))
		g.Expect(e.Record()[0].Produced).To(gomega.BeNumerically("<=", 8))
	})
}
