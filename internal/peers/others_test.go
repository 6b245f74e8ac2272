package peers

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// What operators saw: a fleet that was cut into parts for longer than a few seconds made as
// many repeats as there were parts times those that are allowed: each router counted only
// those that it still heard of. A cut of a minute, twice as long as anything else counts.
func TestARouterCountsOthersThatItMayBeCutOffFrom(t *testing.T) {
	play(t, 12, func(g *WithT, f *fleet) {
		time.Sleep(settleFor)
		g.Expect(f.nodes[0].source.Others()).To(Equal(11))
		for _, n := range f.nodes[2:] { // what the two see of a cut from the ten others
			n.end()
		}
		time.Sleep(time.Minute)
		g.Expect(f.nodes[0].source.Others()).To(Equal(11))
		g.Expect(f.nodes[1].source.Others()).To(Equal(11))
	})
}
