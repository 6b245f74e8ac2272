package balance

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// attempt records an attempt with the given result.
func attempt(p *Pool, now time.Time, endpoint string, res Result) {
	p.Sent(now, endpoint)
	p.Done(now, endpoint, res, 0)
}

// isAvoided reports whether the i-th endpoint is avoided.
func isAvoided(p *Pool, now time.Time, i int) bool { return viewOf(p, now, i).Weight == 0 }

func TestEndpointFailingAtSeveralRoutersIsAvoided(t *testing.T) {
	g := NewWithT(t)
	p := NewPool(Config{})
	viewOf(p, epoch, 8)
	for i := range 8 {
		attempt(p, epoch, newEndpoints(9)[i].Name, ResultOK)
	}
	attempt(p, epoch, "e8", ResultFailed)
	g.Expect(isAvoided(p, epoch, 8)).To(BeFalse())
	avoided := p.ApplyPeerFailures(epoch, []FailureSummary{{Endpoint: "e8", Attempts: 3, Failed: 3, Reporters: 2}})
	g.Expect(avoided).To(Equal([]FailureSummary{{Endpoint: "e8", Attempts: 4, Failed: 4, Reporters: 3}}))
	g.Expect(isAvoided(p, epoch, 8)).To(BeTrue())
	// A good health check brings it back in the membership only.
	p.Return(epoch.Add(time.Second), "e8")
	g.Expect(isAvoided(p, epoch.Add(time.Second), 8)).To(BeTrue())
	g.Expect(isAvoided(p, epoch.Add(avoidFor), 8)).To(BeFalse())
}

func TestEndpointFailingAtOneRouterIsNotAvoided(t *testing.T) {
	g := NewWithT(t)
	p := NewPool(Config{})
	viewOf(p, epoch, 8)
	reports := []FailureSummary{{Endpoint: "e8", Attempts: 40, Failed: 40, Reporters: 1}}
	g.Expect(p.ApplyPeerFailures(epoch, reports)).To(BeEmpty())
	// This router's own successes outweigh the failures of two others.
	for range 10 {
		attempt(p, epoch, "e7", ResultOK)
	}
	reports = []FailureSummary{{Endpoint: "e7", Attempts: 3, Failed: 3, Reporters: 2}}
	g.Expect(p.ApplyPeerFailures(epoch, reports)).To(BeEmpty())
}

func TestNoEndpointIsAvoidedIfAllFailAlike(t *testing.T) {
	g := NewWithT(t)
	p := NewPool(Config{})
	viewOf(p, epoch, 8)
	var reports []FailureSummary
	for _, e := range newEndpoints(9) {
		reports = append(reports, FailureSummary{Endpoint: e.Name, Attempts: 10, Failed: 4, Reporters: 4})
	}
	g.Expect(p.ApplyPeerFailures(epoch, reports)).To(BeEmpty())
}

func TestOccasionalFailuresAreTolerated(t *testing.T) {
	g := NewWithT(t)
	p := NewPool(Config{})
	viewOf(p, epoch, 2)
	reports := []FailureSummary{
		{Endpoint: "e0", Attempts: 10, Failed: 4, Reporters: 3}, // one in seven fails anyway
		{Endpoint: "e1", Attempts: 30, Failed: 4, Reporters: 4},
		{Endpoint: "e2", Attempts: 30, Failed: 4, Reporters: 4},
	}
	g.Expect(p.ApplyPeerFailures(epoch, reports)).To(BeEmpty())
	reports[0].Failed = 9
	g.Expect(p.ApplyPeerFailures(epoch, reports)).To(HaveLen(1))
}

func TestAvoidedShareIsLimited(t *testing.T) {
	g := NewWithT(t)
	p := NewPool(Config{})
	viewOf(p, epoch, 8)
	var reports []FailureSummary
	for _, e := range newEndpoints(9)[:4] {
		reports = append(reports, FailureSummary{Endpoint: e.Name, Attempts: 10, Failed: 10, Reporters: 4})
	}
	for _, e := range newEndpoints(9)[4:] {
		reports = append(reports, FailureSummary{Endpoint: e.Name, Attempts: 50, Failed: 1, Reporters: 1})
	}
	g.Expect(p.ApplyPeerFailures(epoch, reports)).To(HaveLen(3))
	g.Expect(p.ApplyPeerFailures(epoch, reports)).To(BeEmpty())
}

func TestOnlyRecentFailuresAreReported(t *testing.T) {
	g := NewWithT(t)
	p := NewPool(Config{})
	viewOf(p, epoch, 1)
	attempt(p, epoch, "e0", ResultOK)
	attempt(p, epoch, "e0", ResultFailed)
	attempt(p, epoch, "e1", ResultOK)
	attempt(p, epoch, "e1", ResultCancelled)
	g.Expect(p.RecentFailures(epoch, 9)).To(Equal([]FailureSummary{{Endpoint: "e0", Attempts: 2, Failed: 1, Reporters: 1}}))
	g.Expect(p.RecentFailures(epoch.Add(failureWindow+time.Second), 9)).To(BeEmpty())
}

func TestEndpointWithGoodHealthChecksAndFailingRequestsIsEjected(t *testing.T) {
	g := NewWithT(t)
	p := NewPool(Config{})
	viewOf(p, epoch, 8)
	now := epoch
	for range 4 {
		for range 2 {
			attempt(p, now, "e8", ResultFailed)
		}
		now = now.Add(time.Second)
		p.Return(now, "e8") // after a good health check
	}
	g.Expect(isAvoided(p, now, 8)).To(BeTrue())
}

// Guards against unresponsive endpoints and those that asked for backoff being pushed out of the
// bounded report by endpoints whose refusals contradict their load or at which attempts failed.
func TestUnresponsiveAndBackingOffEndpointsStayInTheBoundedReport(t *testing.T) {
	g := NewWithT(t)
	p := NewPool(Config{Policy: NewPromptAware()})
	viewOf(p, epoch, 8)
	now := epoch
	for i := range 6 {
		now = contradict(p, newEndpoints(6)[i].Name, epoch)
		attempt(p, now, newEndpoints(6)[i].Name, ResultFailed)
	}
	p.askForBackoff(now, "e8", time.Minute)
	sh := p.shard("e7")
	sh.states["e7"].foundUnresponsiveAt = now
	reports := p.RecentFailures(now, 3)
	g.Expect(reports).To(HaveLen(3))
	g.Expect(reports[0].Endpoint).To(Equal("e7"))
	g.Expect(reports[1].Endpoint).To(Equal("e8"))
	g.Expect(reports[2].Contradicted).To(BeNumerically(">", 0))
}

func TestLostAnswersAreKnownForAWhileAtAllRouters(t *testing.T) {
	g := NewWithT(t)
	p, peer := NewPool(Config{}), NewPool(Config{})
	viewOf(p, epoch, 0)
	viewOf(peer, epoch, 0)
	attempt(p, epoch, "e0", ResultFailed)
	g.Expect(p.LosesAnswers(epoch, "e0")).To(BeFalse(), "the answer broke off")
	p.RecordLostAnswer(epoch, "e0")
	g.Expect(p.LosesAnswers(epoch, "e0")).To(BeTrue())
	g.Expect(peer.LosesAnswers(epoch, "e0")).To(BeFalse())
	peer.ApplyPeerFailures(epoch, p.RecentFailures(epoch, 9))
	g.Expect(peer.LosesAnswers(epoch, "e0")).To(BeTrue())
	later := epoch.Add(failureWindow + time.Millisecond)
	g.Expect(p.LosesAnswers(later, "e0")).To(BeFalse())
	g.Expect(peer.LosesAnswers(later, "e0")).To(BeFalse())
	peer.Restart(later, "e0")
	peer.ApplyPeerFailures(later, []FailureSummary{{Endpoint: "e0", LosingAnswers: 1}})
	g.Expect(peer.LosesAnswers(later, "e0")).To(BeFalse(), "it may be about the process before")
}

func TestManyEndpointsLoseAnswersOnlyWhileTheyServe(t *testing.T) {
	g := NewWithT(t)
	p := NewPool(Config{})
	endpoints := newEndpoints(30)
	g.Expect(p.ManyLoseAnswers(epoch, endpoints)).To(BeFalse())
	for i, many := range []bool{false, false, true} {
		p.RecordLostAnswer(epoch, endpoints[i].Name)
		g.Expect(p.ManyLoseAnswers(epoch, endpoints)).To(Equal(many), "%d of 30", i+1)
		g.Expect(p.ManyLoseAnswers(epoch, endpoints[:3])).To(Equal(i > 0), "%d of 3", i+1)
	}
	g.Expect(p.ManyLoseAnswers(epoch.Add(failureWindow+1), endpoints)).To(BeFalse())
	p.SetSuspect(endpoints[0].Name, true)
	p.SetLeaving(endpoints[1].Name, true)
	g.Expect(p.ManyLoseAnswers(epoch, endpoints)).To(BeFalse(), "two have crashed or leave")
}

func TestPartsOfAnyResponseShowThatAnEndpointRuns(t *testing.T) {
	g := NewWithT(t)
	p := NewPool(Config{})
	g.Expect(p.RespondedSince(epoch, "e0")).To(BeFalse())
	account := p.Track(epoch, "e0", Work{})
	g.Expect(p.RespondedSince(epoch, "e0")).To(BeFalse(), "it was only sent")
	account.DataReceived(epoch.Add(time.Second))
	g.Expect(p.RespondedSince(epoch, "e0")).To(BeTrue())
	g.Expect(p.RespondedSince(epoch.Add(time.Second), "e0")).To(BeFalse())
	g.Expect(p.RespondedSince(epoch, "e1")).To(BeFalse())
}
