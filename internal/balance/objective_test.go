package balance

// These tests guard against waiting time being weighted without regard to the objective. Long
// prompts with an objective of two seconds left their preferred endpoints for waits of some
// tenths of a second, and a fifth of the parts they shared with others was prefilled again
// elsewhere, which delayed all requests. With the weight, on the heaviest day of a deployment
// with such prompts, 4.4 million tokens of shared parts were prefilled again, 6.1 million before.

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// leavesPreferred reports whether a long prompt with an objective is sent elsewhere while its
// preferred endpoint has the given number of tokens to prefill.
func leavesPreferred(pendingTokens int, objective time.Duration) bool {
	p := NewPool(Config{Policy: NewPromptAware(), Seed: 1})
	all := newEndpoints(4)
	req := longRequest(300)
	req.Objective = objective
	now := epoch.Add(coldStartPeriod)
	preferred, a := chooseAndSend(p, now, req, all)
	a.Release()
	before := longRequest(400)
	before.Prompt.Tokens = pendingTokens
	p.Track(now, preferred, Work{Prompt: before.Prompt})
	to, _ := chooseAndSend(p, now.Add(time.Millisecond), req, all)
	return to != preferred
}

func TestWaitIsWeightedByTheObjective(t *testing.T) {
	g := NewWithT(t)
	const tokens = 30_000 // 0.6 s of prefill
	g.Expect(leavesPreferred(tokens, 400*time.Millisecond)).To(BeTrue())
	g.Expect(leavesPreferred(tokens, 2*time.Second)).To(BeFalse(), "starts in time anyway")
	g.Expect(leavesPreferred(8*tokens, 2*time.Second)).To(BeTrue(), "would start too late")
	g.Expect(leavesPreferred(tokens, 0)).To(BeTrue(), "without an objective")
}

func TestWaitCountsInFullForShortObjectives(t *testing.T) {
	g := NewWithT(t)
	for _, objective := range []time.Duration{0, 100 * time.Millisecond, shortObjective} {
		g.Expect(waitWeight(objective)).To(Equal(1.0), objective.String())
	}
	g.Expect(waitWeight(4 * shortObjective)).To(Equal(0.25))
}
