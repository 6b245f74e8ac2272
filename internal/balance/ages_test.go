package balance

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/age/agetest"
)

// Guards against reports of peers that are newer than any of this router for good.
func TestPeerReportsOfAnImpossibleAgeAreIgnored(t *testing.T) {
	g := NewWithT(t)
	for _, millis := range agetest.ImpossibleMillis {
		p, all := backoffPool(2), newEndpoints(2)
		p.ApplyPeerLoads(at(1000), []LoadSummary{{Endpoint: "e0", Running: 60, AgeMillis: millis}})
		p.ApplyPeerLoads(at(1000), []LoadSummary{{Endpoint: "e0", Running: 1, AgeMillis: 10}})
		g.Expect(p.RecentLoads(at(1000), time.Minute, 9, false)).To(Equal([]LoadSummary{{Endpoint: "e0", Running: 1, AgeMillis: 10}}))

		limit := 7.0
		p.ApplyPeerLimits(at(1000), at(1000), []LimitSummary{{Endpoint: "e0", PerSecond: &limit, AgeMillis: millis}})
		g.Expect(p.LimitsForPeer(at(1000), 0, time.Minute).Limits).To(BeEmpty())

		p.ApplyPeerFailures(at(1000), []FailureSummary{
			{Endpoint: "e0", BackoffMillis: 2000, BackoffAgeMillis: millis},
			{Endpoint: "e1", BackoffMillis: millis, BackoffAgeMillis: 10},
		})
		p.ApplyPeerFailures(at(1000), []FailureSummary{{Endpoint: "e0", Unresponsive: 3, UnresponsiveMillis: millis}})
		for _, v := range p.Views(at(1000), all) {
			g.Expect(v.Weight).To(Equal(1.0), "%s, %d", v.Endpoint, millis)
		}
	}
}
