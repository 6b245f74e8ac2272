package forecast_test

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"coveferry/internal/age"
	"coveferry/internal/forecast"
)

// busyEndpoint takes 100 ms for each of the 5 prompts of tier 2 that wait there, and has just said
// so.
func busyEndpoint() forecast.Endpoint {
	e := forecast.Endpoint{
		SecondsPerPromptToken: 10e-6, SecondsPerOutputToken: 0.005, Waiting: 5, Slots: 48, ReportAge: age.Of(0),
		Prompts: forecast.Prompts{Tokens: 10_000, SlotSeconds: 2},
	}
	e.Prompts.TierShare[2] = 1
	return e
}

func answer(e forecast.Endpoint, tier int) forecast.Answer {
	return forecast.Input{Endpoint: e, Request: forecast.Request{Tier: tier, PrefillTokens: 6_000, OutputTokens: 101}}.Answer()
}

func TestWaitingPromptsCountByTheirTimeAtTheEndpoint(t *testing.T) {
	g := NewWithT(t)
	a := answer(busyEndpoint(), 2)
	g.Expect(a.Start).To(BeNumerically("~", 500*time.Millisecond, time.Millisecond))
	g.Expect(a.Prefill).To(BeNumerically("~", 60*time.Millisecond, time.Millisecond))
	g.Expect(a.First).To(BeNumerically("~", 565*time.Millisecond, time.Millisecond))
	g.Expect(a.End).To(BeNumerically("~", 1065*time.Millisecond, time.Millisecond))
	slow := busyEndpoint()
	slow.SecondsPerPromptToken *= 2.43
	g.Expect(answer(slow, 2).Start).To(BeNumerically("~", 1215*time.Millisecond, time.Millisecond))
}

// Urgent streams would be refused at endpoints where only long prompts wait if these counted.
func TestUrgentRequestsDoNotWaitForLessUrgentPromptsButArePausedByThem(t *testing.T) {
	g := NewWithT(t)
	a := answer(busyEndpoint(), 0)
	g.Expect(a.Start).To(BeZero())
	g.Expect(a.Paused).To(BeNumerically("~", 500*time.Millisecond, time.Millisecond))
	g.Expect(a.Cost(forecast.Limits{Objective: 400 * time.Millisecond})).To(BeNumerically(">", 500*time.Millisecond))
}

func TestMoreUrgentArrivalsDelayARequest(t *testing.T) {
	g := NewWithT(t)
	e := busyEndpoint()
	e.Prompts.TierShare[0], e.Prompts.TierShare[2] = 0.5, 0.5
	e.Inflow = 0.8
	g.Expect(answer(e, 2).Start).To(BeNumerically("~", 500*time.Millisecond*10/6, time.Millisecond))
	e.Inflow = 100
	g.Expect(answer(e, 2).Start).To(BeNumerically("<", 10*time.Second))
}

// An old report would otherwise keep an endpoint that has long been idle from getting work.
func TestBacklogOfAnOldReportIsPrefilledSince(t *testing.T) {
	g := NewWithT(t)
	e := busyEndpoint()
	e.ReportAge = age.Of(300 * time.Millisecond)
	g.Expect(answer(e, 2).Start).To(BeNumerically("~", 200*time.Millisecond, time.Millisecond))
	e.ReportAge = age.Of(time.Minute)
	g.Expect(answer(e, 2).Start).To(BeZero())
}

// Without a lower bound, a router would send all its prompts of the time between two reports to
// one endpoint.
func TestOwnPromptsAreALowerBound(t *testing.T) {
	g := NewWithT(t)
	e := busyEndpoint()
	e.OwnTokens[2] = 80_000
	g.Expect(answer(e, 2).Start).To(BeNumerically("~", 800*time.Millisecond, time.Millisecond))
	e.Waiting, e.ReportAge = 0, age.Age{} // no report yet, or the process is new
	g.Expect(answer(e, 2).Start).To(BeNumerically("~", 800*time.Millisecond, time.Millisecond))
	e.OwnTokens[2] = 0 // its attempts were cancelled
	g.Expect(answer(e, 2).Start).To(BeZero())
}

// Beside long streams, slots are full while hardly anything waits for prefill.
func TestRequestsWaitForSlots(t *testing.T) {
	g := NewWithT(t)
	e := busyEndpoint()
	e.Running, e.Waiting = 48, 12
	g.Expect(answer(e, 2).Start).To(BeNumerically(">=", 500*time.Millisecond))
	e.Running = 20
	e.Waiting = 0
	g.Expect(answer(e, 2).Start).To(BeZero())
}

// Routers that see the same old report of a long backlog all leave the endpoint. If the mean inflow
// counted in full there, it would look backlogged for ever, since it gets no request to report with.
func TestEndpointWithALongBacklogIsExpectedToGetLess(t *testing.T) {
	g := NewWithT(t)
	e := busyEndpoint()
	e.Inflow, e.ReportAge = 0.9, age.Of(time.Second)
	atMean := e.Sent(500*time.Millisecond, 0, 0.01)
	g.Expect(e.Sent(100*time.Millisecond, 0, 0.01)).To(BeNumerically("<", atMean/3))
	g.Expect(atMean).To(BeNumerically("~", 9, 1))
	g.Expect(e.Sent(500*time.Millisecond, 3, 0.01)).To(BeNumerically(">", atMean))
	g.Expect(e.Sent(500*time.Millisecond, 3, 1)).To(BeNumerically("~", 3, 1e-9)) // the only router
}

func TestCostOfWaiting(t *testing.T) {
	g := NewWithT(t)
	limits := forecast.Limits{Objective: 2 * time.Second, Deadline: 15 * time.Second}
	cost := func(first time.Duration) time.Duration {
		return forecast.Answer{First: first, End: first + time.Second}.Cost(limits)
	}
	g.Expect(cost(400 * time.Millisecond)).To(BeNumerically("~", 100*time.Millisecond, 20*time.Millisecond))           // harms nobody
	g.Expect(cost(2*time.Second) - cost(time.Second)).To(BeNumerically(">", 750*time.Millisecond))                     // late instead of in time
	g.Expect(cost(6*time.Second) - cost(4*time.Second)).To(BeNumerically("~", 500*time.Millisecond, time.Millisecond)) // late in both cases
	g.Expect(cost(14500 * time.Millisecond)).To(BeNumerically(">", 3*cost(13500*time.Millisecond)))                    // ends too late
}

// A bad speed or count must not give a negative wait, by which the endpoint would look better than
// all others.
func TestForecastIsFiniteAndOrdered(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := busyEndpoint()
		e.Waiting = rapid.IntRange(0, 1_000_000).Draw(t, "waiting")
		e.Running = rapid.IntRange(0, 1_000_000).Draw(t, "running")
		e.Slots = rapid.IntRange(0, 1000).Draw(t, "slots")
		e.Inflow = rapid.Float64Range(0, 1e6).Draw(t, "inflow")
		e.Prompts.TierShare[0] = rapid.Float64Range(0, 1).Draw(t, "share")
		e.SecondsPerPromptToken = rapid.Float64Range(0, 1e-3).Draw(t, "per token")
		e.ReportAge = age.Of(time.Duration(rapid.Int64Range(-1, math.MaxInt64).Draw(t, "age")))
		e.Unreported = e.Sent(time.Duration(rapid.Int64Range(0, 1e12).Draw(t, "mean")), float64(rapid.IntRange(0, 64).Draw(t, "own")), rapid.Float64Range(0.001, 1).Draw(t, "share of requests"))
		a := answer(e, rapid.IntRange(-1, 20).Draw(t, "tier"))
		if a.Start < 0 || a.First < a.Start || a.End < a.First || a.Paused < 0 {
			t.Fatalf("%+v", a)
		}
	})
}
