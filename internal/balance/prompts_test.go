package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"coveferry/internal/bundle"
	"coveferry/internal/prompt"
)

// newEndpoints returns n idle endpoints in three failure domains.
func newEndpoints(n int) []*bundle.Endpoint {
	all := make([]*bundle.Endpoint, n)
	for i := range all {
		all[i] = &bundle.Endpoint{
			Name: fmt.Sprintf("e%d", i), FailureDomain: fmt.Sprint(i % 3), Services: []string{"llm"}, Slots: 64,
		}
	}
	return all
}

func longRequest(key uint64) Request {
	return Request{Prompt: prompt.Prompt{
		Parts:  []prompt.Part{{ID: 1, Tokens: 2500}, {ID: key, Tokens: 3800}, {ID: key + 1000, Tokens: 2900}},
		Tokens: 9200, ExpectedOutput: 50,
	}, MaxGap: time.Second, Stride: 6}
}

func tightGapRequest(key uint64) Request {
	return Request{MaxGap: 250 * time.Millisecond, Stride: 6, Prompt: prompt.Prompt{
		Parts:  []prompt.Part{{ID: 2, Tokens: 100}, {ID: key, Tokens: 70}, {ID: key + 1000, Tokens: 540}},
		Tokens: 710, ExpectedOutput: 280,
	}}
}

// chooseAndSend chooses an endpoint for the request and records it as sent.
func chooseAndSend(p *Pool, now time.Time, req Request, all []*bundle.Endpoint) (string, *TrackedRequest) {
	c, err := p.ChooseWithEstimates(now, req, all, nil)
	if err != nil {
		panic(err)
	}
	return c.Endpoint.Name, p.Track(now, c.Endpoint.Name, Work{Tier: req.Tier, Prompt: req.Prompt, TightGap: c.TightGap, MaxGap: req.MaxGap, Stride: req.Stride})
}

// simulateTraffic sends mixed requests for the given number of seconds and returns the number of
// requests of each kind by endpoint in the last second.
func simulateTraffic(p *Pool, all []*bundle.Endpoint, seconds, longRate, tightRate int) (longAt, tightAt map[string]int) {
	now := epoch
	for s := range seconds {
		longAt, tightAt = make(map[string]int), make(map[string]int)
		for i := range 100 {
			now = now.Add(10 * time.Millisecond)
			if i%(100/longRate) == 0 {
				name, a := chooseAndSend(p, now, longRequest(uint64(10+(s*100+i)%50)), all)
				longAt[name]++
				a.Release()
				p.Done(now, name, ResultOK, 0)
			}
			if i%(100/tightRate) == 0 {
				name, a := chooseAndSend(p, now, tightGapRequest(uint64(100+i%10)), all)
				tightAt[name]++
				a.Release()
				p.Done(now, name, ResultOK, 0)
			}
		}
	}
	return longAt, tightAt
}

func TestLongPromptsAndTightGapStreamsUseDifferentEndpoints(t *testing.T) {
	for _, c := range []struct{ n, rate int }{{2, 20}, {3, 20}, {9, 20}, {55, 100}} {
		g := NewWithT(t)
		n := c.n
		longAt, tightAt := simulateTraffic(NewPool(Config{Policy: NewPromptAware()}), newEndpoints(n), 6, c.rate, c.rate)
		g.Expect(longAt).NotTo(BeEmpty())
		g.Expect(tightAt).NotTo(BeEmpty())
		for name := range tightAt {
			g.Expect(longAt).NotTo(HaveKey(name), "%d endpoints", n)
		}
	}
}

func TestDedicatedEndpointsFollowDemand(t *testing.T) {
	g := NewWithT(t)
	_, few := simulateTraffic(NewPool(Config{Policy: NewPromptAware()}), newEndpoints(6), 6, 20, 5)
	_, many := simulateTraffic(NewPool(Config{Policy: NewPromptAware()}), newEndpoints(6), 6, 20, 100)
	g.Expect(len(many)).To(BeNumerically(">", len(few)+1))
}

func TestRoutersDedicateTheSameEndpoints(t *testing.T) {
	g := NewWithT(t)
	_, a := simulateTraffic(NewPool(Config{Policy: NewPromptAware(), Seed: 1}), newEndpoints(9), 6, 20, 20)
	_, b := simulateTraffic(NewPool(Config{Policy: NewPromptAware(), Seed: 2}), newEndpoints(9), 6, 20, 20)
	for name := range a {
		g.Expect(b).To(HaveKey(name))
	}
}

func TestDedicatedEndpointsFollowPeerDemand(t *testing.T) {
	g := NewWithT(t)
	alone, withPeers := NewPromptAware(), NewPromptAware()
	withPeers.SetPeerDemand(func() PeerDemand {
		return PeerDemand{Demand: Demand{{GapMillis: 250, Requests: 600, RecentRequests: 300, SlotSeconds: 1200, PrefillSeconds: 6}}, Routers: 9}
	})
	_, few := simulateTraffic(NewPool(Config{Policy: alone}), newEndpoints(12), 4, 20, 5)
	_, many := simulateTraffic(NewPool(Config{Policy: withPeers}), newEndpoints(12), 4, 20, 5)
	g.Expect(len(few)).To(BeNumerically("<", 4))
	longs, _ := simulateTraffic(NewPool(Config{Policy: withPeers}), newEndpoints(12), 4, 20, 5)
	g.Expect(len(longs)).To(BeNumerically("<", 4), "%d endpoints are dedicated to tight-gap streams", len(many))
}

func TestPromptsWithSharedPartsUseTheSameEndpoint(t *testing.T) {
	g := NewWithT(t)
	p := NewPool(Config{Policy: NewPromptAware()})
	all := newEndpoints(9)
	preferred := make(map[uint64]string)
	for i := range 200 {
		now := epoch.Add(time.Duration(i) * 50 * time.Millisecond)
		key := uint64(10 + i%20)
		name, a := chooseAndSend(p, now, longRequest(key), all)
		a.Release()
		p.Done(now, name, ResultOK, 0)
		if preferred[key] != "" && i > 100 {
			g.Expect(name).To(Equal(preferred[key]), "request %d", i)
		}
		preferred[key] = name
	}
}

func TestIndependentRoutersPreferTheSameEndpoint(t *testing.T) {
	g := NewWithT(t)
	all := newEndpoints(9)
	a := NewPool(Config{Policy: NewPromptAware(), Seed: 1})
	b := NewPool(Config{Policy: NewPromptAware(), Seed: 2})
	for key := uint64(10); key < 40; key++ {
		at, accountA := chooseAndSend(a, epoch, longRequest(key), all)
		bt, accountB := chooseAndSend(b, epoch, longRequest(key), all)
		g.Expect(at).To(Equal(bt))
		accountA.Release()
		accountB.Release()
		a.Done(epoch, at, ResultOK, 0)
		b.Done(epoch, bt, ResultOK, 0)
	}
}

func TestBusyPreferredEndpointIsUsedAsCacheSource(t *testing.T) {
	g := NewWithT(t)
	p := NewPool(Config{Policy: NewPromptAware()})
	all := newEndpoints(9)
	first, _ := chooseAndSend(p, epoch, longRequest(10), all)
	for range 20 { // prompts that the preferred endpoint still has to prefill
		p.Track(epoch, first, Work{Prompt: longRequest(900).Prompt})
	}
	c, err := p.ChooseWithEstimates(epoch, longRequest(10), all, nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.Endpoint.Name).NotTo(Equal(first))
	g.Expect(c.FetchFrom).NotTo(BeNil())
	g.Expect(c.FetchFrom.Name).To(Equal(first))
}

func TestCachedPromptNeedsNoSource(t *testing.T) {
	g := NewWithT(t)
	p := NewPool(Config{Policy: NewPromptAware()})
	all := newEndpoints(9)
	name, a := chooseAndSend(p, epoch, longRequest(10), all)
	a.Release()
	p.Done(epoch, name, ResultOK, 0)
	c, err := p.ChooseWithEstimates(epoch.Add(time.Second), longRequest(10), all, nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.FetchFrom).To(BeNil())
}

func TestWaitCountsOwnAndHigherTiersOnly(t *testing.T) {
	g := NewWithT(t)
	p := NewPool(Config{Policy: NewPromptAware()})
	all := newEndpoints(1)
	for range 10 {
		p.Track(epoch, "e0", Work{Tier: 2, Prompt: longRequest(10).Prompt})
	}
	wait := func(tier int) time.Duration {
		req := longRequest(10)
		req.Tier = tier
		c, err := p.ChooseWithEstimates(epoch, req, all, nil)
		g.Expect(err).NotTo(HaveOccurred())
		return c.Wait
	}
	g.Expect(wait(2)).To(BeNumerically(">", 10*wait(1)/2))
	g.Expect(wait(1)).To(BeNumerically("<", 200*time.Millisecond))
}

func TestTrackedRequestIsReleasedOnce(t *testing.T) {
	g := NewWithT(t)
	p := NewPool(Config{Policy: NewPromptAware()})
	all := newEndpoints(1)
	a := p.Track(epoch, "e0", Work{Prompt: longRequest(10).Prompt, TightGap: true})
	b := p.Track(epoch, "e0", Work{Prompt: longRequest(11).Prompt, TightGap: true})
	a.PrefillDone()
	a.PrefillDone()
	a.Release()
	a.Release()
	v := p.Views(epoch, all)[0]
	g.Expect(v.TightGapStreams).To(Equal(1))
	g.Expect(v.PendingPrefill[0]).To(Equal(9200 - 2500)) // the first part is cached from the first request
	b.Release()
	v = p.Views(epoch, all)[0]
	g.Expect(v.TightGapStreams).To(BeZero())
	g.Expect(v.PendingPrefill[0]).To(BeZero())
}

func TestSplitGivesEveryKindWithDemandAnEndpoint(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 400).Draw(t, "n")
		last := rapid.IntRange(0, 400).Draw(t, "last")
		tight := rapid.Float64Range(0, 1e6).Draw(t, "tight")
		bulk := rapid.Float64Range(0, 1e6).Draw(t, "bulk")
		dedicated := split(last, n, tight, bulk)
		if dedicated < 0 || dedicated > n {
			t.Fatalf("%d of %d", dedicated, n)
		}
		if n > 1 && tight > 0 && dedicated == 0 || n > 1 && bulk > 0 && dedicated == n {
			t.Fatalf("%d of %d leave a kind with demand no endpoint", dedicated, n)
		}
	})
}

func TestSplitDoesNotFlap(t *testing.T) {
	g := NewWithT(t)
	dedicated := split(0, 9, 3, 6)
	rnd := rand.New(rand.NewPCG(1, 2))
	for range 100 {
		noise := 0.8 + 0.4*rnd.Float64()
		dedicated = split(dedicated, 9, 3*noise, 6)
		g.Expect(dedicated).To(Equal(3))
	}
}

func TestCacheOfLeavingEndpointIsUsed(t *testing.T) {
	g := NewWithT(t)
	p := NewPool(Config{Policy: NewPromptAware()})
	all := newEndpoints(9)
	preferred, a := chooseAndSend(p, epoch, longRequest(10), all)
	a.Release()
	p.Done(epoch, preferred, ResultOK, 0)
	p.SetLeaving(preferred, true)
	c, err := p.ChooseWithEstimates(epoch.Add(time.Second), longRequest(10), all, nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.Endpoint.Name).NotTo(Equal(preferred))
	g.Expect(c.FetchFrom.Name).To(Equal(preferred))
}
