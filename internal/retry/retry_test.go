package retry

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestDecide(t *testing.T) {
	p := &Policy{}
	soon := epoch.Add(10 * time.Millisecond)
	for _, c := range []struct {
		name string
		a    Attempt
		want Decision
	}{
		{"complete", Attempt{Number: 1, Idempotent: true}, Decision{Reason: ReasonCompleted}},
		{"idempotent, unknown", Attempt{Number: 1, Outcome: OutcomeUnknown, Idempotent: true}, Decision{Action: ActionRetry, Delay: 12500 * time.Microsecond}},
		{"idempotent, ran, delivered", Attempt{Number: 2, Outcome: OutcomeRan, Idempotent: true, Delivered: true}, Decision{Action: ActionResume, Delay: 25 * time.Millisecond}},
		{"not idempotent, not run", Attempt{Number: 1, Outcome: OutcomeNotRun}, Decision{Action: ActionRetry, Delay: 12500 * time.Microsecond}},
		{"not idempotent, unknown", Attempt{Number: 1, Outcome: OutcomeUnknown}, Decision{Reason: ReasonNotIdempotent}},
		{"not idempotent, ran", Attempt{Number: 1, Outcome: OutcomeRan}, Decision{Reason: ReasonNotIdempotent}},
		{"not idempotent, delivered", Attempt{Number: 1, Outcome: OutcomeNotRun, Delivered: true}, Decision{Reason: ReasonNotIdempotent}},
		{"last attempt", Attempt{Number: 3, Outcome: OutcomeNotRun, Idempotent: true}, Decision{Reason: ReasonAttempts}},
		{"no time left", Attempt{Number: 1, Outcome: OutcomeNotRun, Idempotent: true, Deadline: soon}, Decision{Reason: ReasonDeadline}},
	} {
		t.Run(c.name, func(t *testing.T) {
			gomega.NewWithT(t).Expect(p.Decide(c.a, epoch, 0.5)).To(gomega.Equal(c.want))
		})
	}
}

func TestDecideRevisit(t *testing.T) {
	p := &Policy{MaxRevisits: 2}
	down := Attempt{Number: 3, Outcome: OutcomeNotRun, BudgetExempt: true}
	for _, c := range []struct {
		name     string
		change   func(*Attempt)
		revisits int
		want     Decision
	}{
		{"endpoint down", func(*Attempt) {}, 0, Decision{Action: ActionRetry, Delay: 187500 * time.Microsecond}},
		{"again", func(*Attempt) {}, 1, Decision{Action: ActionRetry, Delay: 375 * time.Millisecond}},
		{"too many revisits", func(*Attempt) {}, 2, Decision{Reason: ReasonAttempts}},
		{"ran", func(a *Attempt) { a.Outcome = OutcomeRan }, 0, Decision{Reason: ReasonNotIdempotent}},
		{"overloaded", func(a *Attempt) { a.Overloaded = true }, 0, Decision{Reason: ReasonOverload}},
		{"overloaded, resuming", func(a *Attempt) { a.Overloaded, a.Delivered, a.Idempotent = true, true, true }, 0,
			Decision{Action: ActionResume, Delay: 187500 * time.Microsecond}},
		{"no time left", func(a *Attempt) { a.Deadline = epoch.Add(100 * time.Millisecond) }, 0, Decision{Reason: ReasonDeadline}},
	} {
		a := down
		c.change(&a)
		gomega.NewWithT(t).Expect(p.DecideRevisit(a, c.revisits, epoch, 0.5)).To(gomega.Equal(c.want), c.name)
	}
	p.Budget = NewBudget(BudgetConfig{Floor: 0.1, Window: 10 * time.Second})
	g := gomega.NewWithT(t)
	g.Expect(p.DecideRevisit(down, 0, epoch, 0).Action).To(gomega.Equal(ActionRetry))
	g.Expect(p.DecideRevisit(down, 0, epoch, 0).Reason).To(gomega.Equal(ReasonBudget), "a revisit is charged even after a budget-exempt failure")
}

func TestBudgetLimitsRetriesToRatioAndFloor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudget(BudgetConfig{Ratio: 0.2, Floor: 0.5})
		firsts := rapid.IntRange(0, 300).Draw(t, "first attempts")
		for range firsts {
			b.RecordFirst(epoch, "s", 1)
		}
		p := &Policy{Budget: b}
		retried := 0
		for range 200 {
			d := p.Decide(Attempt{Number: 1, Target: "s", Tier: 1, Outcome: OutcomeNotRun}, epoch, 0)
			d.Charge.Arrived()
			if d.Action == ActionRetry {
				retried++
			} else if d.Reason != ReasonBudget {
				t.Fatalf("unexpected %+v", d)
			}
		}
		if want := min(200, 5+firsts/5); retried != want {
			t.Fatalf("%d retries for %d first attempts, want %d", retried, firsts, want)
		}
	})
}

func TestBudgetIsPerTierAndRefillsAfterTheWindow(t *testing.T) {
	g := gomega.NewWithT(t)
	b := NewBudget(BudgetConfig{})
	for range 100 {
		retryArrives(b, epoch, "s", 5)
	}
	g.Expect(retryArrives(b, epoch, "s", 5)).To(gomega.BeFalse())
	g.Expect(retryArrives(b, epoch, "s", 0)).To(gomega.BeTrue())
	g.Expect(retryArrives(b, epoch.Add(defaultWindow), "s", 5)).To(gomega.BeTrue())
}

func TestMaxRunsLimitsRetries(t *testing.T) {
	g := gomega.NewWithT(t)
	p := &Policy{MaxAttempts: 5}
	a := Attempt{Number: 2, Outcome: OutcomeRan, Idempotent: true, PossibleRuns: 2, MaxRuns: 2}
	g.Expect(p.Decide(a, time.Now(), 0)).To(gomega.Equal(Decision{Reason: ReasonRuns}))
	g.Expect(p.DecideRevisit(a, 0, time.Now(), 0)).To(gomega.Equal(Decision{Reason: ReasonRuns}))
	a.PossibleRuns = 1
	g.Expect(p.Decide(a, time.Now(), 0).Action).To(gomega.Equal(ActionRetry))
	a = Attempt{Number: 2, Outcome: OutcomeNotRun, PossibleRuns: 1, MaxRuns: 1} // the latest attempt didn't run
	g.Expect(p.Decide(a, time.Now(), 0).Action).To(gomega.Equal(ActionRetry))
}

func TestChargeAllChargesExemptAndResumedAttempts(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, a := range []Attempt{
		{Number: 1, Outcome: OutcomeNotRun, BudgetExempt: true},
		{Number: 1, Outcome: OutcomeRan, Idempotent: true, Delivered: true},
	} {
		exhaustedBudget := func() *Budget { return NewBudget(BudgetConfig{Ratio: 1e-9, Floor: 1e-9}) }
		p := &Policy{Budget: exhaustedBudget()}
		g.Expect(p.Decide(a, time.Now(), 0).Action).NotTo(gomega.Equal(ActionGiveUp))
		p = &Policy{Budget: exhaustedBudget(), ChargeAll: true}
		g.Expect(p.Decide(a, time.Now(), 0).Reason).To(gomega.Equal(ReasonBudget))
	}
}
