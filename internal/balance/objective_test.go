package balance

// The story: in bursts long prompts whose answers may begin after two seconds left their homes
// for waits of some tenths of one, and what they share with others was read again elsewhere, a
// fifth of it: that took the engines' time from all.
// The cause: a wait counted in milliseconds, whatever it was to its caller.
// The evidence: these tests; on the heaviest day of a deployment with such prompts 4.4 million
// tokens of shared parts were read again, 6.1 million before.

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// leavesHome says whether a long prompt with an objective leaves its home, where so many
// tokens are unread.
func leavesHome(unread int, objective time.Duration) bool {
	p := NewPool(Config{Policy: NewPromptAware(), Seed: 1})
	all := engines(4)
	req := long(300)
	req.Objective = objective
	now := epoch.Add(coldFor)
	home, a := send(p, now, req, all)
	a.Ended()
	before := long(400)
	before.Prompt.Tokens = unread
	p.SentWork(now, home, Work{Prompt: before.Prompt})
	to, _ := send(p, now.Add(time.Millisecond), req, all)
	return to != home
}

func TestAWaitCountsByTheObjective(t *testing.T) {
	g := NewWithT(t)
	const tokens = 30_000 // .6 s to read
	g.Expect(leavesHome(tokens, 400*time.Millisecond)).To(BeTrue())
	g.Expect(leavesHome(tokens, 2*time.Second)).To(BeFalse(), "it begins in time all the same")
	g.Expect(leavesHome(8*tokens, 2*time.Second)).To(BeTrue(), "it would begin too late")
	g.Expect(leavesHome(tokens, 0)).To(BeTrue(), "nothing is known of how long it may wait")
}

func TestWaitsWithinAShortObjectiveCountWhole(t *testing.T) {
	g := NewWithT(t)
	for _, objective := range []time.Duration{0, 100 * time.Millisecond, shortObjective} {
		g.Expect(waitWeight(objective)).To(Equal(1.0), objective.String())
	}
	g.Expect(waitWeight(4 * shortObjective)).To(Equal(0.25))
}
