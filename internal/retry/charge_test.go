package retry

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// newTestBudget returns a budget of which a window earns 10 retries and may leave as many unspent.
func newTestBudget() *Budget {
	b := NewBudget(BudgetConfig{Ratio: 0.1, Floor: ExplicitZero, AbandonedFor: 2 * time.Second})
	for range 100 {
		b.RecordFirst(epoch, "s", 0)
	}
	return b
}

// takeAll takes all retries that the budget allows, and settles none.
func takeAll(b *Budget, now time.Time) (charges []*Charge) {
	for charge := b.TryRetry(now, "s", 0); charge != nil; charge = b.TryRetry(now, "s", 0) {
		charges = append(charges, charge)
	}
	return charges
}

func TestRetriesThatWereNotSentAreGivenBack(t *testing.T) {
	g := NewWithT(t)
	b := newTestBudget()
	charges := takeAll(b, epoch)
	g.Expect(charges).To(HaveLen(10))
	for _, charge := range charges[:4] {
		charge.NotSent(epoch)
		charge.Arrived() // has no effect
	}
	g.Expect(takeAll(b, epoch)).To(HaveLen(4))
	g.Expect(b.Usage(epoch, "s", 0).Retries).To(Equal(10))
}

func TestRetriesUnderWayLeaveNoRoomForUnspentOnes(t *testing.T) {
	g := NewWithT(t)
	b := newTestBudget()
	charges := takeAll(b, epoch)
	for range 100 {
		b.RecordFirst(epoch.Add(time.Second), "s", 0)
	}
	g.Expect(b.Usage(epoch, "s", 0).UnderWay).To(Equal(10))
	g.Expect(takeAll(b, epoch.Add(time.Second))).To(HaveLen(10), "200 requests leave 20 unspent or under way")
	for _, charge := range charges {
		charge.Arrived()
	}
	for range 100 {
		b.RecordFirst(epoch.Add(time.Second), "s", 0)
	}
	g.Expect(takeAll(b, epoch.Add(time.Second))).To(HaveLen(10))
}

func TestAbandonedRetriesCountUntilTheyCanNoLongerArrive(t *testing.T) {
	g := NewWithT(t)
	b := newTestBudget()
	for _, charge := range takeAll(b, epoch) {
		charge.Abandoned(epoch)
	}
	g.Expect(b.Usage(epoch.Add(time.Second), "s", 0)).To(And(HaveField("UnderWay", 10), HaveField("Abandoned", 10)))
	g.Expect(b.Usage(epoch.Add(2*time.Second), "s", 0)).To(And(HaveField("UnderWay", 0), HaveField("Abandoned", 0)))
}
