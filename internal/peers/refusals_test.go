package peers

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/balance"
	"coveferry/internal/bundle"
)

// Guards against a single peer that has a router distrust an endpoint which serves everything, by
// counting itself as many routers, listing the endpoint twice or reporting more outcomes than it
// can have seen.
func TestOnePeerCannotHaveAnEndpointDistrusted(t *testing.T) {
	g := NewWithT(t)
	pool := balance.NewPool(balance.Config{})
	endpoint := &bundle.Endpoint{Name: "e0", Slots: 64}
	pool.Views(time.Now(), []*bundle.Endpoint{endpoint})
	var f failureReports
	now := time.Now()
	for i := range 40 {
		now = now.Add(250 * time.Millisecond)
		a := pool.Track(now, "e0", balance.Work{})
		a.Release()
		a.Done(now, balance.ResultOK)
		f.record("vm-1", []balance.FailureSummary{
			{Endpoint: "e0", Contradicted: 1<<30 + i, Served: -1 << 30, Contradicting: 9, Distrusting: 9},
			{Endpoint: "e0", Contradicted: 5 + i, Contradicting: 9, Distrusting: 9},
		}, now)
		pool.ApplyPeerFailures(now, f.sum(nil, now, ""))
		g.Expect(pool.Refusals(now).Endpoints).To(BeZero())
	}
	sum := f.sum(nil, now, "")
	g.Expect(sum).To(HaveLen(1))
	g.Expect(sum[0].Contradicted).To(BeNumerically("<=", 64))
	g.Expect(sum[0].Served).To(BeZero())
	g.Expect(sum[0].Contradicting).To(Equal(1))
	g.Expect(sum[0].Distrusting).To(Equal(1))
}
