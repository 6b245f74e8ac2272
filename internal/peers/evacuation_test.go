package peers

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// maxEvacuationDelay is how soon the last router must know an evacuation: half of what operators
// allow.
const maxEvacuationDelay = 2500 * time.Millisecond

// setEvacuated sets the evacuated failure domains in the origin.
func (f *fleet) setEvacuated(version uint64, domains ...string) {
	f.origin.mu.Lock()
	defer f.origin.mu.Unlock()
	f.origin.version, f.origin.evacuated = version, domains
}

// countWithEvacuations counts the routers that know exactly these evacuations.
func (f *fleet) countWithEvacuations(domains ...string) int {
	count := 0
	for _, n := range f.nodes {
		d := n.follower.Directory()
		matches := len(d.Evacuated()) == len(domains)
		for _, domain := range domains {
			matches = matches && d.IsEvacuated(domain)
		}
		if matches {
			count++
		}
	}
	return count
}

// Routers that the origin refuses or doesn't answer also learn of an evacuation in time, and keep it
// until its end is reported.
func TestEvacuationReachesAllRoutersInTime(t *testing.T) {
	for _, routers := range []int{3, 31, 300} {
		runFleetShape(t, routers, 3, 0, func(g *WithT, f *fleet) {
			f.refuse(f.nodes[0].vm, f.nodes[len(f.nodes)/2].vm)
			f.setUnresponsive(f.nodes[len(f.nodes)-1].vm)
			f.setEvacuated(2, "x")
			time.Sleep(maxEvacuationDelay)
			g.Expect(f.countWithEvacuations("x")).To(Equal(routers), "of %d routers", routers)

			var all []string
			for _, n := range f.nodes {
				all = append(all, n.vm)
			}
			f.setUnresponsive(all...)
			time.Sleep(8 * time.Second)
			g.Expect(f.countWithEvacuations("x")).To(Equal(routers), "during an outage")
			f.setUnresponsive()
			f.setEvacuated(3, "x", "y")
			time.Sleep(maxEvacuationDelay)
			g.Expect(f.countWithEvacuations("x", "y")).To(Equal(routers), "two evacuations")
			f.setEvacuated(4, "y")
			time.Sleep(maxEvacuationDelay)
			g.Expect(f.countWithEvacuations("y")).To(Equal(routers), "after one has ended")
		})
	}
}

// A starting router learns of an evacuation with its first list.
func TestStartingRouterKnowsEvacuation(t *testing.T) {
	runFleet(t, 4, func(g *WithT, f *fleet) {
		f.setEvacuated(2, "x")
		time.Sleep(maxEvacuationDelay)
		f.startNode(g, 4)
		time.Sleep(time.Second)
		g.Expect(f.countWithEvacuations("x")).To(Equal(5))
	})
}

func TestFleetIsKnownAfterSettleTime(t *testing.T) {
	runFleet(t, 12, func(g *WithT, f *fleet) {
		for _, n := range f.nodes {
			fleet := n.source.Fleet(time.Now())
			g.Expect(fleet.Known).To(BeTrue(), n.vm)
			g.Expect(fleet.OwnDomainRouters).To(HaveLen(5), n.vm)
			g.Expect(fleet.Domains).To(HaveLen(2), n.vm)
		}
		// A router that stops sending may only be partitioned, and still counts for a while.
		f.nodes[11].shutDown()
		time.Sleep(rateSharerTTL / 2)
		g.Expect(f.nodes[1].source.Fleet(time.Now()).OwnDomainRouters).To(HaveLen(5))
		time.Sleep(rateSharerTTL)
		g.Expect(f.nodes[1].source.Fleet(time.Now()).OwnDomainRouters).To(HaveLen(4))
		f.startNode(g, 12)
		time.Sleep(settleTime / 2)
		g.Expect(f.nodes[12].source.Fleet(time.Now()).Known).To(BeFalse(), "a router that is starting")
		time.Sleep(settleTime)
		fleet := f.nodes[12].source.Fleet(time.Now())
		g.Expect(fleet.Known).To(BeTrue())
		g.Expect(fleet.OwnDomainRouters).To(HaveLen(6))
	})
}
