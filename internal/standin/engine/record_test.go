package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"coveferry/internal/standin/web/webtest"
)

func TestRecordHoldsTheEndOfEachRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		e := New(Config{Slots: 3, TokenTime: step})
		c := newClient(t, e.Handler())
		done := launch(c, "done", "[[tokens=3]]", "")
		aborted := launch(c, "aborted", "[[tokens=90]]", "")
		crashed := launch(c, "crashed", "[[tokens=90]]", "")
		done.wait()
		moved := launch(c, "moved", "[[tokens=90]]", "")
		waiting := launch(c, "waiting", "[[tokens=90]]", "")
		time.Sleep(5*step + step/2)
		_, reply, err := callRaw(c, PathAbort, []byte(`{"request_id":"aborted"}`))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(string(reply)).To(gomega.Equal(`{"aborted":1}`))
		g.Expect(e.Abort("moved", EndPreempted)).To(gomega.Equal(1))
		g.Expect(e.Abort("waiting", EndCancelled)).To(gomega.Equal(1))
		g.Expect(waiting.wait().reason).To(gomega.Equal(finishAbort))
		time.Sleep(step)
		e.Crash()

		runs := e.Record()
		g.Expect(startOrder(e)).To(gomega.Equal("done aborted crashed moved"))
		for i, p := range []*asyncRequest{done, aborted, crashed, moved} {
			g.Expect(runs[i].Produced).To(gomega.Equal(p.wait().tokens))
			g.Expect(runs[i].Stop.After(runs[i].Start)).To(gomega.BeTrue())
		}
		ends := []End{runs[0].End, runs[1].End, runs[2].End, runs[3].End}
		g.Expect(ends).To(gomega.Equal([]End{EndCompleted, EndCancelled, EndCrashed, EndPreempted}))
		totals := e.Totals()
		g.Expect(totals.NeverStarted).To(gomega.Equal(1))
		g.Expect(totals.Produced).To(gomega.Equal(done.got.tokens + aborted.got.tokens + crashed.got.tokens + moved.got.tokens))

		resp, err := c.Get(webtest.URL + "/control/record")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		defer func() { _ = resp.Body.Close() }()
		var over RecordReply
		g.Expect(json.NewDecoder(resp.Body).Decode(&over)).To(gomega.Succeed())
		g.Expect(over.Totals).To(gomega.Equal(totals))
		g.Expect(over.Runs).To(gomega.HaveLen(4))
	})
}

func TestRecordIsBoundedAndCountsWhatItDropped(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRecorder(3)
	for i := range 5 {
		run := &Run{RequestID: strconv.Itoa(i)}
		r.start(run)
		r.end(run, time.Unix(1, 0), EndCompleted)
	}
	g.Expect(r.list()).To(gomega.HaveLen(3))
	g.Expect(r.list()[0].RequestID).To(gomega.Equal("2"))
	g.Expect(r.totals.Dropped).To(gomega.Equal(2))
	g.Expect(r.totals.Ends[EndCompleted]).To(gomega.Equal(5))
}

func TestNonStreamedAnswerAndRejectedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		e := New(Config{TokenTime: step, MaxModelLen: 50})
		c := newClient(t, e.Handler())
		body := `{"model":"stand-in","prompt":"hello [[tokens=9]]","max_tokens":4}`
		_, data, err := callRaw(c, PathCompletions, []byte(body))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		var whole chunk
		g.Expect(json.Unmarshal(data, &whole)).To(gomega.Succeed())
		want, err := ExpectedAnswer(PathCompletions, []byte(body))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(*whole.Choices[0].Text).To(gomega.Equal(want.Text))
		g.Expect(*whole.Choices[0].FinishReason).To(gomega.Equal("length"))
		g.Expect(whole.Usage.CompletionTokens).To(gomega.Equal(4))

		for body, status := range map[string]int{
			`{`:                             http.StatusBadRequest,
			`{"model":"other","prompt":""}`: http.StatusNotFound,
			`{"model":"stand-in"}`:          http.StatusBadRequest,
			`{"model":"stand-in","prompt":"","max_tokens":0}`:                               http.StatusBadRequest,
			`{"model":"stand-in","prompt":"","n":2}`:                                        http.StatusBadRequest,
			`{"model":"stand-in","prompt":"ref:00000000 the","resume_from_tokens":2}`:       http.StatusBadRequest,
			`{"model":"stand-in","prompt":"` + strings.Repeat("x", 50*bytesPerToken) + `"}`: http.StatusBadRequest,
		} {
			resp, data, err := callRaw(c, PathCompletions, []byte(body))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(resp.StatusCode).To(gomega.Equal(status), body)
			g.Expect(string(data)).To(gomega.ContainSubstring(`"code":`+strconv.Itoa(status)), body)
		}
		g.Expect(e.Totals().Runs).To(gomega.Equal(1))
		g.Expect(e.Totals().Mismatches).To(gomega.Equal(1))
	})
}

// BenchmarkStep measures one decode step with 32 running sequences, without
// the handlers that write the tokens.
func BenchmarkStep(b *testing.B) {
	e := New(Config{Slots: 32, KVTokens: 1 << 40, MaxModelLen: 1 << 40})
	req, err := parseRequest(true, []byte(chatBody("[[tokens=9999999]]", "")))
	if err != nil {
		b.Fatal(err)
	}
	e.looping = true // the benchmark runs the steps itself
	for range 32 {
		if _, err := e.submit(req); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		e.beginStep(e.crashSignal)
		e.endStep(e.crashSignal, time.Now())
	}
}

// BenchmarkToken measures the handler's cost of a streamed token, without the
// connection.
func BenchmarkToken(b *testing.B) {
	req, err := parseRequest(true, []byte(chatBody("[[tokens=9999999]]", "")))
	if err != nil {
		b.Fatal(err)
	}
	out := newResponseWriter(discard{}, req)
	if err := out.begin(); err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if err := out.write(progress{produced: i + 1}); err != nil {
			b.Fatal(err)
		}
	}
}

// discard is an http.ResponseWriter that drops everything.
type discard struct{}

func (discard) Header() http.Header         { return http.Header{} }
func (discard) Write(p []byte) (int, error) { return len(p), nil }
func (discard) WriteHeader(int)             {}
func (discard) Flush()                      {}
