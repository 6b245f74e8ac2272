package peers

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// evacuateWithin is how soon an order to evacuate must be in force at the last router: half
// of what operators grant.
const evacuateWithin = 2500 * time.Millisecond

// evacuate has the store hold an order to evacuate these failure domains.
func (f *fleet) evacuate(version uint64, domains ...string) {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	f.store.version, f.store.evacuated = version, domains
}

// knowing counts the routers that know of the orders for these failure domains and no other.
func (f *fleet) knowing(domains ...string) int {
	count := 0
	for _, n := range f.nodes {
		d := n.follower.Directory()
		knows := len(d.Evacuated()) == len(domains)
		for _, domain := range domains {
			knows = knows && d.IsEvacuated(domain)
		}
		if knows {
			count++
		}
	}
	return count
}

// Also routers that the store turns away or that it leaves without an answer know an order in
// time, and keep it while nothing says that it was removed.
func TestAnOrderToEvacuateIsInForceInTimeAtAllRouters(t *testing.T) {
	for _, routers := range []int{3, 31, 300} {
		playShape(t, routers, 3, 0, func(g *WithT, f *fleet) {
			f.turnAway(f.nodes[0].vm, f.nodes[len(f.nodes)/2].vm)
			f.silence(f.nodes[len(f.nodes)-1].vm)
			f.evacuate(2, "x")
			time.Sleep(evacuateWithin)
			g.Expect(f.knowing("x")).To(Equal(routers), "of %d", routers)

			var all []string
			for _, n := range f.nodes {
				all = append(all, n.vm)
			}
			f.silence(all...)
			time.Sleep(8 * time.Second)
			g.Expect(f.knowing("x")).To(Equal(routers), "over an outage")
			f.silence()
			f.evacuate(3, "x", "y")
			time.Sleep(evacuateWithin)
			g.Expect(f.knowing("x", "y")).To(Equal(routers), "two at once")
			f.evacuate(4, "y")
			time.Sleep(evacuateWithin)
			g.Expect(f.knowing("y")).To(Equal(routers), "after one was removed")
		})
	}
}

// A router that starts knows an order with its first list.
func TestARouterThatStartsKnowsAnOrderToEvacuate(t *testing.T) {
	play(t, 4, func(g *WithT, f *fleet) {
		f.evacuate(2, "x")
		time.Sleep(evacuateWithin)
		f.start(g, 4)
		time.Sleep(time.Second)
		g.Expect(f.knowing("x")).To(Equal(5))
	})
}

func TestARouterKnowsWithWhomItSharesLimitsOnceItHasGreetedThem(t *testing.T) {
	play(t, 12, func(g *WithT, f *fleet) {
		for _, n := range f.nodes {
			fleet := n.source.Fleet(time.Now())
			g.Expect(fleet.Known).To(BeTrue(), n.vm)
			g.Expect(fleet.Near).To(HaveLen(5), n.vm)
			g.Expect(fleet.Domains).To(HaveLen(2), n.vm)
		}
		// One that falls silent may go on while it is cut off, and counts for a while.
		f.nodes[11].end()
		time.Sleep(sharingTTL / 2)
		g.Expect(f.nodes[1].source.Fleet(time.Now()).Near).To(HaveLen(5))
		time.Sleep(sharingTTL)
		g.Expect(f.nodes[1].source.Fleet(time.Now()).Near).To(HaveLen(4))
		f.start(g, 12)
		time.Sleep(settleTime / 2)
		g.Expect(f.nodes[12].source.Fleet(time.Now()).Known).To(BeFalse(), "a router that has just started")
		time.Sleep(settleTime)
		fleet := f.nodes[12].source.Fleet(time.Now())
		g.Expect(fleet.Known).To(BeTrue())
		g.Expect(fleet.Near).To(HaveLen(6))
	})
}
