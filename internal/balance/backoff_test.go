package balance

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/prompt"
	"coveferry/internal/upstream"
)

// askBackoff applies an answer that asks for a backoff, at and to a request sent at some
// milliseconds after epoch.
func askBackoff(p *Pool, ms int, endpoint string, asked time.Duration) {
	p.ApplySignals(at(ms), at(ms), endpoint, upstream.Signals{Backoff: asked})
}

// accept applies the acceptance of a request that was sent at the same time.
func accept(p *Pool, ms int, endpoint string) { acceptSent(p, ms, ms, endpoint) }

// acceptSent applies the acceptance of a request that was sent at some time.
func acceptSent(p *Pool, ms, sent int, endpoint string) {
	p.RecordAccepted(at(ms), at(sent), endpoint)
}

// backoffPool is a pool that has chosen each of its endpoints.
func backoffPool(endpoints int) *Pool {
	p := NewPool(Config{Policy: NewPromptAware(), Seed: 1})
	countSent(p, testRequest, newEndpoints(endpoints), 0, 100)
	return p
}

func TestNoWayLeadsToAnEndpointDuringItsBackoff(t *testing.T) {
	g := NewWithT(t)
	p, all := backoffPool(2), newEndpoints(2)
	askBackoff(p, 1000, "e0", 3*time.Second)
	retry, resumed := testRequest, testRequest
	retry.Retry = true
	resumed.AtMostOnce = true
	for ms := 1000; ms < 4000; ms += 50 {
		for _, req := range []Request{testRequest, retry, resumed} {
			c, err := p.ChooseWithEstimates(at(ms), req, all, nil)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(c.Endpoint.Name).To(Equal("e1"))
			g.Expect(c.CopyTo).To(BeNil(), "no copies there")
		}
		g.Expect(p.Take(at(ms), all[0], testRequest)).To(BeFalse(), "resumed streams")
		g.Expect(p.MayCheck(at(ms), all[0])).To(BeFalse(), "health checks")
		g.Expect(p.Usable(at(ms), "e0")).To(BeFalse())
		g.Expect(p.AcceptsWork(at(ms), "e0")).To(BeFalse())
	}
	g.Expect(p.Backoffs(at(2000))).To(Equal(BackoffTotals{Endpoints: 1, Asked: 1}))
	g.Expect(p.Backoffs(at(5000))).To(Equal(BackoffTotals{Asked: 1}))
}

func TestLaterAnswersProlongABackoffAndNeverShortenIt(t *testing.T) {
	g := NewWithT(t)
	p, e := backoffPool(1), newEndpoints(1)[0]
	allowed := func(ms int) bool { return p.Usable(at(ms), e.Name) }
	askBackoff(p, 0, "e0", 3*time.Second)
	askBackoff(p, 100, "e0", time.Second)
	g.Expect(allowed(2999)).To(BeFalse(), "a shorter one")
	askBackoff(p, 200, "e0", 3*time.Second)
	g.Expect(allowed(3199)).To(BeFalse(), "an answer that was on its way")
	acceptSent(p, 300, -100, "e0")
	g.Expect(allowed(3199)).To(BeFalse(), "a success of a request sent before")
	g.Expect(allowed(3200 + int(maxBackoffJitter/time.Millisecond))).To(BeTrue())
}

func TestNoValueOfABackoffLosesAnEndpoint(t *testing.T) {
	for _, asked := range []time.Duration{365 * 24 * time.Hour, math.MaxInt64 / 2} {
		g := NewWithT(t)
		p, all := backoffPool(1), newEndpoints(1)
		askBackoff(p, 0, "e0", asked)
		end := int((maxBackoff + maxBackoffJitter) / time.Millisecond)
		g.Expect(p.Usable(at(end-1000), "e0")).To(BeFalse())
		g.Expect(countSent(p, testRequest, all, end, end+900)["e0"]).To(Equal(1), "one request tells")
		accept(p, end+900, "e0")
		g.Expect(countSent(p, testRequest, all, end+2000, end+3000)["e0"]).To(Equal(100))
	}
}

func TestBackoffsOfMillisecondsAreKept(t *testing.T) {
	g := NewWithT(t)
	p := backoffPool(1)
	askBackoff(p, 0, "e0", 40*time.Millisecond)
	g.Expect(p.Usable(at(39), "e0")).To(BeFalse())
	g.Expect(p.Usable(at(51), "e0")).To(BeTrue(), "no more jitter than a quarter")
}

func TestEndpointReturnsByARampAfterItsBackoff(t *testing.T) {
	g := NewWithT(t)
	p, all := backoffPool(2), newEndpoints(2)
	askBackoff(p, 0, "e0", time.Second)
	begin := 1000 + int(maxBackoffJitter/time.Millisecond)
	take := func(ms int) int {
		n := 0
		for p.Take(at(ms), all[0], testRequest) && n < 100 {
			n++
		}
		return n
	}
	g.Expect(take(begin)).To(Equal(1), "one until it is answered")
	g.Expect(take(begin + 50)).To(Equal(0))
	accept(p, begin+100, "e0")
	g.Expect(take(begin + 100)).To(Equal(2))
	accept(p, begin+200, "e0")
	accept(p, begin+200, "e0")
	g.Expect(take(begin + 200)).To(Equal(4))
	g.Expect(take(begin+100+int(rampDuration/time.Millisecond))).To(Equal(100), "all again")
}

func TestLostRequestOfARampDoesNotLoseTheEndpoint(t *testing.T) {
	g := NewWithT(t)
	p, all := backoffPool(1), newEndpoints(1)
	askBackoff(p, 0, "e0", time.Second)
	begin := 1000 + int(maxBackoffJitter/time.Millisecond)
	g.Expect(p.Take(at(begin), all[0], testRequest)).To(BeTrue())
	g.Expect(p.Take(at(begin+900), all[0], testRequest)).To(BeFalse())
	g.Expect(p.Take(at(begin+1100), all[0], testRequest)).To(BeTrue(), "no answer within a second")
}

func TestSecondTriesAvoidUntestedEndpoints(t *testing.T) {
	g := NewWithT(t)
	p, all := backoffPool(2), newEndpoints(2)
	askBackoff(p, 0, "e0", time.Second)
	retry := testRequest
	retry.Retry = true
	g.Expect(countSent(p, retry, all, 2000, 2500)).To(Equal(map[string]int{"e1": 50}))
	g.Expect(countSent(p, testRequest, all, 2500, 3000)["e0"]).To(Equal(1))
}

func TestAnotherProcessHasNoBackoff(t *testing.T) {
	g := NewWithT(t)
	p := backoffPool(1)
	askBackoff(p, 0, "e0", 3*time.Second)
	reports := p.RecentFailures(at(100), 9)
	p.Restart(at(200), "e0")
	g.Expect(p.Usable(at(200), "e0")).To(BeTrue())
	p.ApplyPeerFailures(at(300), reports)
	p.ApplyPeerFailures(at(300), []FailureSummary{{Endpoint: "e0", BackoffMillis: 2000, BackoffAgeMillis: 200}})
	g.Expect(p.Views(at(300), newEndpoints(1))[0].Weight).To(Equal(1.0), "what others tell of the process before")
}

func TestBackoffIsNeitherAFailureNorSlowness(t *testing.T) {
	g := NewWithT(t)
	p, all := backoffPool(2), newEndpoints(2)
	for ms := 0; ms < 20000; ms += 1000 {
		account := p.Track(at(ms), "e0", Work{Service: "llm"})
		askBackoff(p, ms, "e0", 3*time.Second)
		account.Release()
		account.Refused(at(ms))
		account.Done(at(ms), ResultRefused)
	}
	g.Expect(p.RecentFailures(at(19000), 9)).To(HaveExactElements(
		And(HaveField("Endpoint", "e0"), HaveField("Attempts", 0), HaveField("Failed", 0), HaveField("Unresponsive", 0))))
	g.Expect(p.ApplyPeerFailures(at(19000), nil)).To(BeEmpty())
	accept(p, 23000, "e0")
	g.Expect(p.Views(at(25000), all)[0].Weight).To(Equal(1.0))
}

func TestEndpointThatAskedOtherRoutersIsAvoidedUnlessItAcceptsThisOnes(t *testing.T) {
	g := NewWithT(t)
	p, other, all := backoffPool(2), backoffPool(2), newEndpoints(2)
	askBackoff(other, 1000, "e0", 3*time.Second)
	told := func(ms int) { p.ApplyPeerFailures(at(ms), other.RecentFailures(at(ms), 9)) }
	told(1200)
	g.Expect(countSent(p, testRequest, all, 1200, 4000)).To(Equal(map[string]int{"e1": 280}))
	g.Expect(countSent(p, testRequest, all[:1], 3000, 3100)["e0"]).To(Equal(10), "used where no other is left")
	acceptSent(p, 3200, 3100, "e0")
	told(3300)
	g.Expect(p.Views(at(3300), all)[0].Weight).To(Equal(1.0), "it accepts this router's requests")
	g.Expect(p.RecentFailures(at(3300), 9)).To(BeEmpty(), "what others tell isn't told again")
}

func TestBackoffTogetherWithLimitColdnessAndLeaving(t *testing.T) {
	g := NewWithT(t)
	p, all := backoffPool(2), newEndpoints(2)
	cold := testRequest
	cold.ColdRate = 10
	p.ApplySignals(at(0), at(0), "e0", upstream.Signals{
		Backoff: time.Second, Cold: 10 * time.Second, RateLimit: statedLimit(1),
	})
	g.Expect(countSent(p, cold, all, 0, 990)["e0"]).To(BeZero())
	accept(p, 2000, "e0")
	g.Expect(countSent(p, cold, all[:1], 3500, 7500)["e0"]).To(BeNumerically("~", 4, 1), "the limit holds on")
	p.SetLeaving("e0", true)
	g.Expect(countSent(p, cold, all, 7500, 9500)["e0"]).To(BeZero())
}

func TestPoolKeepsNothingOfEndedBackoffs(t *testing.T) {
	g := NewWithT(t)
	p := backoffPool(1)
	askBackoff(p, 0, "e0", time.Second)
	accept(p, 2000, "e0")
	accept(p, 4000, "e0")
	g.Expect(p.shard("e0").states["e0"].backoff).To(BeNil())
}

// Two kinds ask at the same rate while the only endpoint backs off; the less urgent one comes first.
func TestUrgentRequestsComeFirstAfterABackoff(t *testing.T) {
	g := NewWithT(t)
	p, all := backoffPool(1), newEndpoints(1)
	urgent, other := testRequest, testRequest
	other.Tier = 2
	askBackoff(p, 0, "e0", time.Second)
	begin := 1000 + int(maxBackoffJitter/time.Millisecond)
	var first []int
	for ms := 0; ms < begin+2*int(rampDuration/time.Millisecond) && len(first) < 3; ms += 20 {
		for _, req := range []Request{other, urgent} {
			if _, err := p.Choose(at(ms), req, all, nil); err == nil {
				first = append(first, req.Tier)
				accept(p, ms, "e0")
			}
		}
	}
	g.Expect(len(first)).To(BeNumerically(">=", 3))
	g.Expect(first[:3]).To(Equal([]int{0, 0, 0}))
}

func TestLessUrgentRequestsAreServedAfterABackoffIfNoOthersCome(t *testing.T) {
	g := NewWithT(t)
	p, all := backoffPool(1), newEndpoints(1)
	other := testRequest
	other.Tier = 2
	askBackoff(p, 0, "e0", time.Second)
	_, err := p.Choose(at(500), testRequest, all, nil)
	g.Expect(err).To(MatchError(ErrNoEndpoint), "an urgent request that doesn't come again")
	begin := 1000 + int(maxBackoffJitter/time.Millisecond)
	g.Expect(countSent(p, other, all, begin, begin+1500)["e0"]).To(BeNumerically(">", 0))
}

// A backoff of some seconds must not cost the cached prefixes of an endpoint.
func TestPromptsReturnToTheirEndpointAfterABackoff(t *testing.T) {
	g := NewWithT(t)
	p, all := NewPool(Config{Policy: NewPromptAware(), Seed: 1}), newEndpoints(6)
	homeAt := func(ms int) string {
		req := Request{Service: "llm", Prompt: prompt.Prompt{Tokens: 9000, ExpectedOutput: 50, Parts: []prompt.Part{{ID: 5, Tokens: 6000}, {ID: uint64(ms), Tokens: 3000}}}}
		e, err := p.Choose(at(ms), req, all, nil)
		g.Expect(err).NotTo(HaveOccurred())
		account := p.Track(at(ms), e.Name, Work{Service: "llm", Prompt: req.Prompt})
		account.EventReceived(at(ms + 50))
		accept(p, ms, e.Name)
		account.Release()
		account.Done(at(ms+50), ResultOK)
		return e.Name
	}
	home := homeAt(0)
	g.Expect(homeAt(500)).To(Equal(home))
	askBackoff(p, 1000, home, time.Second)
	g.Expect(homeAt(1500)).NotTo(Equal(home))
	for ms := 3000; ms < 3000+int(rampDuration/time.Millisecond); ms += 100 {
		homeAt(ms)
	}
	g.Expect(homeAt(5000)).To(Equal(home))
}

func TestRefusalWithoutBackoffDoesNotWidenTheRamp(t *testing.T) {
	g := NewWithT(t)
	p, all := backoffPool(1), newEndpoints(1)
	askBackoff(p, 0, "e0", time.Second)
	begin := 1000 + int(maxBackoffJitter/time.Millisecond)
	g.Expect(p.Take(at(begin), all[0], testRequest)).To(BeTrue())
	p.ApplySignals(at(begin+10), at(begin), "e0", upstream.Signals{})
	g.Expect(p.Take(at(begin+20), all[0], testRequest)).To(BeFalse())
}

func TestAnswerToAnEarlierRequestDoesNotEndWhatOtherRoutersTold(t *testing.T) {
	g := NewWithT(t)
	p, all := backoffPool(2), newEndpoints(2)
	p.ApplyPeerFailures(at(1000), []FailureSummary{{Endpoint: "e0", BackoffMillis: 3000, BackoffAgeMillis: 300}})
	acceptSent(p, 1100, 600, "e0")
	g.Expect(p.Views(at(1100), all)[0].Weight).To(BeZero(), "sent before the endpoint asked")
	acceptSent(p, 1300, 800, "e0")
	g.Expect(p.Views(at(1300), all)[0].Weight).To(Equal(1.0))
}

func TestRoutersReturnToAnEndpointAtDifferentTimes(t *testing.T) {
	g := NewWithT(t)
	const routers = 100
	returned := make(map[int]int) // routers by hundred milliseconds after the end
	for seed := range uint64(routers) {
		p := NewPool(Config{Seed: seed + 1})
		askBackoff(p, 0, "e0", 3*time.Second)
		ms := 3000
		for !p.Usable(at(ms), "e0") {
			ms++
		}
		returned[(ms-3000)/100]++
	}
	g.Expect(returned).To(HaveLen(int(maxBackoffJitter / (100 * time.Millisecond))))
	for _, n := range returned {
		g.Expect(n).To(BeNumerically("<", routers/2))
	}
}
