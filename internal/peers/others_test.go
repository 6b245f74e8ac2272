package peers

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// The story: a fleet that was cut into parts for longer than five seconds had the slack of the
// repeats once for each part.
// The cause: a router shared the slack with those only that it had heard of in the last five
// seconds, and so took those of its part for all.
// The evidence: this test, in which one of twelve that hears of one counts one.
func TestARouterCountsOthersThatItMayBeCutOffFrom(t *testing.T) {
	play(t, 12, func(g *WithT, f *fleet) {
		time.Sleep(settleFor)
		g.Expect(f.nodes[0].source.members.count(time.Now())).To(Equal(11), "known, and not asked for yet")
		for _, n := range f.nodes[2:] { // what the two see of a cut from the ten others
			n.end()
		}
		time.Sleep(time.Minute)
		g.Expect(f.nodes[0].source.Others()).To(Equal(11))
		g.Expect(f.nodes[1].source.Others()).To(Equal(11))
		time.Sleep(cutFor)
		g.Expect(f.nodes[0].source.Others()).To(Equal(1), "they won't come back")
	})
}
