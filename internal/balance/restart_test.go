package balance

// An endpoint may restart under the same name: its caches are empty, and the state of the previous
// process no longer applies. Since the list entry hadn't changed, routers took it for the same
// process: prompts were sent for lost caches, requests that had ended with the crash counted as
// running, and the crash counted against the new process. A pool that doesn't handle restarts keeps
// all the state listed in the first test.

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/prompt"
)

func longPrompt() prompt.Prompt {
	return prompt.Prompt{Tokens: 3000, Parts: []prompt.Part{{ID: 1, Tokens: 2000}, {ID: 2, Tokens: 1000}}}
}

func TestRestartClearsAllState(t *testing.T) {
	g := NewWithT(t)
	p := NewPool(Config{})
	viewOf(p, epoch, 1)
	account := p.Track(epoch, "e0", Work{Prompt: longPrompt(), TightGap: true})
	p.Report(epoch, "e0", loadReport(60, 12))
	p.SetLeaving("e0", true)
	p.Restart(epoch, "e0")
	v := viewOf(p, epoch, 0)
	g.Expect(v).To(Equal(func() View {
		fresh := NewPool(Config{})
		return viewOf(fresh, epoch, 0)
	}()))
	c, err := p.ChooseWithEstimates(epoch, Request{Prompt: longPrompt()}, newEndpoints(1), nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.Endpoint.Name).To(Equal("e0"), "it no longer leaves")

	// Late results of the first request belong to the previous process.
	account.DataReceived(epoch)
	account.Release()
	account.Done(epoch.Add(time.Second), ResultFailed)
	p.Track(epoch, "e0", Work{Prompt: longPrompt(), TightGap: true})
	v = viewOf(p, epoch, 0)
	g.Expect([]int{v.Inflight, v.TightGapStreams, v.PendingPrefill[0]}).To(Equal([]int{1, 1, 3000}))
	g.Expect(p.RecentFailures(epoch.Add(time.Second), 9)).To(BeEmpty())
}

func TestPeerReportsOfPreviousProcessAreIgnored(t *testing.T) {
	g := NewWithT(t)
	p := NewPool(Config{})
	viewOf(p, epoch, 8)
	now := epoch.Add(time.Minute)
	p.Restart(now, "e8")
	p.ApplyPeerLoads(now.Add(time.Second), []LoadSummary{{Endpoint: "e8", Running: 60, AgeMillis: 1100}})
	g.Expect(viewOf(p, now, 8).Load.TotalRunning()).To(BeZero())
	p.ApplyPeerLoads(now.Add(time.Second), []LoadSummary{{Endpoint: "e8", Running: 5, AgeMillis: 100}})
	g.Expect(viewOf(p, now, 8).Load.TotalRunning()).To(Equal(5))

	viewOf(p, now, 8)
	failures := []FailureSummary{{Endpoint: "e8", Attempts: 9, Failed: 9, Reporters: 3}}
	g.Expect(p.ApplyPeerFailures(now.Add(time.Second), failures)).To(BeEmpty())
	g.Expect(p.ApplyPeerFailures(now.Add(2*restartGracePeriod), failures)).To(HaveLen(1))
}
