package arrivals_test

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"coveferry/internal/bench/arrivals"
)

var shape = arrivals.Shape{
	Engines: 10, Slots: 8,
	TokenTime: 16 * time.Millisecond, BatchSlope: 500 * time.Microsecond,
	PrefillPerToken: 20 * time.Microsecond,
}

func plan(t *testing.T, mix string, seed uint64, load arrivals.Load) arrivals.Plan {
	m, err := arrivals.MixByName(mix)
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	return arrivals.Plan{Seed: seed, Mix: m, Duration: 60 * time.Second, Shape: shape, Load: load}
}

func TestSameSeedSameArrivals(t *testing.T) {
	both := plan(t, arrivals.MixBoth, 0, arrivals.Load{Total: 0.6})
	rapid.Check(t, func(t *rapid.T) {
		p := both
		p.Duration = time.Second
		p.Seed = rapid.Uint64().Draw(t, "seed")
		g := gomega.NewWithT(t)
		list := arrivals.Generate(p)
		g.Expect(arrivals.Generate(p)).To(gomega.Equal(list))
		p.Seed++
		g.Expect(arrivals.Generate(p)).NotTo(gomega.Equal(list))
	})
}

// The offered work must be within 5% of the stated multiple of capacity; its mean
// over four one-minute runs varies by about 1%.
func TestOfferedWorkMatchesTheLoad(t *testing.T) {
	for _, mix := range []string{arrivals.MixRegistry, arrivals.MixFleet, arrivals.MixBoth} {
		g := gomega.NewWithT(t)
		const seeds = 4
		offered := 0.0
		for seed := range uint64(seeds) {
			p := plan(t, mix, seed, arrivals.Load{Total: 2})
			offered += shape.Load(arrivals.Generate(p), p.Duration) / seeds
		}
		g.Expect(offered).To(gomega.BeNumerically("~", 2, 0.1), mix)
	}
}

// The counts are deterministic, since the seed is fixed; a deviation of four
// standard deviations of a Poisson count is allowed.
func TestStepsAndTiersChangeTheRate(t *testing.T) {
	g := gomega.NewWithT(t)
	step := arrivals.Step{Role: arrivals.RoleMedium, From: 20 * time.Second, To: 25 * time.Second, Factor: 10}
	load := arrivals.Load{ByTier: [3]float64{1.2, 0.3, 0}, Steps: []arrivals.Step{step}}
	list := arrivals.Generate(plan(t, arrivals.MixRegistry, 7, load))
	var inside, outside float64
	tiers := make(map[string]float64)
	for _, a := range list {
		tiers[a.Tier]++
		if a.Class != "queries" {
			continue
		}
		if a.At >= step.From && a.At < step.To {
			inside++
		} else {
			outside++
		}
	}
	g.Expect(tiers[arrivals.TierBronze]).To(gomega.BeZero())
	silver := tiers[arrivals.TierSilver]
	g.Expect(silver).To(gomega.BeNumerically(">", 100))
	g.Expect(tiers[arrivals.TierGold]).To(gomega.BeNumerically("~", 4*silver, 4*4*math.Sqrt(silver)))
	expected := outside / 55 * 5 * 10
	g.Expect(inside).To(gomega.BeNumerically("~", expected, 4*math.Sqrt(expected)+4*50*math.Sqrt(outside)/55))
}

func TestArrivalsAreWellFormed(t *testing.T) {
	g := gomega.NewWithT(t)
	p := plan(t, arrivals.MixBoth, 3, arrivals.Load{Total: 1})
	teamTier := map[string]string{}
	for _, team := range p.Mix.Teams() {
		teamTier[team.Name] = team.Tier
	}
	g.Expect(teamTier).To(gomega.HaveLen(20))
	last := time.Duration(0)
	seen := map[string]bool{}
	for _, a := range arrivals.Generate(p) {
		g.Expect(a.At).To(gomega.And(gomega.BeNumerically(">=", last), gomega.BeNumerically("<", p.Duration)))
		last = a.At
		g.Expect(seen[a.ID]).To(gomega.BeFalse())
		seen[a.ID] = true
		g.Expect(a.Prompt).To(gomega.HaveSuffix(fmt.Sprintf("[[id=%s]] [[tokens=%d]]", a.ID, a.Tokens)))
		g.Expect(teamTier[a.Team]).To(gomega.Equal(a.Tier))
		g.Expect(a.Tokens).To(gomega.BeNumerically(">", 0))
	}
	g.Expect(seen).NotTo(gomega.BeEmpty())
}

// Two seconds of one engine's decode steps, shared by eight slots, and half a
// second of prefill in four seconds of two engines.
func TestLoadIsWorkDividedByCapacity(t *testing.T) {
	s := arrivals.Shape{Engines: 2, Slots: 8, TokenTime: 20 * time.Millisecond, PrefillPerToken: time.Millisecond}
	list := []arrivals.Arrival{{Tokens: 500, Prompt: strings.Repeat("x", 1200)}, {Tokens: 300, Prompt: strings.Repeat("x", 800)}}
	gomega.NewWithT(t).Expect(s.Load(list, 4*time.Second)).To(gomega.BeNumerically("~", 2.5/8, 1e-9))
}

func TestUnknownMix(t *testing.T) {
	_, err := arrivals.MixByName("nope")
	gomega.NewWithT(t).Expect(errors.Is(err, arrivals.ErrUnknownMix)).To(gomega.BeTrue())
}
