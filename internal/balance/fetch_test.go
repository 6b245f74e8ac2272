package balance

// These tests guard against fetching cached prompt parts from endpoints that don't have them. On
// the first day of high load with 103 routers and 180 endpoints a fifth of all prefilled tokens,
// 26.5 million, had been prefilled before, although each prompt that wasn't sent to its preferred
// endpoint named a source. The source was an endpoint dedicated to other kinds of request, or one
// to which this router itself had sent the common beginning of nearly all prompts.

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/bundle"
)

// poolWithBusyEndpoint returns a pool that has sent the common beginning of prompts to all
// endpoints but the given one, which has so much to prefill that others are cheaper.
func poolWithBusyEndpoint(busy string) *Pool {
	p := NewPool(Config{Policy: NewPromptAware()})
	for i, e := range newEndpoints(9) {
		work := Work{Prompt: longRequest(uint64(50 + i)).Prompt}
		if e.Name == busy {
			work.Prompt = unsharedRequest(900).Prompt
			for range 20 {
				p.Track(epoch, e.Name, work)
			}
			continue
		}
		a := p.Track(epoch, e.Name, work)
		a.Release()
		p.Done(epoch, e.Name, ResultOK, 0)
	}
	return p
}

// unsharedRequest returns a request with a long prompt whose beginning is unique.
func unsharedRequest(key uint64) Request {
	r := longRequest(key)
	r.Prompt.Parts[0].ID = key + 5000
	return r
}

// preferredFor returns the preferred endpoint of a prompt key.
func preferredFor(key uint64, all []*bundle.Endpoint) string {
	name, _ := chooseAndSend(NewPool(Config{Policy: NewPromptAware()}), epoch, longRequest(key), all)
	return name
}

func TestCacheIsFetchedFromThePreferredEndpoint(t *testing.T) {
	for key := uint64(10); key < 30; key++ {
		g := NewWithT(t)
		preferred := preferredFor(key, newEndpoints(9))
		c, err := poolWithBusyEndpoint(preferred).ChooseWithEstimates(epoch.Add(time.Millisecond), longRequest(key), newEndpoints(9), nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(c.Endpoint.Name).NotTo(Equal(preferred))
		g.Expect(c.FetchFrom).NotTo(BeNil())
		g.Expect(c.FetchFrom.Name).To(Equal(preferred))
	}
}

func TestCacheIsNotFetchedFromEndpointsDedicatedToOtherKinds(t *testing.T) {
	g := NewWithT(t)
	all := newEndpoints(12)
	p := NewPool(Config{Policy: NewPromptAware()})
	_, tightAt := simulateTraffic(p, all, 6, 20, 20)
	g.Expect(tightAt).NotTo(BeEmpty())
	now := epoch.Add(6 * time.Second)
	for key := uint64(2000); key < 2100; key++ {
		c, err := p.ChooseWithEstimates(now, unsharedRequest(key), all, nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(c.FetchFrom).NotTo(BeNil())
		g.Expect(tightAt).NotTo(HaveKey(c.FetchFrom.Name))
	}
}
