package balance

// An endpoint may restart under the same name: its caches are empty, and the state of the previous
// process no longer applies. Since the list entry hadn't changed, routers took it for the same
// process: prompts were sent for lost caches, requests that had ended with the crash counted as
// running, and the crash counted against the new process. Before the pool could handle restarts,
// all the state listed in the first test was kept.

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
	account := p.SentWork(epoch, "e0", Work{Prompt: longPrompt(), Tight: true})
	p.Report(epoch, "e0", loadReport(60, 12))
	p.SetLeaving("e0", true)
	p.Restart(epoch, "e0")
	v := viewOf(p, epoch, 0)
	g.Expect(v).To(Equal(func() View {
		fresh := NewPool(Config{})
		return viewOf(fresh, epoch, 0)
	}()))
	c, err := p.ChooseExpecting(epoch, Request{Prompt: longPrompt()}, engines(1), nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.Endpoint.Name).To(Equal("e0"), "it no longer leaves")

	// Late results of the first request belong to the previous process.
	account.Heard(epoch)
	account.Ended()
	account.Done(epoch.Add(time.Second), ResultFailed)
	p.SentWork(epoch, "e0", Work{Prompt: longPrompt(), Tight: true})
	v = viewOf(p, epoch, 0)
	g.Expect([]int{v.Inflight, v.Tight, v.Prefill[0]}).To(Equal([]int{1, 1, 3000}))
	g.Expect(p.FailureWords(epoch.Add(time.Second), 9)).To(BeEmpty())
}

func TestPeerReportsOfPreviousProcessAreIgnored(t *testing.T) {
	g := NewWithT(t)
	p := NewPool(Config{})
	viewOf(p, epoch, 8)
	now := epoch.Add(time.Minute)
	p.Restart(now, "e8")
	p.HearLoads(now.Add(time.Second), []LoadWord{{Endpoint: "e8", Running: 60, AgeMillis: 1100}})
	g.Expect(viewOf(p, now, 8).Load.TotalRunning()).To(BeZero())
	p.HearLoads(now.Add(time.Second), []LoadWord{{Endpoint: "e8", Running: 5, AgeMillis: 100}})
	g.Expect(viewOf(p, now, 8).Load.TotalRunning()).To(Equal(5))

	viewOf(p, now, 8)
	failures := []FailureWord{{Endpoint: "e8", Attempts: 9, Failed: 9, Witnesses: 3}}
	g.Expect(p.HearFailures(now.Add(time.Second), failures)).To(BeEmpty())
	g.Expect(p.HearFailures(now.Add(2*restartGracePeriod), failures)).To(HaveLen(1))
}
