package route

import (
	"cmp"
	"slices"
)

// maxRanks is how many ranks endpoints tell apart at the least.
const maxRanks = 10

// standing is what a request's rank follows from: its tier, and among those of one
// tier that of its route.
type standing struct{ tier, own int }

// ranksOf numbers the standings that requests may have by a configuration, the highest
// first; nil if there are more than endpoints tell apart, or no two of a tier.
func ranksOf(c Config) map[standing]int {
	seen := make(map[standing]bool)
	tiers := make(map[int]bool)
	for _, team := range c.Teams {
		if team.Tier != nil {
			tiers[max(0, *team.Tier)] = true
		}
	}
	for i := range c.Routes {
		own := c.Routes[i].Tier
		seen[standing{own, own}] = true
		for tier := range tiers {
			seen[standing{tier, own}] = true
		}
		if len(seen) > maxRanks {
			return nil
		}
	}
	if len(seen) == distinctTiers(seen) {
		return nil // tiers alone tell all apart
	}
	var order []standing
	for s := range seen {
		order = append(order, s)
	}
	slices.SortFunc(order, func(a, b standing) int {
		return cmp.Or(cmp.Compare(a.tier, b.tier), cmp.Compare(a.own, b.own))
	})
	ranks := make(map[standing]int, len(order))
	for rank, s := range order {
		ranks[s] = rank
	}
	return ranks
}

func distinctTiers(of map[standing]bool) int {
	tiers := make(map[int]bool)
	for s := range of {
		tiers[s.tier] = true
	}
	return len(tiers)
}

// Rank is the rank by which endpoints admit a request of a tier on a route of a tier of
// its own, 0 the highest. The request's tier goes first; a team's may be the same for
// requests of all routes, and the more urgent ones then go before the others. Where
// endpoints can't tell all of these apart, it is the tier.
func (t *Table) Rank(tier, own int) int {
	if rank, ok := t.ranks[standing{tier, own}]; ok {
		return rank
	}
	return tier
}
