package balance

// Endpoints under pressure state in their responses how many requests a second they accept from all
// routers: what routers learn from the responses, from several in any order, and what they send.

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/bundle"
	"coveferry/internal/endpointrate"
	"coveferry/internal/prompt"
	"coveferry/internal/upstream"
)

func statedLimit(perSecond float64) upstream.RateLimit {
	return upstream.RateLimit{Kind: upstream.LimitSet, PerSecond: perSecond}
}

var noLimit = upstream.RateLimit{}

// at is the time so many milliseconds after epoch.
func at(millis int) time.Time { return epoch.Add(time.Duration(millis) * time.Millisecond) }

// testRequest is a request of an average size.
var testRequest = Request{Service: "llm", Prompt: prompt.Prompt{Tokens: 900, ExpectedOutput: 50}}

// countSent counts the requests that each endpoint gets between two times, given in milliseconds, if
// one is sent every 10 ms.
func countSent(p *Pool, req Request, all []*bundle.Endpoint, from, to int) map[string]int {
	sent := make(map[string]int)
	for ms := from; ms < to; ms += 10 {
		if e, err := p.Choose(at(ms), req, all, nil); err == nil {
			sent[e.Name]++
		}
	}
	return sent
}

func TestRouterFollowsChangingLimit(t *testing.T) {
	g := NewWithT(t)
	p := NewPool(Config{Policy: NewPromptAware(), Seed: 1})
	all := newEndpoints(1)
	apply := func(ms int, stated upstream.RateLimit) { p.ApplyLimit(at(ms), at(ms), "e0", stated) }
	g.Expect(countSent(p, testRequest, all, 0, 1000)["e0"]).To(Equal(100))
	apply(1000, statedLimit(2))
	g.Expect(countSent(p, testRequest, all, 1000, 5000)["e0"]).To(BeNumerically("~", 8, 2))
	apply(5000, statedLimit(20))
	g.Expect(countSent(p, testRequest, all, 5000, 9000)["e0"]).To(BeNumerically("~", 80, 5), "the limit rises")
	apply(9000, statedLimit(0.5))
	g.Expect(countSent(p, testRequest, all, 9000, 13000)["e0"]).To(BeNumerically("~", 2, 1), "the limit falls")
	apply(13000, statedLimit(0))
	n := countSent(p, testRequest, all, 13000, 53000)["e0"]
	g.Expect(n).To(BeNumerically("<=", 5), "an endpoint with limit 0 still gets some requests")
	g.Expect(n).To(BeNumerically(">=", 3), "or no router would learn that its limit has risen")
	apply(53000, upstream.RateLimit{Kind: upstream.LimitUnreadable})
	g.Expect(countSent(p, testRequest, all, 53000, 54000)["e0"]).To(BeNumerically("<=", 1), "an unreadable limit changes nothing")
	apply(54000, noLimit)
	g.Expect(countSent(p, testRequest, all, 54000, 55000)["e0"]).To(Equal(100), "no limit is stated any more")
	apply(55000, upstream.RateLimit{Kind: upstream.LimitUnreadable})
	g.Expect(countSent(p, testRequest, all, 55000, 56000)["e0"]).To(Equal(100))
	apply(56000, statedLimit(1e300))
	g.Expect(countSent(p, testRequest, all, 56000, 57000)["e0"]).To(Equal(100))
}

func TestOutOfOrderResponsesKeepTheLatestLimit(t *testing.T) {
	g := NewWithT(t)
	p := NewPool(Config{})
	e := newEndpoints(1)[0]
	limited := func(ms int) bool { _, ok := p.LimitOf(at(ms), e); return ok }
	p.ApplyLimit(at(100), at(50), "e0", statedLimit(1))
	// Sent before the endpoint stated its limit, and delayed.
	p.ApplyLimit(at(150), at(90), "e0", noLimit)
	g.Expect(limited(150)).To(BeTrue())
	p.ApplyLimit(at(300), at(200), "e0", noLimit)
	g.Expect(limited(300)).To(BeFalse())
	p.ApplyLimit(at(320), at(250), "e0", statedLimit(1))
	g.Expect(limited(320)).To(BeFalse())
	p.ApplyLimit(at(420), at(350), "e0", statedLimit(1))
	g.Expect(limited(420)).To(BeTrue())
}

// First attempts, retries, streams resumed from a copy and health checks use the same share.
func TestAllRequestsCountAgainstTheLimit(t *testing.T) {
	g := NewWithT(t)
	p := NewPool(Config{Policy: NewPromptAware(), Seed: 1})
	all := newEndpoints(1)
	p.ApplyLimit(epoch, epoch, "e0", statedLimit(1))
	again := testRequest
	again.Retry = true
	sent := 0
	for ms := 0; ms < 8000; ms += 10 {
		switch ms / 10 % 4 {
		case 0:
			sent += countSent(p, testRequest, all, ms, ms+10)["e0"]
		case 1:
			sent += countSent(p, again, all, ms, ms+10)["e0"]
		case 2:
			if p.Take(at(ms), all[0], testRequest) {
				sent++
			}
		case 3:
			if p.MayCheck(at(ms), all[0]) {
				sent++
			}
		}
	}
	g.Expect(sent).To(BeNumerically("~", 8, 2))
	g.Expect(p.Limits()).To(Equal(LimitTotals{Endpoints: 1, PerSecond: 1, Share: 1, Sent: int64(sent)}))
}

func TestRequestGoesElsewhereOrLearnsWhenAnEndpointIsAvailable(t *testing.T) {
	g := NewWithT(t)
	share := 0.5
	p := NewPool(Config{Policy: NewPromptAware(), Seed: 1, RateShare: func(time.Time, endpointrate.Bound) float64 { return share }})
	all := newEndpoints(2)
	p.ApplyLimit(epoch, epoch, "e0", statedLimit(1))
	sent := countSent(p, testRequest, all, 0, 4000)
	g.Expect(sent["e0"]).To(BeNumerically("~", 2, 1))
	g.Expect(sent["e0"] + sent["e1"]).To(Equal(400))
	p.ApplyLimit(at(4000), at(4000), "e1", statedLimit(1))
	countSent(p, testRequest, all, 4000, 4200)
	_, err := p.Choose(at(4200), testRequest, all, nil)
	var none *NoEndpointError
	g.Expect(err).To(BeAssignableToTypeOf(none))
	none = err.(*NoEndpointError)
	g.Expect(none.RateLimited).To(Equal(2))
	g.Expect(none.AvailableIn).To(BeNumerically(">", 0))
	g.Expect(none.AvailableIn).To(BeNumerically("<=", 2*time.Second))
	_, err = p.Choose(at(4200).Add(none.AvailableIn), testRequest, all, nil)
	g.Expect(err).NotTo(HaveOccurred(), "the endpoint is available at that time")
	// A router without a share learns the interval at which others send.
	share = 0
	_, err = p.Choose(at(9000), testRequest, all, nil)
	g.Expect(err.(*NoEndpointError).AvailableIn).To(Equal(time.Second))
}

func TestLimitedEndpointsAreNotMeasured(t *testing.T) {
	g := NewWithT(t)
	p := NewPool(Config{Policy: NewPromptAware(), Seed: 1})
	all := newEndpoints(3)
	p.ApplyLimit(epoch, epoch, "e0", statedLimit(1e6))
	for i := range 100 {
		now := at(10 * i)
		a := p.Track(now, "e0", Work{Service: "llm", Prompt: testRequest.Prompt})
		a.EventReceived(now.Add(5 * time.Second)) // slow
		a.Release()
		a.Done(now, ResultFailed)
	}
	views := p.Views(at(2000), all)
	g.Expect(views[0].Weight).To(Equal(1.0), "it isn't ejected as failing")
	g.Expect(views[0].PrefillOverhead).To(Equal(views[1].PrefillOverhead), "the measurements of its group are unchanged")
	g.Expect(p.RecentFailures(at(2000), 9)).To(BeEmpty(), "no failures are reported")
}

// A limited endpoint is left out of the choice of preferred endpoints only if its limit turns
// requests away.
func TestLimitThatIsNotReachedChangesNothing(t *testing.T) {
	g := NewWithT(t)
	p := NewPool(Config{Policy: NewPromptAware(), Seed: 1})
	all := newEndpoints(2)
	p.ApplyLimit(epoch, epoch, "e0", statedLimit(1e6))
	p.ApplyLimit(epoch, epoch, "e1", statedLimit(1))
	countSent(p, testRequest, all, 0, 1000)
	views := p.Views(at(1000), all)
	g.Expect(views[0].ReducedCapacity).To(BeFalse())
	g.Expect(views[1].ReducedCapacity).To(BeTrue())
}

func TestRestartedProcessStatesItsOwnLimit(t *testing.T) {
	g := NewWithT(t)
	p, other := NewPool(Config{}), NewPool(Config{})
	e := newEndpoints(1)[0]
	for _, pool := range []*Pool{p, other} {
		pool.ApplyLimit(epoch, epoch, "e0", statedLimit(1))
	}
	p.Restart(at(1000), "e0")
	_, limited := p.LimitOf(at(1000), e)
	g.Expect(limited).To(BeFalse())
	// A router that doesn't know of the restart reports the limit of the previous process.
	p.ApplyPeerLimits(at(1100), at(1100), other.LimitsForPeer(at(1100), 0, time.Minute).Limits)
	_, limited = p.LimitOf(at(1100), e)
	g.Expect(limited).To(BeFalse())
}

// exchangeLimits sends the limits of one pool to another, as in a request to a peer.
func exchangeLimits(now time.Time, from, to *Pool, within time.Duration) LimitSummaries {
	limits := from.LimitsForPeer(now, to.LimitsForPeer(now, 0, 0).Digest(), within)
	to.ApplyPeerLimits(now, now, limits.Limits)
	return limits
}

func TestRoutersExchangeLimits(t *testing.T) {
	g := NewWithT(t)
	const within = time.Second
	a, b := NewPool(Config{}), NewPool(Config{})
	e := newEndpoints(1)[0]
	limited := func(p *Pool) bool { _, ok := p.LimitOf(epoch, e); return ok }
	a.ApplyLimit(at(0), at(0), "e0", statedLimit(1))
	exchangeLimits(at(100), a, b, within)
	g.Expect(limited(b)).To(BeFalse(), "b doesn't know the endpoint")
	b.SetLeaving("e0", false)
	exchangeLimits(at(200), a, b, within)
	g.Expect(limited(b)).To(BeTrue())
	g.Expect(exchangeLimits(at(5000), a, b, within).Limits).To(BeEmpty(), "nothing is reported if both know the same limits")
	// The limit ends while the two routers can't reach each other.
	a.ApplyLimit(at(6000), at(5900), "e0", noLimit)
	exchangeLimits(at(20000), b, a, within)
	g.Expect(limited(a)).To(BeFalse(), "the report is older")
	exchangeLimits(at(20000), a, b, within)
	g.Expect(limited(b)).To(BeFalse(), "the digests differ")
	// Small changes of a limit aren't reported, large ones are.
	a.ApplyLimit(at(21000), at(21000), "e0", statedLimit(1))
	exchangeLimits(at(21100), a, b, within)
	a.ApplyLimit(at(25000), at(25000), "e0", statedLimit(1.05))
	g.Expect(exchangeLimits(at(25100), a, b, within).Limits).To(BeEmpty())
	a.ApplyLimit(at(26000), at(26000), "e0", statedLimit(1.2))
	g.Expect(exchangeLimits(at(26100), a, b, within).Limits).To(HaveLen(1))
	use, _ := b.LimitOf(at(26100), e)
	g.Expect(use.PerSecond).To(Equal(1.2))
	g.Expect(use.Age).To(Equal(100 * time.Millisecond))
}

// Reports that go back and forth between two routers don't make a statement look newer.
func TestExchangedLimitsAge(t *testing.T) {
	g := NewWithT(t)
	a, b := NewPool(Config{}), NewPool(Config{})
	a.SetLeaving("e0", false)
	b.SetLeaving("e0", false)
	a.ApplyLimit(at(0), at(0), "e0", statedLimit(1))
	for ms := 10; ms < 5000; ms += 10 {
		// A report takes up to 50 ms.
		b.ApplyPeerLimits(at(ms+50), at(ms+50), a.LimitsForPeer(at(ms), 1, time.Minute).Limits)
		a.ApplyPeerLimits(at(ms+50), at(ms+50), b.LimitsForPeer(at(ms), 1, time.Minute).Limits)
	}
	use, _ := a.LimitOf(at(5000), newEndpoints(1)[0])
	g.Expect(use.Age).To(BeNumerically(">=", 5*time.Second-timestampTolerance))
}

func TestManyLimitsAreReportedInBatches(t *testing.T) {
	g := NewWithT(t)
	a, b := NewPool(Config{}), NewPool(Config{})
	const many = 100
	for i := range many {
		name := fmt.Sprint("e", i)
		b.SetLeaving(name, false)
		a.ApplyLimit(at(0), at(0), name, statedLimit(1))
	}
	for _, started := range []int{1, 60000} { // as recent changes, and long after
		for i := range many/maxPeerLimits + 1 {
			limits := exchangeLimits(at(started+250*i), a, b, time.Second)
			g.Expect(len(limits.Limits)).To(BeNumerically("<=", maxPeerLimits))
		}
		g.Expect(b.Limits().Endpoints).To(Equal(many))
		b = NewPool(Config{})
		for i := range many {
			b.SetLeaving(fmt.Sprint("e", i), false)
		}
	}
}

// An endpoint that states a limit may be cold too, or leave.
func TestLowerOfTwoLimitsAppliesAndLeavingEndpointGetsNothing(t *testing.T) {
	g := NewWithT(t)
	for _, c := range []struct{ limit, cold, want float64 }{{2, 13, 2}, {50, 13, 13}, {2, 0, 2}} {
		p := NewPool(Config{Policy: NewPromptAware(), Seed: 1})
		all := newEndpoints(1)
		p.ApplyLimit(epoch, epoch, "e0", statedLimit(c.limit))
		p.SetCold(epoch, "e0", 4*time.Second)
		req := testRequest
		req.ColdRate = c.cold
		g.Expect(countSent(p, req, all, 0, 4000)["e0"]).To(BeNumerically("~", 4*c.want, 3), "%+v", c)
		p.SetLeaving("e0", true)
		g.Expect(countSent(p, req, all, 4000, 8000)["e0"]).To(BeZero())
	}
}
