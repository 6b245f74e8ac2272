package balance

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// rendezvous returns the rendezvous hash (highest random weight) of a key and an endpoint.
func rendezvous(key uint64, endpoint string) uint64 {
	return mix(key ^ xxhash.Sum64String(endpoint))
}

// tightGapKey is the rendezvous key for the order in which endpoints are dedicated to tight-gap
// streams. Any constant works that is the same at all routers.
const tightGapKey = 0x7469676874

// rankForTightGap orders endpoints for tight-gap streams: the same at all routers, and
// alternating between failure domains, so that the loss of one leaves the others.
func rankForTightGap(views []View, usable []int) []int {
	order := make([]rankedView, len(usable))
	for n, i := range usable {
		order[n] = rankedView{view: i, hash: rendezvous(tightGapKey, views[i].Endpoint)}
	}
	slices.SortFunc(order, func(a, b rankedView) int { return cmp.Compare(b.hash, a.hash) })
	perDomain := make(map[string]int)
	for n := range order {
		domain := views[order[n].view].FailureDomain
		order[n].domainOrder = perDomain[domain]
		perDomain[domain]++
	}
	slices.SortStableFunc(order, func(a, b rankedView) int { return cmp.Compare(a.domainOrder, b.domainOrder) })
	ranked := make([]int, len(order))
	for n := range order {
		ranked[n] = order[n].view
	}
	return ranked
}

// rankedView is a view in that order: sorted by its position among those of its failure domain,
// and then by its hash.
type rankedView struct {
	view        int
	hash        uint64
	domainOrder int
}
