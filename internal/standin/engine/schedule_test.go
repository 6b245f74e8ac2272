package engine

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"coveferry/internal/standin/web/webtest"
)

const step = 10 * time.Millisecond

// asyncRequest is a request made by another goroutine.
type asyncRequest struct {
	got   stream
	err   error
	ended chan struct{}
	// tokens is the number of tokens received so far.
	tokens atomic.Int32
}

func (p *asyncRequest) wait() stream { <-p.ended; return p.got }

// launch sends a chat request and returns once the engine has received it.
func launch(c *http.Client, id, prompt, more string) *asyncRequest {
	p := &asyncRequest{ended: make(chan struct{})}
	go func() {
		defer close(p.ended)
		p.got, p.err = postAs(c, PathChat, id, chatBody(prompt, more), 0, &p.tokens)
	}()
	synctest.Wait()
	return p
}

func expectedText(g *gomega.WithT, prompt, more string) string {
	want, err := ExpectedAnswer(PathChat, []byte(chatBody(prompt, more)))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return want.Text
}

// startOrder returns the request ids of the runs in order of their start.
func startOrder(e *Engine) string {
	var ids []string
	for _, r := range e.Record() {
		ids = append(ids, r.RequestID)
	}
	return strings.Join(ids, " ")
}

func TestWaitingRequestsStartByPriorityThenArrival(t *testing.T) {
	for _, tc := range []struct {
		priorities bool
		want       string
	}{{true, "first c b d a"}, {false, "first a b c d"}} {
		synctest.Test(t, func(t *testing.T) {
			g := gomega.NewWithT(t)
			e := New(Config{Slots: 1, TokenTime: step, Priorities: tc.priorities})
			c := newClient(t, e.Handler())
			all := []*asyncRequest{
				launch(c, "first", "[[tokens=5]]", `,"priority":-9`),
				launch(c, "a", "[[tokens=2]]", `,"priority":9`),
				launch(c, "b", "[[tokens=2]]", `,"priority":3`),
				launch(c, "c", "[[tokens=2]]", `,"priority":1`),
				launch(c, "d", "[[tokens=2]]", `,"priority":3`),
			}
			for _, p := range all {
				g.Expect(p.wait().done).To(gomega.BeTrue())
			}
			g.Expect(startOrder(e)).To(gomega.Equal(tc.want))
		})
	}
}

func TestPreemptedSequenceContinuesTheSameAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		e := New(Config{Slots: 1, TokenTime: step, Priorities: true})
		c := newClient(t, e.Handler())
		low := launch(c, "low", "[[tokens=30]]", `,"priority":5`)
		time.Sleep(10 * step)
		high := launch(c, "high", "[[tokens=4]]", `,"priority":1`)
		g.Expect(high.wait().total).To(gomega.BeNumerically("<=", 5*step))
		g.Expect(low.wait().text).To(gomega.Equal(expectedText(g, "[[tokens=30]]", "")))
		run := e.Record()[0]
		g.Expect(run.Preemptions).To(gomega.Equal(1))
		g.Expect(run.Produced).To(gomega.Equal(30))
		g.Expect(run.End).To(gomega.Equal(EndCompleted))
	})
}

func TestRunningSequencesStayWithinKVMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		e := New(Config{Slots: 4, TokenTime: step, KVTokens: 100})
		c := newClient(t, e.Handler())
		a := launch(c, "a", "one [[tokens=60]]", "")
		b := launch(c, "b", "two [[tokens=60]]", "")
		for range 120 {
			time.Sleep(step)
			g.Expect(e.State().KVUsed).To(gomega.BeNumerically("<=", 100))
		}
		g.Expect(a.wait().text).To(gomega.Equal(expectedText(g, "one [[tokens=60]]", "")))
		g.Expect(b.wait().text).To(gomega.Equal(expectedText(g, "two [[tokens=60]]", "")))
		g.Expect(e.Totals().Preemptions).To(gomega.BeNumerically(">", 0))
		g.Expect(e.State().KVUsed).To(gomega.BeZero())
	})
}

func TestNoPreemptionIfItFreesTooLittleKVMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		e := New(Config{Slots: 4, TokenTime: step, KVTokens: 400, Priorities: true})
		c := newClient(t, e.Handler())
		high := launch(c, "high", strings.Repeat("deed ", 200)+"[[tokens=20]]", `,"priority":1`)
		low := launch(c, "low", "[[tokens=20]]", `,"priority":9`)
		time.Sleep(2 * step) // low starts
		middle := launch(c, "middle", strings.Repeat("deed ", 200)+"[[tokens=5]]", `,"priority":5`)
		for _, p := range []*asyncRequest{high, low, middle} {
			g.Expect(p.wait().done).To(gomega.BeTrue())
		}
		g.Expect(e.Totals().Preemptions).To(gomega.BeZero())
		g.Expect(startOrder(e)).To(gomega.Equal("high low middle"))
	})
}

func TestStepTimeGrowsWithTheBatchAndFallsWithSpeed(t *testing.T) {
	g := gomega.NewWithT(t)
	e := New(Config{TokenTime: step, BatchSlope: time.Millisecond, PrefillPerToken: time.Microsecond, Speed: 0.5})
	e.running = []*sequence{{pending: 100}, {}, {}}
	g.Expect(e.stepTime()).To(gomega.Equal(2 * (step + 2*time.Millisecond + 100*time.Microsecond)))
	e.SetSpeed(1)
	g.Expect(e.stepTime()).To(gomega.Equal(step + 2*time.Millisecond + 100*time.Microsecond))
}

func TestScheduleCatchesUpAfterLateTimersButNotAfterPauses(t *testing.T) {
	g := gomega.NewWithT(t)
	last := time.Unix(100, 0)
	g.Expect(schedule(last, last.Add(5*time.Millisecond), step)).To(gomega.Equal(last.Add(step)))
	late := last.Add(20 * time.Second)
	g.Expect(schedule(last, late, step)).To(gomega.Equal(late.Add(step - maxCatchUp)))
}

func TestPrefixCacheShortensPrefillAndIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		e := New(Config{TokenTime: step, PrefillPerToken: time.Millisecond, PrefixCacheTokens: 320})
		c := newClient(t, e.Handler())
		long := strings.Repeat("constitution ", 80) + "[[tokens=2]]"
		ask := func(prompt string) Run {
			launch(c, "x", prompt, "").wait()
			runs := e.Record()
			return runs[len(runs)-1]
		}
		cold := ask(long)
		warm := ask(long)
		g.Expect(cold.Prefilled).To(gomega.BeNumerically(">", 250))
		g.Expect(warm.Prefilled).To(gomega.BeNumerically("<=", BlockTokens))
		g.Expect(cold.Stop.Sub(cold.Start) - warm.Stop.Sub(warm.Start)).To(gomega.BeNumerically(">", 200*time.Millisecond))

		ask(strings.Repeat("other ", 200) + "[[tokens=2]]")
		g.Expect(e.prefix.blocks.Len()).To(gomega.Equal(320 / BlockTokens))
		g.Expect(ask(long).Prefilled).To(gomega.BeNumerically(">", 250))
	})
}

func TestLoadReportLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		e := New(Config{Slots: 1, TokenTime: step, LoadLag: 200 * time.Millisecond})
		c := newClient(t, e.Handler())
		a := launch(c, "a", "[[tokens=50]]", "")
		launch(c, "b", "[[tokens=1]]", "")
		time.Sleep(190 * time.Millisecond)
		g.Expect(e.Load().Running + e.Load().Waiting).To(gomega.BeZero())
		time.Sleep(30 * time.Millisecond)
		g.Expect(e.Load().Running).To(gomega.Equal(1))
		g.Expect(e.Load().Waiting).To(gomega.Equal(1))
		g.Expect(time.Since(e.Load().At)).To(gomega.Equal(200 * time.Millisecond))
		a.wait()
		time.Sleep(100 * time.Millisecond)
		g.Expect(e.Load().Running).To(gomega.Equal(1))
		time.Sleep(200 * time.Millisecond)
		g.Expect(e.Load().Running + e.Load().Waiting).To(gomega.BeZero())
	})
}

func TestLoadSamplesAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	l := newLoadLog(200 * time.Millisecond)
	for i := range 100_000 {
		l.add(LoadReport{At: time.Unix(0, int64(i)*int64(100*time.Microsecond))})
		g.Expect(len(l.samples)).To(gomega.BeNumerically("<=", 2*bucketsPerLag+2))
	}
}

func TestPrefixCacheEvictsTheTailOfAPromptFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newPrefixCache(4 * BlockTokens)
	a := []uint64{1, 2, 3}
	c.add(a)
	change := c.add([]uint64{8, 9})
	g.Expect(change.removed).To(gomega.Equal([]uint64{3}))
	g.Expect(c.match(a)).To(gomega.Equal(2))
}

func TestPauseStopsTheProcessAndHangOnlyDecoding(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		e := New(Config{TokenTime: step})
		c := newClient(t, e.Handler())
		p := launch(c, "a", "[[tokens=20]]", "")
		time.Sleep(5*step + step/2)
		e.Hang()
		resp, err := c.Get(webtest.URL + PathHealth)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(resp.Body.Close()).To(gomega.Succeed())
		time.Sleep(time.Second)
		e.Resume()
		e.Pause()
		health := make(chan time.Time)
		go func() {
			resp, err := c.Get(webtest.URL + PathHealth)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(resp.Body.Close()).To(gomega.Succeed())
			health <- time.Now()
		}()
		time.Sleep(time.Second)
		g.Expect(e.Record()[0].Produced).To(gomega.Equal(5))
		e.Resume()
		g.Expect(<-health).To(gomega.Equal(time.Now()))
		g.Expect(p.wait().text).To(gomega.Equal(expectedText(g, "[[tokens=20]]", "")))
		g.Expect(p.got.total).To(gomega.BeNumerically("~", 2*time.Second+200*time.Millisecond, 2*step+maxCatchUp))
	})
}

func TestStreamIntervalSendsSeveralTokensAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		e := New(Config{TokenTime: step, StreamInterval: 5})
		defer e.Crash()
		p := launch(newClient(t, e.Handler()), "a", "[[tokens=12]]", "")
		received := func() int { synctest.Wait(); return int(p.tokens.Load()) }
		time.Sleep(9*step + step/2)
		g.Expect(received()).To(gomega.Equal(5))
		time.Sleep(step)
		g.Expect(received()).To(gomega.Equal(10))
		g.Expect(p.wait().text).To(gomega.Equal(expectedText(g, "[[tokens=12]]", "")))
	})
}

func TestNothingIsWrittenWhilePaused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		e := New(Config{TokenTime: step})
		req, err := parseRequest(true, []byte(chatBody("[[tokens=3]]", "")))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		s, err := e.submit(req)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		time.Sleep(2*step + step/2)
		e.Pause()
		w := httptest.NewRecorder()
		done := make(chan error)
		go func() { done <- e.relay(t.Context(), s, newResponseWriter(w, req)) }()
		synctest.Wait()
		g.Expect(w.Body.Len()).To(gomega.BeZero())
		e.Resume()
		g.Expect(<-done).To(gomega.Succeed())
		g.Expect(w.Body.String()).To(gomega.HaveSuffix("data: [DONE]\n\n"))
	})
}

func TestDecodeLoopFromBeforeACrashStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		e := New(Config{TokenTime: step})
		before := e.crashSignal
		e.Crash()
		e.Restart()
		p := launch(newClient(t, e.Handler()), "a", "[[tokens=3]]", "")
		g.Expect(e.endStep(before, time.Now())).To(gomega.BeFalse())
		g.Expect(p.wait().total).To(gomega.Equal(3 * step))
	})
}
