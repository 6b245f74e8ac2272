package retry

// Guards against budgets that are shared between targets or not divided among routers. In
// a long overload of a plain service, 103 routers sent it 2,396 attempts in ten seconds
// beyond the first of each request, where the operator allows 2,394. Each router limited
// its retries to a share of its first attempts, but counted those at all services: 449
// requests a second for the models paid for retries at the plain service, which had 329 of
// the same tier. Each router also had its own floor for each tier in use, 309 retries in
// ten seconds. With that budget the first test counts 4,929 retries at 103 routers.

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestFleetRetriesPerServiceStayWithinTheLimit(t *testing.T) {
	const (
		ratio, slack          = 0.2, 246.0
		window                = 10 * time.Second
		perSecond             = 1080 // requests for the plain service, over all routers
		modelRequestsPerPlain = 2    // requests for the models per request for the plain service
	)
	for _, routers := range []int{1, 10, 103, 880} {
		budgets := make([]*Budget, routers)
		for i := range budgets {
			budgets[i] = operatorBounds{ratio: ratio, slack: slack, window: window}.budgetOf(i, routers, epoch.Add(-window))
		}
		retries, requests := 0, 0
		for n := range int(window.Seconds()) * perSecond {
			now := epoch.Add(time.Duration(n) * window / time.Duration(10*perSecond))
			b := budgets[(n*7919)%routers]
			tier := n % 3
			for range modelRequestsPerPlain {
				b.RecordFirst(now, "models", tier)
			}
			b.RecordFirst(now, "plain", tier)
			requests++
			for range 6 { // all endpoints refuse it as full
				if retryArrives(b, now, "plain", tier) {
					retries++
				}
			}
		}
		g := NewWithT(t)
		g.Expect(float64(retries)).To(BeNumerically("<=", ratio*float64(requests)+slack), "%d routers", routers)
		g.Expect(float64(retries)).To(BeNumerically(">", 0.3*ratio*float64(requests)), "%d routers: some must be possible", routers)
	}
}

// Endpoints count a revisit like any other attempt, so ChargeAll charges it even for a
// resumed response.
func TestRevisitIsChargedWithChargeAll(t *testing.T) {
	g := NewWithT(t)
	p := &Policy{ChargeAll: true, Budget: NewBudget(BudgetConfig{Ratio: 1e-9, Floor: 1e-9})}
	delivered := Attempt{Number: 1, Outcome: OutcomeNotRun, Idempotent: true, Delivered: true}
	g.Expect(p.DecideRevisit(delivered, 0, epoch, 0).Reason).To(Equal(ReasonBudget))
	p.ChargeAll = false
	g.Expect(p.DecideRevisit(delivered, 0, epoch, 0).Action).To(Equal(ActionResume))
}
