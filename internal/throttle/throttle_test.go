package throttle

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"coveferry/internal/load"
	"coveferry/internal/throttle/window"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func addCounts(t *Throttle, tier, requests, accepted int) {
	t.tiers.Add(epoch, tier, window.Counts{Total: requests, Part: accepted})
}

func TestRefusesTheLowestTierFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	th := New(Config{AcceptMultiplier: 1.5})
	addCounts(th, 0, 100, 100)
	addCounts(th, 1, 100, 40)
	addCounts(th, 2, 100, 0)
	// The excess is 300 - 1.5*140 = 90 requests, all of which tier 2 covers.
	g.Expect(th.RefusalProbability(epoch, 2)).To(gomega.BeNumerically("~", 90.0/101, 1e-9))
	g.Expect(th.RefusalProbability(epoch, 1)).To(gomega.BeZero())
	g.Expect(th.RefusalProbability(epoch, 0)).To(gomega.BeZero())
	g.Expect(th.Allow(epoch, 2, 0.5)).To(gomega.BeFalse())
	g.Expect(th.Allow(epoch, 2, 0.95)).To(gomega.BeTrue())
}

func TestRefusalsExpireWithTheWindow(t *testing.T) {
	g := gomega.NewWithT(t)
	th := New(Config{})
	for range 100 {
		th.Refused(epoch, 0)
	}
	g.Expect(th.RefusalProbability(epoch, 0)).To(gomega.BeNumerically(">", 0.9))
	g.Expect(th.RefusalProbability(epoch.Add(defaultWindow), 0)).To(gomega.BeZero())
}

func TestTierIsRefusedOnlyIfLowerTiersAre(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var counts [load.MaxTiers]window.Counts
		for i := range counts {
			counts[i].Total = rapid.IntRange(0, 500).Draw(t, "requests")
			counts[i].Part = rapid.IntRange(0, counts[i].Total).Draw(t, "accepted")
		}
		cfg := Config{AcceptMultiplier: rapid.Float64Range(1, 3).Draw(t, "accept multiplier"), MinRequests: 1}
		for tier := range load.MaxTiers - 1 {
			lower := refusalProbability(counts, tier+1, cfg)
			sent := (1 - lower) * float64(counts[tier+1].Total)
			if refusalProbability(counts, tier, cfg) > 0 && sent > 1 {
				t.Fatalf("tier %d is refused while %.1f requests of tier %d are sent", tier, sent, tier+1)
			}
		}
	})
}
