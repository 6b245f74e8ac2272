package attempts

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/api"
	"coveferry/internal/filters/wait"
	"coveferry/internal/request"
	"coveferry/internal/retry"
	"coveferry/internal/wire"
)

// Guards against answering a request that was never sent as one that may have run.
func TestRequestRefusedAtItsDeadlineIsNotAnsweredAsRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := New(&retry.Policy{Budget: retry.NewBudget(retry.BudgetConfig{})}, func() float64 { return 0 })
		refused := &wait.RefusedError{Reason: wait.ReasonLate}
		r := &request.Request{Kind: wire.KindRouted, Deadline: time.Now().Add(time.Second)}
		err := f.Do(t.Context(), r, func(ctx context.Context, _ *request.Request) error {
			<-ctx.Done()
			return refused
		})
		NewWithT(t).Expect(api.From(err).Run).To(Equal(wire.RunNot))
		NewWithT(t).Expect(api.From(err).Status).To(Equal(503))
	})
}

// Guards against retries of a request that this router has no capacity for.
func TestRequestRefusedForLackOfCapacityIsNotRetried(t *testing.T) {
	c := classify(&wait.RefusedError{Reason: wait.ReasonLate}, false)
	NewWithT(t).Expect(c).To(Equal(classification{outcome: retry.OutcomeNotRun, final: true, reason: retry.ReasonOverload}))
}
