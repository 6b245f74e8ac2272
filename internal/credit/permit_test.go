package credit

import (
	"testing"

	"github.com/onsi/gomega"
)

func TestPermitOwnerReclaimsPermitsFromGreedyHolder(t *testing.T) {
	g := gomega.NewWithT(t)
	h := NewPermitOwner(epoch, PermitConfig{Limit: 10})
	early := h.Grant(epoch, PermitRequest{Holder: "a", Quota: 4, Want: TierCounts{20}})
	g.Expect(early.Quota).To(gomega.Equal(4), "a new owner doesn't raise quotas for a TTL")
	now := epoch.Add(defaultTTL)
	g.Expect(h.Grant(now, PermitRequest{Holder: "a", Want: TierCounts{20}}).Quota).To(gomega.Equal(10))
	g.Expect(h.Grant(now, PermitRequest{Holder: "b", Want: TierCounts{20}}).Quota).To(gomega.BeZero())
	g.Expect(h.Grant(now, PermitRequest{Holder: "a", Quota: 10, Running: 10, Want: TierCounts{20}}).Quota).To(gomega.Equal(5))
	g.Expect(h.Grant(now, PermitRequest{Holder: "b", Want: TierCounts{20}}).Quota).To(gomega.BeZero(), "a may still run ten requests")
	h.Grant(now, PermitRequest{Holder: "a", Quota: 5, Running: 7, Want: TierCounts{20}})
	g.Expect(h.Grant(now, PermitRequest{Holder: "b", Want: TierCounts{20}}).Quota).To(gomega.Equal(3))
	g.Expect(h.Grant(now, PermitRequest{Holder: "c", Want: TierCounts{0, 20}}).Quota).To(gomega.BeZero())
}

func TestPermitHolderReservesForHigherTiersAndStopsAtExpiry(t *testing.T) {
	g := gomega.NewWithT(t)
	h := NewPermitHolder("a", 2, PermitConfig{Limit: 10})
	g.Expect(h.Start(epoch, 0)).To(gomega.BeFalse())
	a, _ := h.NextRequest(epoch)
	h.ApplyGrant(epoch, PermitGrant{Seq: a.Seq, Quota: 2})
	h.ApplyGrant(epoch, PermitGrant{Seq: a.Seq, Quota: 9}) // duplicate answer
	g.Expect(h.Start(epoch, 1)).To(gomega.BeTrue())
	g.Expect(h.Start(epoch, 1)).To(gomega.BeFalse(), "one permit is reserved for tier 0")
	g.Expect(h.Start(epoch, 0)).To(gomega.BeTrue())
	h.End(1)
	g.Expect(h.Start(epoch.Add(defaultTTL), 0)).To(gomega.BeFalse(), "the quota expired while the process was paused")
}
