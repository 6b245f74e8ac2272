package route_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"coveferry/internal/route"
)

func ranked(t *testing.T, teamTiers []int, routeTiers ...int) *route.Table {
	c := route.Config{Services: []route.Service{{Name: "s"}}, Teams: map[string]*route.Team{}}
	for i, tier := range teamTiers {
		c.Teams[fmt.Sprint("key", i)] = &route.Team{Tier: &tier}
	}
	for i, tier := range routeTiers {
		r := to(fmt.Sprint(i), "h", fmt.Sprintf("/%d/", i))
		r.Tier = tier
		c.Routes = append(c.Routes, r)
	}
	tab, err := route.NewTable(c)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return tab
}

func TestTheTierOfATeamGoesFirstAndThenThatOfTheRoute(t *testing.T) {
	g := NewWithT(t)
	tab := ranked(t, []int{0, 1}, 0, 1, 2)
	order := [][2]int{{0, 0}, {0, 1}, {0, 2}, {1, 0}, {1, 1}, {1, 2}, {2, 2}}
	for rank, s := range order {
		g.Expect(tab.Rank(s[0], s[1])).To(Equal(rank), "%v", s)
	}
}

func TestTiersGoBeforeRanksThatEndpointsCannotTellApart(t *testing.T) {
	g := NewWithT(t)
	tab := ranked(t, []int{0, 1, 2, 3, 4, 5, 6}, 0, 3)
	for tier := range 7 {
		g.Expect(tab.Rank(tier, 0)).To(Equal(tier))
		g.Expect(tab.Rank(tier, 3)).To(Equal(tier))
	}
}

func TestATierThatNoConfigurationNamesIsItsOwnRank(t *testing.T) {
	NewWithT(t).Expect(ranked(t, nil, 0).Rank(7, 0)).To(Equal(7))
}
