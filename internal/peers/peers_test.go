package peers

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestOneRouterOfAFailureDomainReadsForAll(t *testing.T) {
	play(t, 12, func(g *WithT, f *fleet) {
		g.Expect(f.readers()).To(HaveLen(2))
		before := f.store.count()
		time.Sleep(10 * time.Second)
		// Two readers make a call a second that waits; each for itself, the
		// routers would make 120.
		g.Expect(f.store.count() - before).To(BeNumerically("<=", 22))
		f.set(7)
		time.Sleep(1500 * time.Millisecond)
		g.Expect(f.inForce(7)).To(Equal(12))
		for _, n := range f.nodes {
			g.Expect(n.follower.Age()).To(BeNumerically("<", maxAge), n.vm)
			g.Expect(n.follower.Directory().Len()).To(Equal(1))
		}
	})
}

func TestALostReaderIsReplaced(t *testing.T) {
	play(t, 12, func(g *WithT, f *fleet) {
		lost := f.readers()[0]
		lost.end()
		time.Sleep(time.Second)
		for _, n := range f.nodes {
			if n.stop != nil {
				g.Expect(n.follower.Age()).To(BeNumerically("<", maxAge+time.Second), n.vm)
			}
		}
		time.Sleep(8 * time.Second)
		g.Expect(f.readers()).To(HaveLen(2))
		g.Expect(f.readers()).NotTo(ContainElement(lost))
		f.set(9)
		time.Sleep(1500 * time.Millisecond)
		g.Expect(f.inForce(9)).To(Equal(11))
	})
}

func TestARouterThatTheStoreTurnsAwayHearsFromOthers(t *testing.T) {
	play(t, 2, func(g *WithT, f *fleet) { // each reads for its own domain
		f.turnAway("vm0")
		f.set(5)
		time.Sleep(5 * time.Second)
		g.Expect(f.nodes[0].follower.Table().Version()).To(Equal(uint64(5)))
		g.Expect(f.nodes[0].follower.Age()).To(BeNumerically("<", 4*time.Second))
		g.Expect(f.nodes[0].source.SourceLost()).To(BeNumerically(">", 3*time.Second))
		g.Expect(f.nodes[1].source.SourceLost()).To(BeZero())
		f.store.mu.Lock()
		f.store.away = map[string]bool{}
		f.store.mu.Unlock()
		time.Sleep(time.Second)
		g.Expect(f.nodes[0].source.SourceLost()).To(BeZero())
	})
}

func TestARouterThatNoLongerAsksTheStoreHasNotLostIt(t *testing.T) {
	play(t, 12, func(g *WithT, f *fleet) {
		for _, n := range f.nodes {
			f.turnAway(n.vm)
		}
		time.Sleep(4 * time.Second)
		f.store.mu.Lock()
		f.store.away = map[string]bool{}
		f.store.mu.Unlock()
		time.Sleep(4 * time.Second)
		for _, n := range f.nodes {
			g.Expect(n.source.SourceLost()).To(BeZero(), n.vm)
		}
	})
}

func TestNobodyMakesOldKnowledgeYounger(t *testing.T) {
	play(t, 6, func(g *WithT, f *fleet) {
		f.turnAway("vm0", "vm1", "vm2", "vm3", "vm4", "vm5")
		time.Sleep(time.Second)
		began := time.Now()
		before := make([]time.Duration, len(f.nodes))
		for i, n := range f.nodes {
			before[i] = n.follower.Age()
		}
		time.Sleep(10 * time.Second)
		for i, n := range f.nodes {
			grown := n.follower.Age() - before[i]
			g.Expect(grown).To(BeNumerically(">", time.Since(began)-2*time.Second), n.vm)
		}
	})
}

func TestRoutersWithoutPeersReadForThemselves(t *testing.T) {
	play(t, 1, func(g *WithT, f *fleet) {
		f.set(3)
		time.Sleep(1500 * time.Millisecond)
		g.Expect(f.inForce(3)).To(Equal(1))
	})
}

func TestRoutersDoNotAllAskASourceThatNobodyReaches(t *testing.T) {
	play(t, 12, func(g *WithT, f *fleet) {
		for _, n := range f.nodes {
			f.turnAway(n.vm)
		}
		time.Sleep(4 * time.Second)
		before := f.store.count()
		time.Sleep(8 * time.Second)
		// Ten routers ask once in 0.8 s at most, two readers 2.5 times a second.
		g.Expect(f.store.count() - before).To(BeNumerically("<=", 10*10+2*24))
	})
}
