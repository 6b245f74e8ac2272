package balance

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// rendezvous ranks an endpoint for a key, by highest random weight hashing.
func rendezvous(key uint64, endpoint string) uint64 {
	return mix(key ^ xxhash.Sum64String(endpoint))
}

// tightKey orders the endpoints by which those for tight streams are taken; any
// constant does, as long as all routers have the same.
const tightKey = 0x7469676874

// rankForTight orders endpoints for tight streams: the same at all routers, and
// spread over failure domains, so that the loss of one leaves the others.
func rankForTight(views []View, usable []int) []int {
	order := make([]place, len(usable))
	for n, i := range usable {
		order[n] = place{view: i, rank: rendezvous(tightKey, views[i].Endpoint)}
	}
	slices.SortFunc(order, func(a, b place) int { return cmp.Compare(b.rank, a.rank) })
	seen := make(map[string]int)
	for n := range order {
		domain := views[order[n].view].FailureDomain
		order[n].turn = seen[domain]
		seen[domain]++
	}
	slices.SortStableFunc(order, func(a, b place) int { return cmp.Compare(a.turn, b.turn) })
	ranked := make([]int, len(order))
	for n := range order {
		ranked[n] = order[n].view
	}
	return ranked
}

// place is a view's in the order for tight streams: by its turn among those of its
// failure domain, and then by its rank.
type place struct {
	view int
	rank uint64
	turn int
}
