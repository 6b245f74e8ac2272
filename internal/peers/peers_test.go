package peers

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestOneReaderPerFailureDomain(t *testing.T) {
	runFleet(t, 12, func(g *WithT, f *fleet) {
		g.Expect(f.readers()).To(HaveLen(2))
		before := f.origin.count()
		time.Sleep(10 * time.Second)
		// Two readers make one waiting call a second each; without readers the routers would make
		// 120 calls.
		g.Expect(f.origin.count() - before).To(BeNumerically("<=", 22))
		f.setVersion(7)
		time.Sleep(1500 * time.Millisecond)
		g.Expect(f.countInForce(7)).To(Equal(12))
		for _, n := range f.nodes {
			g.Expect(n.age()).To(BeNumerically("<", maxAge), n.vm)
			g.Expect(n.follower.Directory().Len()).To(Equal(1))
		}
	})
}

func TestFailedReaderIsReplaced(t *testing.T) {
	runFleet(t, 12, func(g *WithT, f *fleet) {
		failed := f.readers()[0]
		failed.shutDown()
		time.Sleep(time.Second)
		for _, n := range f.nodes {
			if n.stop != nil {
				g.Expect(n.age()).To(BeNumerically("<", maxAge+time.Second), n.vm)
			}
		}
		time.Sleep(8 * time.Second)
		g.Expect(f.readers()).To(HaveLen(2))
		g.Expect(f.readers()).NotTo(ContainElement(failed))
		f.setVersion(9)
		time.Sleep(1500 * time.Millisecond)
		g.Expect(f.countInForce(9)).To(Equal(11))
	})
}

func TestRouterRefusedByOriginGetsUpdatesFromPeers(t *testing.T) {
	runFleet(t, 2, func(g *WithT, f *fleet) { // each reads for its own domain
		f.refuse("vm0")
		f.setVersion(5)
		time.Sleep(5 * time.Second)
		g.Expect(f.nodes[0].follower.Table().Version()).To(Equal(uint64(5)))
		g.Expect(f.nodes[0].age()).To(BeNumerically("<", 4*time.Second))
		g.Expect(f.nodes[0].source.OriginUnavailableFor()).To(BeNumerically(">", 3*time.Second))
		g.Expect(f.nodes[1].source.OriginUnavailableFor()).To(BeZero())
		f.origin.mu.Lock()
		f.origin.refused = map[string]bool{}
		f.origin.mu.Unlock()
		time.Sleep(time.Second)
		g.Expect(f.nodes[0].source.OriginUnavailableFor()).To(BeZero())
	})
}

func TestOriginFailureExpiresWithoutFurtherCalls(t *testing.T) {
	runFleet(t, 12, func(g *WithT, f *fleet) {
		for _, n := range f.nodes {
			f.refuse(n.vm)
		}
		time.Sleep(4 * time.Second)
		f.origin.mu.Lock()
		f.origin.refused = map[string]bool{}
		f.origin.mu.Unlock()
		time.Sleep(4 * time.Second)
		for _, n := range f.nodes {
			g.Expect(n.source.OriginUnavailableFor()).To(BeZero(), n.vm)
		}
	})
}

func TestPeersNeverReduceStateAge(t *testing.T) {
	runFleet(t, 6, func(g *WithT, f *fleet) {
		f.refuse("vm0", "vm1", "vm2", "vm3", "vm4", "vm5")
		time.Sleep(time.Second)
		start := time.Now()
		before := make([]time.Duration, len(f.nodes))
		for i, n := range f.nodes {
			before[i] = n.age()
		}
		time.Sleep(10 * time.Second)
		for i, n := range f.nodes {
			grown := n.age() - before[i]
			g.Expect(grown).To(BeNumerically(">", time.Since(start)-2*time.Second), n.vm)
		}
	})
}

func TestRouterWithoutPeersReadsOrigin(t *testing.T) {
	runFleet(t, 1, func(g *WithT, f *fleet) {
		f.setVersion(3)
		time.Sleep(1500 * time.Millisecond)
		g.Expect(f.countInForce(3)).To(Equal(1))
	})
}

func TestFewCallsToUnreachableOrigin(t *testing.T) {
	runFleet(t, 12, func(g *WithT, f *fleet) {
		for _, n := range f.nodes {
			f.refuse(n.vm)
		}
		time.Sleep(4 * time.Second)
		before := f.origin.count()
		time.Sleep(8 * time.Second)
		// Ten routers make at most one call in 0.8 s, two readers 2.5 a second.
		g.Expect(f.origin.count() - before).To(BeNumerically("<=", 10*10+2*24))
	})
}
