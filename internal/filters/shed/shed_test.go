package shed_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/balance"
	"coveferry/internal/bundle"
	"coveferry/internal/filters/shed"
	"coveferry/internal/load"
	"coveferry/internal/request"
	"coveferry/internal/throttle"
)

const endpoint = "e"

// newOverloadedFilter returns a filter whose only endpoint has refused all requests of
// tier 1 for a while and then sent the given report. The returned function sends a
// request.
func newOverloadedFilter(g *WithT, report load.Report) (*shed.Filter, func(tier int) error) {
	pool := balance.NewPool(balance.Config{})
	f := shed.New(throttle.Config{MinRequests: 10}, pool, func() float64 { return 0.5 })
	candidates := []*bundle.Endpoint{{Name: endpoint, Slots: 1}}
	refuse := func(context.Context, *request.Request) error { return errRefused }
	send := func(tier int) error {
		r := &request.Request{Model: "m", Tier: tier, Candidates: candidates}
		return f.Do(context.Background(), r, refuse)
	}
	for range 50 {
		g.Expect(send(1)).To(MatchError(errRefused), "no load report yet")
	}
	pool.Report(time.Now(), endpoint, report)
	return f, send
}

var errRefused = errors.New("refused by the endpoint")

func TestShedsTierThatEndpointsRefuse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		full := load.Report{Seq: 1, Slots: 1, Running: [load.MaxTiers]int{1}, Queued: [load.MaxTiers]int{0, 3}, DrainPerSecond: 2}
		_, send := newOverloadedFilter(g, full)
		var shedErr *shed.Error
		g.Expect(errors.As(send(1), &shedErr)).To(BeTrue())
		g.Expect(shedErr.RetryAfter).To(Equal(2*time.Second), "four requests at two a second")
		g.Expect(shedErr.API().Run).To(BeEquivalentTo("not_run"))
		time.Sleep(time.Minute) // fake time: old refusals leave the window
		g.Expect(send(1)).To(MatchError(errRefused))
	})
}

// A tier must not be shed at the router while an endpoint runs lower-tier work, which it
// could preempt.
func TestDoesNotShedWhileLowerTierRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		lower := load.Report{Seq: 1, Slots: 1, Running: [load.MaxTiers]int{0, 0, 1}, DrainPerSecond: 2}
		_, send := newOverloadedFilter(g, lower)
		for range 20 {
			g.Expect(send(1)).To(MatchError(errRefused))
		}
	})
}

func TestAcceptedRequestsEndShedding(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		full := load.Report{Seq: 1, Slots: 1, Running: [load.MaxTiers]int{1}, DrainPerSecond: 2}
		f, send := newOverloadedFilter(g, full)
		begin := func(_ context.Context, r *request.Request) error {
			r.Delivered.FirstToken = time.Now()
			r.OnFirstToken()
			return nil
		}
		for range 100 {
			r := &request.Request{Model: "m", Tier: 0, Candidates: []*bundle.Endpoint{{Name: endpoint, Slots: 1}}}
			g.Expect(f.Do(context.Background(), r, begin)).To(Succeed(), "the higher tier is not shed")
		}
		g.Expect(send(1)).To(MatchError(errRefused), "requests were accepted again")
	})
}
