package peers

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a partitioned fleet that spends its retry slack once per partition. Routers shared
// the slack only with those seen in the last five seconds, so each took its own partition for the
// whole fleet.
func TestPeerCountIncludesPartitionedRouters(t *testing.T) {
	runFleet(t, 12, func(g *WithT, f *fleet) {
		time.Sleep(settleTime)
		g.Expect(f.nodes[0].source.members.count(time.Now())).To(Equal(11), "before the first call of PeerCount")
		for _, n := range f.nodes[2:] { // the two are partitioned from the ten others
			n.shutDown()
		}
		time.Sleep(time.Minute)
		g.Expect(f.nodes[0].source.PeerCount()).To(Equal(11))
		g.Expect(f.nodes[1].source.PeerCount()).To(Equal(11))
		time.Sleep(partitionTTL)
		g.Expect(f.nodes[0].source.PeerCount()).To(Equal(1), "after partitionTTL")
	})
}

// Guards against calls to a failing origin that grow with the fleet: 357 routers made 670 times the
// usual number of calls while the origin had lost its history. Each router whose reader can't reach
// the origin calls it itself every 0.8 s. Without turns this test counted 180, 540 and 1,055 calls
// in 4 s with 31, 103 and 206 routers.
func TestCallsToFailingOriginAreBounded(t *testing.T) {
	const (
		domains, duration = 5, 4 * time.Second
		maxCallers        = 16 // per domain, within the call interval of one router
	)
	for _, routers := range []int{31, 103, 206} {
		runFleetShape(t, routers, domains, 0, func(g *WithT, f *fleet) {
			for _, n := range f.nodes {
				f.refuse(n.vm)
			}
			time.Sleep(2 * time.Second) // all know that their readers can't reach it
			before := f.origin.count()
			time.Sleep(duration)
			calls := float64(f.origin.count() - before)
			byOthers := min(float64(routers)/domains, maxCallers) / originCallInterval.Seconds()
			const byReader = 2.5 // per second
			g.Expect(calls).To(BeNumerically("<", 1.1*duration.Seconds()*domains*(byOthers+byReader)), "%d routers", routers)
			t.Logf("%d routers: %.0f calls in %s", routers, calls, duration)
		})
	}
}
