package rollout

import (
	"testing"

	. "github.com/onsi/gomega"

	"coveferry/internal/age/agetest"
)

// Guards against a report that is newer than all later ones, since its age overflows.
func TestReportOfAnImpossibleAgeIsABadMessage(t *testing.T) {
	g := NewWithT(t)
	for _, millis := range agetest.ImpossibleMillis {
		report := PeerReport{ID: "p", State: StateConfirmed, AgeMillis: millis}
		g.Expect(report.check()).To(MatchError(ErrBadMessage), "%d", millis)
	}
	g.Expect(PeerReport{ID: "p", State: StateConfirmed, AgeMillis: 5}.check()).To(Succeed())
}
