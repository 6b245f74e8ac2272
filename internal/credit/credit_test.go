package credit

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const rate = 1000.0

func TestHolderUsesFairShareWithoutGrants(t *testing.T) {
	g := gomega.NewWithT(t)
	h := NewHolder("a", 4, Config{Rate: rate})
	got := 0
	for now := epoch; now.Sub(epoch) < 5*time.Second; now = now.Add(10 * time.Millisecond) {
		got += spendUpTo(h, now, 0, 50)
		h.NextRequest(now) // never answered
	}
	// A quarter of the limit for the four seconds after the first TTL.
	g.Expect(got).To(gomega.BeNumerically("~", 4*rate/4, 10))
}

// spendUpTo spends up to n single units and returns how many it could spend.
func spendUpTo(h *Holder, now time.Time, tier, n int) int {
	got := 0
	for range n {
		if h.TrySpend(now, tier, 1) {
			got++
		}
	}
	return got
}

// holderWithPendingRequest returns a holder that demanded want and has sent a
// request, and a grant of 30 units that answers it.
func holderWithPendingRequest(want TierUnits) (*Holder, Grant) {
	h := NewHolder("a", 2, Config{Rate: rate})
	for tier, n := range want {
		for range int(n) {
			h.TrySpend(epoch, tier, 1)
		}
	}
	a, _ := h.NextRequest(epoch)
	return h, Grant{Seq: a.Seq, Amount: 30}
}

func TestCreditsExpireWithLeaseAndCountOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	h, grant := holderWithPendingRequest(TierUnits{10})
	h.ApplyGrant(epoch, grant)
	h.ApplyGrant(epoch, grant)
	g.Expect(h.leased()).To(gomega.Equal(30.0))
	g.Expect(h.TrySpend(epoch.Add(defaultTTL), 0, 1)).To(gomega.BeFalse(), "the lease expired while the process was paused")

	late, grant := holderWithPendingRequest(TierUnits{10})
	late.ApplyGrant(epoch.Add(defaultTTL), grant)
	g.Expect(late.leased()).To(gomega.BeZero())
}

func TestCreditsAreReservedForHigherTiers(t *testing.T) {
	g := gomega.NewWithT(t)
	h, grant := holderWithPendingRequest(TierUnits{20, 20})
	h.ApplyGrant(epoch, grant)
	low := spendUpTo(h, epoch, 1, 50)
	high := spendUpTo(h, epoch, 0, 50)
	g.Expect([]int{low, high}).To(gomega.Equal([]int{10, 20}))
}

func TestOwnerGrantsHigherTiersFirstAndFairlyWithinATier(t *testing.T) {
	g := gomega.NewWithT(t)
	h := NewOwner(epoch, Config{Rate: rate})
	now := epoch.Add(defaultPeriod) // 250 credits
	h.requests["b"] = holderDemand{want: TierUnits{100, 500}, requestedAt: now}
	h.requests["c"] = holderDemand{want: TierUnits{0, 20}, requestedAt: now}
	got := h.Grant(now, LeaseRequest{Holder: "a", Want: TierUnits{0, 300}})
	// Tier 0 gets 100; c gets its 20 of the other 150; a and b share 130.
	g.Expect(got.Amount).To(gomega.BeNumerically("~", 65, 1e-9))
}

func TestOwnerLimitsLeasesAndAcceptsOnlyItsOwnBack(t *testing.T) {
	g := gomega.NewWithT(t)
	h := NewOwner(epoch, Config{Rate: rate, TTL: 2 * time.Second, Period: time.Second})
	leased := 0.0
	for s := range 2 {
		leased += h.Grant(epoch.Add(time.Duration(s+1)*900*time.Millisecond), LeaseRequest{Holder: "a", Want: TierUnits{5000}}).Amount
	}
	g.Expect(leased).To(gomega.BeNumerically("~", 1800, 1))
	now := epoch.Add(2800 * time.Millisecond)
	g.Expect(h.Grant(now, LeaseRequest{Holder: "b", Want: TierUnits{5000}}).Amount).To(gomega.BeNumerically("~", 200, 1))
	h.Grant(now, LeaseRequest{Holder: "c", Return: 500})
	g.Expect(h.leased()).To(gomega.BeNumerically("~", 2000, 1))
	h.Grant(now, LeaseRequest{Holder: "a", Return: 500})
	g.Expect(h.leased()).To(gomega.BeNumerically("~", 1500, 1))
}

func TestOwnerAccumulatesAtMostOnePeriodOfCredits(t *testing.T) {
	g := gomega.NewWithT(t)
	h := NewOwner(epoch, Config{Rate: rate})
	now := epoch.Add(time.Minute)
	g.Expect(h.Grant(now, LeaseRequest{Holder: "a", Want: TierUnits{5000}}).Amount).To(gomega.Equal(250.0))
	g.Expect(h.Grant(now, LeaseRequest{Holder: "b", Want: TierUnits{5000}}).Amount).To(gomega.BeZero())
}

func TestOwnerWithholdsFairSharesOfUnreachableRouters(t *testing.T) {
	g := gomega.NewWithT(t)
	h := NewOwner(epoch, Config{Rate: rate})
	h.requests["b"] = holderDemand{want: TierUnits{5000}, requestedAt: epoch.Add(defaultPeriod)}
	h.SetReachable(epoch, 1, 2)
	got := h.Grant(epoch.Add(defaultPeriod), LeaseRequest{Holder: "a", Want: TierUnits{5000}})
	// Half of the limit is left to lease, and b wants as much as a.
	g.Expect(got.Amount).To(gomega.BeNumerically("~", 62.5, 1e-9))
	// When b stops sending requests, a gets all of it.
	got = h.Grant(epoch.Add(4*defaultPeriod), LeaseRequest{Holder: "a", Want: TierUnits{5000}})
	g.Expect(got.Amount).To(gomega.BeNumerically("~", 125, 1e-9))
}

func TestDebtIsPaidFromNextGrant(t *testing.T) {
	g := gomega.NewWithT(t)
	h, grant := holderWithPendingRequest(TierUnits{10})
	h.Charge(epoch, 0, 25)
	h.ApplyGrant(epoch, grant)
	g.Expect(h.leased()).To(gomega.Equal(5.0))
	g.Expect(h.HasCredit(epoch, 0)).To(gomega.BeTrue())
	h.Charge(epoch, 0, 6)
	g.Expect(h.HasCredit(epoch, 0)).To(gomega.BeFalse())
}

func TestHolderKeepsCreditForInfrequentRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	h, grant := holderWithPendingRequest(TierUnits{1})
	h.ApplyGrant(epoch, grant)
	returned := 0.0
	for n := 1; n <= 3; n++ {
		a, _ := h.NextRequest(epoch.Add(time.Duration(n) * defaultPeriod))
		returned += a.Return
	}
	g.Expect(30 - returned).To(gomega.BeNumerically(">=", 1))
	g.Expect(h.TrySpend(epoch.Add(3*defaultPeriod), 0, 1)).To(gomega.BeTrue())
}

// Guards against an owner that grants a lower tier its whole share at each of
// several requests in a period, so that too little is left for the higher tier's
// next request.
func TestOwnerWithholdsExpectedDemandOfHigherTiers(t *testing.T) {
	g := gomega.NewWithT(t)
	h := NewOwner(epoch, Config{Rate: rate})
	const high = 150.0 // of the 250 credits that are issued in a period
	low := 0.0
	for n := 1; n <= 8; n++ {
		now := epoch.Add(time.Duration(n) * defaultPeriod)
		low += h.Grant(now.Add(-defaultPeriod/2), LeaseRequest{Holder: "low", Want: TierUnits{0, 5000}}).Amount
		low += h.Grant(now, LeaseRequest{Holder: "low", Want: TierUnits{0, 5000}}).Amount
		got := h.Grant(now, LeaseRequest{Holder: "high", Want: TierUnits{high}}).Amount
		if n > 1 {
			g.Expect(got).To(gomega.Equal(high), "period %d", n)
		}
	}
	g.Expect(low).To(gomega.BeNumerically(">=", 7*(250-high)), "the rest is granted to the lower tier")
}

func TestOwnerWithholdsNothingForInactiveHolders(t *testing.T) {
	g := gomega.NewWithT(t)
	h := NewOwner(epoch, Config{Rate: rate})
	now := epoch.Add(defaultPeriod)
	g.Expect(h.Grant(now, LeaseRequest{Holder: "high", Want: TierUnits{200}}).Amount).To(gomega.Equal(200.0))
	now = now.Add(2 * defaultPeriod)
	g.Expect(h.Grant(now, LeaseRequest{Holder: "low", Want: TierUnits{0, 5000}}).Amount).To(gomega.Equal(250.0))
}

func TestEarlyRequestsCountDemandPerPeriod(t *testing.T) {
	g := gomega.NewWithT(t)
	h := NewHolder("a", 2, Config{Rate: rate})
	var a LeaseRequest
	for n := range 20 {
		now := epoch.Add(time.Duration(n) * defaultPeriod / 2)
		spendUpTo(h, now, 0, 10)
		a, _ = h.NextRequest(now)
		h.ApplyGrant(now, Grant{Seq: a.Seq})
	}
	g.Expect(a.Want.total()).To(gomega.Equal(headroom * 20))
}
