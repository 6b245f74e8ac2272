package attempts_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/api"
	"coveferry/internal/bundle"
	"coveferry/internal/filters/attempts"
	"coveferry/internal/filters/choose"
	"coveferry/internal/filters/dispatch"
	"coveferry/internal/filters/relay"
	"coveferry/internal/request"
	"coveferry/internal/retry"
	"coveferry/internal/wire"
)

// attempt stands in for the filters after attempts. It changes the request and returns the
// attempt's error.
type attempt func(r *request.Request) error

func refused(reason string, run wire.Run) attempt {
	return func(*request.Request) error {
		return &dispatch.RefusedError{Refusal: wire.Refusal{Reason: reason, Run: run, EngineStatus: http.StatusBadRequest}}
	}
}

func noEndpointLeft(*request.Request) error { return &choose.Error{Cause: errors.New("all tried")} }

func complete(*request.Request) error { return nil }

// breakAfterToken delivers a token, then the connection breaks.
func breakAfterToken(r *request.Request) error {
	r.Delivered.Text = append(r.Delivered.Text, 'x')
	r.Delivered.Tokens++
	return &relay.BrokenError{}
}

// breakInToolCall delivers part of a tool call, then the connection breaks.
func breakInToolCall(r *request.Request) error {
	r.Delivered.Unresumable = true
	return breakAfterToken(r)
}

// run executes the scripted attempts. It returns how many were made, the time they took
// and the filter's error.
func run(r *request.Request, script ...attempt) (made int, took time.Duration, err error) {
	return runWithPolicy(&retry.Policy{}, r, script...)
}

func runWithPolicy(p *retry.Policy, r *request.Request, script ...attempt) (made int, took time.Duration, err error) {
	f := attempts.New(p, func() float64 { return 0 })
	r.Deadline = time.Now().Add(time.Minute)
	start := time.Now()
	err = f.Do(context.Background(), r, func(_ context.Context, r *request.Request) error {
		if made == len(script) {
			return errors.New("more attempts than scripted")
		}
		made++
		err := script[made-1](r)
		if !errors.Is(err, choose.ErrNoEndpoint) {
			r.Endpoint = &bundle.Endpoint{Name: "e"}
			r.Tried = append(r.Tried, "e")
		}
		return err
	})
	return made, time.Since(start), err
}

func TestNotRunIsReportedOnlyIfNoAttemptRan(t *testing.T) {
	for _, c := range []struct {
		name   string
		script []attempt
		run    wire.Run
		code   string
	}{
		{"no attempt ran", []attempt{refused("queue_full", wire.RunNot), noEndpointLeft}, wire.RunNot, "queue_full"},
		{"one attempt may have run", []attempt{refused(wire.ReasonEngineFailed, wire.RunUnknown), refused("queue_full", wire.RunNot), noEndpointLeft}, wire.RunUnknown, "queue_full"},
		{"one attempt ran", []attempt{breakAfterToken, refused(wire.ReasonEngineRefused, wire.RunNot), refused(wire.ReasonEngineRefused, wire.RunNot), noEndpointLeft, noEndpointLeft, noEndpointLeft, noEndpointLeft, noEndpointLeft}, wire.RunYes, "answer_cut_off"},
		{"final refusal", []attempt{refused(wire.ReasonEngineRefused, wire.RunNot)}, wire.RunNot, wire.ReasonEngineRefused},
	} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			made, _, err := run(&request.Request{}, c.script...)
			got := api.From(err)
			g.Expect(got.Run).To(Equal(c.run), c.name)
			g.Expect(got.Code).To(Equal(c.code), c.name)
			g.Expect(made).To(Equal(len(c.script)), c.name)
		})
	}
}

func TestTriedEndpointsAreRevisitedWhenNoneIsLeft(t *testing.T) {
	down := refused(wire.ReasonEngineDown, wire.RunNot)
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r := &request.Request{NonIdempotent: true}
		made, took, err := run(r, down, down, noEndpointLeft, down, down, noEndpointLeft, complete)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(made).To(Equal(7))
		g.Expect(r.RoundStart).To(Equal(4))
		g.Expect(took).To(Equal(125*time.Millisecond + 250*time.Millisecond))
	})
	synctest.Test(t, func(t *testing.T) { // the attempt limit is reached before the endpoints run out
		_, _, err := run(&request.Request{}, down, down, down, complete)
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
	})
}

// A broken tool call can't be resumed. As long as the caller has received nothing, the
// request must restart from the beginning instead of failing.
func TestToolCallRestartsIfNothingWasDelivered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r := &request.Request{}
		_, _, err := run(r, breakInToolCall, func(r *request.Request) error {
			g.Expect(r.Delivered.Text).To(BeEmpty())
			g.Expect(r.Delivered.Unresumable).To(BeFalse())
			return nil
		})
		g.Expect(err).NotTo(HaveOccurred())

		r = &request.Request{Delivered: request.Delivered{Started: true}}
		made, _, err := run(r, breakInToolCall)
		g.Expect(api.From(err).Code).To(Equal("answer_cut_off"))
		g.Expect(made).To(Equal(1))
	})
}

// Guards against resuming a response that already has max_tokens tokens: the engine would
// have to add another one.
func TestAnswerAtTokenLimitIsCompletedWithoutRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := httptest.NewRecorder()
		r := &request.Request{Kind: wire.KindChat, Stream: true, NonIdempotent: true, MaxTokens: 1, Writer: w}
		r.Delivered.LastChunk = `{"id":"a","choices":[{"delta":{"content":"x"}}]}`
		made, _, err := run(r, breakAfterToken)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(made).To(Equal(1))
		g.Expect(w.Body.String()).To(ContainSubstring(`"finish_reason":"length"`))
	})
}

// Refusals by agents that are draining or that received the attempt too late are no sign
// of overload, so the retry isn't charged to the budget.
func TestBudgetExemptRefusalsAreNotCharged(t *testing.T) {
	empty := retry.NewBudget(retry.BudgetConfig{Ratio: 1e-9, Floor: 1e-9})
	for reason, want := range map[string]int{wire.ReasonStale: 2, wire.ReasonLeaving: 2, wire.ReasonEngineFailed: 1} {
		synctest.Test(t, func(t *testing.T) {
			made, _, _ := runWithPolicy(&retry.Policy{Budget: empty}, &request.Request{}, refused(reason, wire.RunNot), complete)
			NewWithT(t).Expect(made).To(Equal(want), reason)
		})
	}
}

// With late binding an attempt is queued at two endpoints but counts as one.
func TestPairCountsAsOneAttempt(t *testing.T) {
	pair := func(r *request.Request) error {
		r.Tried = append(r.Tried, "second")
		return refused(wire.ReasonEngineFailed, wire.RunUnknown)(r)
	}
	synctest.Test(t, func(t *testing.T) {
		_, took, err := run(&request.Request{}, pair, pair, complete)
		g := NewWithT(t)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(took).To(BeZero(), "the pair must not cause a revisit")
	})
}

// answers marks the attempt as answered, as dispatch does when an answer begins.
func answers(then attempt) attempt {
	return func(r *request.Request) error {
		r.Arrival = request.ArrivalAnswered
		r.OnAnswered()
		return then(r)
	}
}

// A retry that is not sent, or whose arrival isn't known, must not count as one that arrived.
func TestChargesAreSettledByWhatIsKnownOfTheArrival(t *testing.T) {
	failed := refused(wire.ReasonEngineFailed, wire.RunUnknown)
	pending := func(r *request.Request) error {
		r.Arrival = request.ArrivalPending
		return failed(r)
	}
	for _, c := range []struct {
		name                       string
		second                     attempt
		retries, underWay, abandon int
	}{
		{"answered", answers(failed), 1, 0, 0},
		{"not sent", failed, 0, 0, 0},
		{"may still arrive", pending, 1, 1, 1},
	} {
		synctest.Test(t, func(t *testing.T) {
			budget := retry.NewBudget(retry.BudgetConfig{Floor: 0.5})
			r := &request.Request{Kind: wire.KindRouted, Service: "s", NonIdempotent: true}
			policy := &retry.Policy{Budget: budget}
			_, _, _ = runWithPolicy(policy, r, refused(wire.ReasonEngineFailed, wire.RunNot), c.second)
			usage := budget.Usage(time.Now(), "s", 0)
			g := NewWithT(t)
			g.Expect(usage.Retries).To(Equal(c.retries), c.name)
			g.Expect(usage.UnderWay).To(Equal(c.underWay), c.name)
			g.Expect(usage.Abandoned).To(Equal(c.abandon), c.name)
		})
	}
}

// Guards against retries of requests whose team is above its share, which no other endpoint changes.
func TestRequestRefusedForItsShareIsNotRetried(t *testing.T) {
	g := NewWithT(t)
	shareRefused := func(*request.Request) error { return &choose.ShareError{} }
	r := &request.Request{}
	made, _, err := run(r, shareRefused, complete)
	g.Expect(made).To(Equal(1))
	g.Expect(r.Trail[0].Next).To(Equal(string(retry.ReasonOverload)), "known not to have run")
	var share *choose.ShareError
	g.Expect(errors.As(err, &share)).To(BeTrue())
}
