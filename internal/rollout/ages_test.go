package rollout

import (
	"math"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a report that is newer than all later ones, since its age overflows.
func TestReportOfAnImpossibleAgeIsABadMessage(t *testing.T) {
	g := NewWithT(t)
	for _, millis := range []int64{-1, math.MinInt64, math.MaxInt64, math.MaxInt64/1_000_000 + 1} {
		report := PeerReport{ID: "p", State: StateConfirmed, AgeMillis: millis}
		g.Expect(report.check()).To(MatchError(ErrBadMessage), "%d", millis)
	}
	g.Expect(PeerReport{ID: "p", State: StateConfirmed, AgeMillis: 5}.check()).To(Succeed())
}
