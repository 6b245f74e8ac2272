package balance

// A hundred routers get the same load reports, some hundred milliseconds old. When each compared all
// endpoints, all found the same one empty; and since a router's own recent requests were
// extrapolated to all routers, a single one made a preferred endpoint look full. At 103 routers and
// 180 endpoints 23% to 42% of the prompts of a kind with a common preferred endpoint went
// elsewhere, even with a third of the slots in use. In these tests one of 60 endpoints got 50 of
// the first 103 requests, and all 103 routers left the preferred endpoint after one request to it.

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// newRouterPools returns the pools of many routers that know of each other.
func newRouterPools(routers int) []*Pool {
	pools := make([]*Pool, routers)
	for i := range pools {
		policy := NewPromptAware()
		policy.SetPeerDemand(func() PeerDemand {
			return PeerDemand{Demand: Demand{{GapMillis: 250, Requests: 2500, RecentRequests: 1250, SlotSeconds: 2500}}, Routers: routers - 1}
		})
		pools[i] = NewPool(Config{Policy: policy, Seed: uint64(i + 1)})
	}
	return pools
}

func TestRoutersWithTheSameReportsDoNotHerd(t *testing.T) {
	const routers, endpoints = 103, 60
	g := NewWithT(t)
	all := newEndpoints(endpoints)
	sent := make(map[string]int)
	for i, p := range newRouterPools(routers) {
		for n, e := range all {
			p.Report(epoch, e.Name, loadReport(20+n%20, 0))
		}
		p.Report(epoch, "e7", loadReport(0, 0))
		name, _ := chooseAndSend(p, epoch.Add(time.Millisecond), tightGapRequest(uint64(100+i)), all)
		sent[name]++
	}
	g.Expect(sent["e7"]).To(BeNumerically("<", routers/4))
	for name, n := range sent {
		g.Expect(n).To(BeNumerically("<", routers/4), name)
	}
}

func TestOneOwnRequestDoesNotFillPreferredEndpoint(t *testing.T) {
	g := NewWithT(t)
	all := newEndpoints(60)
	moved := 0
	for i, p := range newRouterPools(103) {
		for n, e := range all {
			p.Report(epoch, e.Name, loadReport(20+n%5, 0))
		}
		now := epoch.Add(time.Millisecond)
		req := longRequest(uint64(300 + i))
		preferred, a := chooseAndSend(p, now, req, all)
		a.PrefillDone()
		again, _ := chooseAndSend(p, now.Add(time.Millisecond), req, all)
		if again != preferred {
			moved++
		}
	}
	g.Expect(moved).To(BeNumerically("<", 5))
}

// A single router, or one of few, compares all endpoints and counts exactly what it sent.
func TestFewerRoutersSampleMoreEndpoints(t *testing.T) {
	for _, c := range []struct {
		group int
		share float64
		want  int
	}{{9, 1, 9}, {9, 0.34, 9}, {9, 0.2, 6}, {55, 0.033, 6}, {180, 0.01, 6}, {180, 0.001, 2}, {1, 0.5, 1}} {
		NewWithT(t).Expect(sampleSize(c.group, c.share)).To(Equal(c.want), fmt.Sprint(c))
	}
	g := NewWithT(t)
	g.Expect(estimateUnreported(3, 1, 1, 1)).To(Equal(3.0))
	g.Expect(estimateUnreported(3, 1, 1, 0)).To(Equal(3.0))
	g.Expect(estimateUnreported(1, 1, 0.25, 1)).To(Equal(4.0))
	g.Expect(estimateUnreported(0, 0, 0.01, 0)).To(BeZero())
	g.Expect(estimateUnreported(1, 0.02, 0.01, 0)).To(BeNumerically("<", 5), "one request by one of a hundred routers may be chance")
	g.Expect(estimateUnreported(20, 0.02, 0.01, 0)).To(BeNumerically(">", 30), "twenty requests aren't chance")
}
