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
		time.Sleep(settleTime)
		g.Expect(f.nodes[0].source.members.count(time.Now())).To(Equal(11), "known, and not asked for yet")
		for _, n := range f.nodes[2:] { // what the two see of a cut from the ten others
			n.end()
		}
		time.Sleep(time.Minute)
		g.Expect(f.nodes[0].source.Others()).To(Equal(11))
		g.Expect(f.nodes[1].source.Others()).To(Equal(11))
		time.Sleep(partitionTTL)
		g.Expect(f.nodes[0].source.Others()).To(Equal(1), "they won't come back")
	})
}

// The story: a store that lost its history for seconds was asked 670 times more by a fleet of
// 357 routers than on a calm day.
// The cause: each router whose reader has lost the store asks it beside that, once in .8 s, so
// that the calls to a store in trouble grow with the fleet.
// The evidence: the calls counted here in 4 s with 31, 103 and 206 routers: 180, 540 and 1,055.
func TestRoutersTakeTurnsAtAskingBesideReadersThatHaveLostTheSource(t *testing.T) {
	const (
		domains, lasts = 5, 4 * time.Second
		most           = 16 // of a domain, within the pause between two calls of one of them
	)
	for _, routers := range []int{31, 103, 206} {
		playShape(t, routers, domains, 0, func(g *WithT, f *fleet) {
			for _, n := range f.nodes {
				f.turnAway(n.vm)
			}
			time.Sleep(2 * time.Second) // all know that their readers have lost it
			before := f.store.count()
			time.Sleep(lasts)
			calls := float64(f.store.count() - before)
			beside := min(float64(routers)/domains, most) / originCallInterval.Seconds()
			const byReader = 2.5 // a second
			g.Expect(calls).To(BeNumerically("<", 1.1*lasts.Seconds()*domains*(beside+byReader)), "%d routers", routers)
			t.Logf("%d routers: %.0f calls in %s", routers, calls, lasts)
		})
	}
}
