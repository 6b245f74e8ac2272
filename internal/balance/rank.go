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
	ranked := slices.Clone(usable)
	slices.SortFunc(ranked, func(a, b int) int {
		return cmp.Compare(rendezvous(tightKey, views[b].Endpoint), rendezvous(tightKey, views[a].Endpoint))
	})
	seen := make(map[string]int)
	turn := make(map[int]int, len(ranked))
	for _, i := range ranked {
		turn[i] = seen[views[i].FailureDomain]
		seen[views[i].FailureDomain]++
	}
	slices.SortStableFunc(ranked, func(a, b int) int { return cmp.Compare(turn[a], turn[b]) })
	return ranked
}
