package agent_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/agent"
	"coveferry/internal/load"
	"coveferry/internal/memnet"
	"coveferry/internal/sched"
	"coveferry/internal/server"
	"coveferry/internal/wire"
)

const (
	textChunk = `data: {"id":"a","choices":[{"delta":{"content":"x"}}]}` + "\n\n"
	toolChunk = `data: {"id":"a","choices":[{"delta":{"tool_calls":[{"index":0}]}}]}` + "\n\n"
	endChunk  = `data: {"id":"a","choices":[{"delta":{},"finish_reason":"stop"}]}` + "\n\n"
	doneEvent = "data: [DONE]\n\n"
)

// scriptedPolicy is a policy with one slot: the second job preempts the first,
// which resumes when the second has finished.
type scriptedPolicy struct{ pending []sched.Decision }

func (s *scriptedPolicy) Offer(_ time.Time, j sched.Job) sched.Verdict {
	step := sched.Decision{Action: sched.ActionStart, Job: 1}
	if j.ID == 2 {
		step.Action = sched.ActionPreempt
	}
	s.pending = append(s.pending, step)
	return sched.Verdict{Admitted: true}
}

func (s *scriptedPolicy) Next(time.Time) sched.Decision {
	if len(s.pending) == 0 {
		return sched.Decision{}
	}
	step := s.pending[0]
	s.pending = s.pending[1:]
	return step
}

func (s *scriptedPolicy) Requeue(time.Time, sched.JobID) {
	s.pending = append(s.pending, sched.Decision{Action: sched.ActionStart, Job: 2})
}

func (s *scriptedPolicy) Finish(_ time.Time, id sched.JobID) {
	s.pending = append(s.pending, sched.Decision{Action: sched.ActionStart, Job: 3 - id})
}

func (*scriptedPolicy) Tokens(time.Time, sched.JobID, int) {}
func (*scriptedPolicy) Load(time.Time) load.Report         { return load.Report{} }
func (*scriptedPolicy) Wake() time.Time                    { return time.Time{} }

// engineStub answers the runs of the first request with its functions in turn,
// and other requests with a short complete answer.
type engineStub struct {
	runs     []func(w http.ResponseWriter, done <-chan struct{})
	requests atomic.Int32
}

func (e *engineStub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	if !strings.HasPrefix(r.Header.Get("X-Request-Id"), "first.") {
		_, _ = io.WriteString(w, textChunk+endChunk+doneEvent)
		return
	}
	e.runs[e.requests.Add(1)-1](w, r.Context().Done())
}

// send writes part of an answer and flushes it.
func send(w http.ResponseWriter, text string) {
	_, _ = io.WriteString(w, text)
	_ = http.NewResponseController(w).Flush()
}

// attempt sends an attempt to the agent and returns its response.
func attempt(g *WithT, ag *agent.Agent, env wire.Envelope) *http.Response {
	body := `{"model":"m","max_tokens":2,"messages":[{"role":"user","content":"x"}]}`
	req := httptest.NewRequestWithContext(context.Background(), http.MethodPost, wire.PathAttempts, strings.NewReader(body))
	env.Endpoint, env.Epoch, env.Kind = "e", 1, wire.KindChat
	g.Expect(wire.Encode(req.Header, wire.HeaderEnvelope, env)).To(Succeed())
	w := httptest.NewRecorder()
	ag.Handler().ServeHTTP(w, req)
	return w.Result()
}

// runPreemption sends a first request to the engine, and after a second, if it
// still runs, another that preempts it. It calls check with the response to the
// first.
func runPreemption(t *testing.T, e *engineStub, check func(g *WithT, resp *http.Response)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		net := memnet.New()
		l, err := net.Listen(serviceAddress)
		g.Expect(err).NotTo(HaveOccurred())
		srv := server.New(server.Config{Listener: l, Handler: e})
		go func() { _ = srv.Run() }()
		client := server.NewClient(nil, net.Dialer("agent"))
		ag := agent.New(agent.Config{
			Endpoint: "e", Engine: agent.Engine{URL: "http://" + serviceAddress, Resume: true},
			Policy: &scriptedPolicy{}, MaxBody: 1 << 10, Client: client, Clock: time.Now,
		})
		done := make(chan *http.Response, 1)
		go func() { done <- attempt(g, ag, wire.Envelope{Request: "first", DeadlineMillis: 60_000}) }()
		time.Sleep(time.Second)
		if len(done) == 0 {
			go attempt(g, ag, wire.Envelope{Request: "second", DeadlineMillis: 60_000})
		}
		check(g, <-done)
		synctest.Wait()
		client.CloseIdleConnections()
		g.Expect(srv.Kill()).To(Succeed())
	})
}

func ending(g *WithT, resp *http.Response) wire.Ending {
	var end wire.End
	g.Expect(wire.Decode(resp.Trailer, wire.HeaderEnd, &end)).To(Succeed())
	return end.Ending
}

// No engine can resume from part of a tool call, so the job keeps its slot.
func TestToolCallIsNotPreempted(t *testing.T) {
	e := &engineStub{runs: []func(http.ResponseWriter, <-chan struct{}){
		func(w http.ResponseWriter, done <-chan struct{}) {
			send(w, toolChunk)
			select {
			case <-time.After(2 * time.Second):
				send(w, endChunk+doneEvent)
			case <-done:
			}
		},
	}}
	runPreemption(t, e, func(g *WithT, resp *http.Response) {
		g.Expect(ending(g, resp)).To(Equal(wire.EndingComplete))
		g.Expect(e.requests.Load()).To(BeEquivalentTo(1))
	})
}

// An answer preempted at its token limit must be completed by the agent: a resumed
// engine would have to add a token to end it.
func TestAnswerPreemptedAtTokenLimitEnds(t *testing.T) {
	e := &engineStub{runs: []func(http.ResponseWriter, <-chan struct{}){
		func(w http.ResponseWriter, done <-chan struct{}) { send(w, textChunk+textChunk); <-done },
	}}
	runPreemption(t, e, func(g *WithT, resp *http.Response) {
		body, err := io.ReadAll(resp.Body)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(body)).To(HaveSuffix(`"finish_reason":"length"}]}` + "\n\n" + doneEvent))
		g.Expect(ending(g, resp)).To(Equal(wire.EndingComplete))
		g.Expect(e.requests.Load()).To(BeEquivalentTo(1))
	})
}

func TestConnectionBreakBeforeOrAfterFinalChunk(t *testing.T) {
	for stream, want := range map[string]wire.Ending{
		textChunk + endChunk: wire.EndingComplete,
		textChunk:            wire.EndingEngineFailed,
	} {
		e := &engineStub{runs: []func(http.ResponseWriter, <-chan struct{}){
			func(w http.ResponseWriter, _ <-chan struct{}) { send(w, stream); panic(http.ErrAbortHandler) },
		}}
		runPreemption(t, e, func(g *WithT, resp *http.Response) { g.Expect(ending(g, resp)).To(Equal(want), stream) })
	}
}

// The first run may have taken effect, so a refusal of the second run must not
// report the attempt as not run.
func TestRunStatusSurvivesPreemption(t *testing.T) {
	e := &engineStub{runs: []func(http.ResponseWriter, <-chan struct{}){
		func(_ http.ResponseWriter, done <-chan struct{}) { <-done },
		func(w http.ResponseWriter, _ <-chan struct{}) { w.WriteHeader(http.StatusServiceUnavailable) },
	}}
	runPreemption(t, e, func(g *WithT, resp *http.Response) {
		var refusal wire.Refusal
		g.Expect(json.NewDecoder(resp.Body).Decode(&refusal)).To(Succeed())
		g.Expect(refusal.Reason).To(Equal(wire.ReasonEngineDown))
		g.Expect(refusal.Run).To(Equal(wire.RunUnknown))
		g.Expect(e.requests.Load()).To(BeEquivalentTo(2))
	})
}

// For a router that has no reading of the agent's clock, the agent compares the
// wall clocks, less the skew allowance.
func TestFirstAttemptWithLongTransitIsStale(t *testing.T) {
	for ago, want := range map[time.Duration]string{20 * time.Second: wire.ReasonStale, time.Second: wire.ReasonLeaving} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			ag := agent.New(agent.Config{Endpoint: "e", Policy: &scriptedPolicy{}, MaxBody: 1 << 10, Clock: time.Now})
			ag.Leave() // so that no attempt runs
			sent := time.Now().Add(-ago).UnixMilli()
			resp := attempt(g, ag, wire.Envelope{Request: "r", DeadlineMillis: 10_000, SentUnixMillis: sent})
			var refusal wire.Refusal
			g.Expect(json.NewDecoder(resp.Body).Decode(&refusal)).To(Succeed())
			g.Expect(refusal).To(Equal(wire.Refusal{Reason: want, Run: wire.RunNot}))
			var reading wire.Clock
			g.Expect(wire.Decode(resp.Header, wire.HeaderClock, &reading)).To(Succeed())
			g.Expect(reading.Millis).To(Equal(time.Now().UnixMilli()))
		})
	}
}
