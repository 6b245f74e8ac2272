package balance

// In a long overload of a plain service a request was sent to six endpoints within .35 s, four of
// which refused it as full: each router kept retrying though it had just learned from all of them
// that they had no room.

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func refuseRequest(p *Pool, now time.Time, endpoint string) {
	a := p.Track(now, endpoint, Work{})
	p.Report(now, endpoint, loadReport(6, 24))
	a.Refused(now)
	a.Release()
	a.Done(now, ResultRefused)
}

func TestRetryIsNotSentToFullEndpoints(t *testing.T) {
	g := NewWithT(t)
	p := NewPool(Config{Policy: NewPromptAware()})
	all := newEndpoints(3)
	again := Request{Service: "plain", Retry: true}
	tried := func(e string) bool { return e == "e0" }
	refuseRequest(p, epoch, "e0")
	refuseRequest(p, epoch, "e1")
	now := epoch.Add(10 * time.Millisecond)
	c, err := p.ChooseWithEstimates(now, again, all, tried)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.Endpoint.Name).To(Equal("e2"), "it may have room")
	refuseRequest(p, now, "e2")
	_, err = p.ChooseWithEstimates(now, again, all, tried)
	g.Expect(err).To(HaveOccurred(), "all have refused as full")
	// A first attempt is sent to an endpoint even so.
	_, err = p.ChooseWithEstimates(now, Request{Service: "plain"}, all, nil)
	g.Expect(err).NotTo(HaveOccurred())
	// A report of free room counts at once, and a refusal expires.
	p.ApplyPeerLoads(now.Add(20*time.Millisecond), []LoadSummary{{Endpoint: "e1", Running: 6, Queued: 20}})
	c, err = p.ChooseWithEstimates(now.Add(30*time.Millisecond), again, all, tried)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.Endpoint.Name).To(Equal("e1"))
	_, err = p.ChooseWithEstimates(now.Add(2*fullRetention), again, all, tried)
	g.Expect(err).NotTo(HaveOccurred())
}
