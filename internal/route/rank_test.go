package route_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"coveferry/internal/route"
)

func tableWithTiers(t *testing.T, teamTiers []int, routeTiers ...int) *route.Table {
	c := route.Config{Services: []route.Service{{Name: "s"}}, Teams: map[string]*route.Team{}}
	for i, tier := range teamTiers {
		c.Teams[fmt.Sprint("key", i)] = &route.Team{Tier: &tier}
	}
	for i, tier := range routeTiers {
		r := newRoute(fmt.Sprint(i), "h", fmt.Sprintf("/%d/", i))
		r.Tier = tier
		c.Routes = append(c.Routes, r)
	}
	tab, err := route.NewTable(c)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return tab
}

// Guards against preempting streams that tolerate hardly any pause in favor of long prompts of
// teams with a higher tier: 11 to 78 streams in each of four 20 s overloads. The operators'
// rule on preemption is by kind of request.
func TestRouteTierRanksBeforeTeamTier(t *testing.T) {
	g := NewWithT(t)
	tab := tableWithTiers(t, []int{0, 1}, 0, 1, 2)
	order := [][2]int{{0, 0}, {1, 0}, {0, 1}, {1, 1}, {0, 2}, {1, 2}, {2, 2}}
	for rank, pair := range order {
		g.Expect(tab.Rank(pair[0], pair[1])).To(Equal(rank), "%v", pair)
	}
}

func TestAdjacentTiersShareRanksBeyondMaxRanks(t *testing.T) {
	g := NewWithT(t)
	tab := tableWithTiers(t, []int{0, 1, 2, 3, 4, 5, 6}, 0, 3)
	last := 0
	for _, routeTier := range []int{0, 3} {
		for tier := range 7 {
			rank := tab.Rank(tier, routeTier)
			g.Expect(rank).To(And(BeNumerically(">=", last), BeNumerically("<=", last+1), BeNumerically("<", 10)))
			last = rank
		}
	}
	g.Expect(tab.Rank(0, 3)).To(BeNumerically(">", tab.Rank(6, 0)))
	g.Expect(last).To(Equal(9))
}

func TestRankIsRouteTierWithoutTeamTiers(t *testing.T) {
	g := NewWithT(t)
	tab := tableWithTiers(t, nil, 0, 4)
	g.Expect(tab.Rank(4, 4)).To(Equal(4))
	g.Expect(tab.Rank(0, 0)).To(Equal(0))
}

func TestUnconfiguredTierIsItsOwnRank(t *testing.T) {
	NewWithT(t).Expect(tableWithTiers(t, nil, 0).Rank(7, 0)).To(Equal(7))
}
