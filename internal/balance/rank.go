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
// alternating between failure domains, so that the loss of one leaves the others. Slow endpoints
// come last.
func rankForTightGap(views []View, usable []int) []int {
	order := make([]rankedView, len(usable))
	for n, i := range usable {
		order[n] = rankedView{view: i, hash: rendezvous(tightGapKey, views[i].Endpoint), slow: views[i].slow()}
	}
	slices.SortFunc(order, func(a, b rankedView) int { return cmp.Compare(b.hash, a.hash) })
	orderWithinDomains(views, order)
	slices.SortStableFunc(order, func(a, b rankedView) int { return cmp.Compare(a.domainOrder, b.domainOrder) })
	slices.SortStableFunc(order, compareSlow)
	ranked := make([]int, len(order))
	for n := range order {
		ranked[n] = order[n].view
	}
	return ranked
}

// orderWithinDomains sets the position of each view among those of its failure domain that are
// slow, or aren't.
func orderWithinDomains(views []View, order []rankedView) {
	type domainPart struct {
		domain string
		slow   bool
	}
	members := make(map[domainPart]int)
	for n := range order {
		part := domainPart{views[order[n].view].FailureDomain, order[n].slow}
		order[n].domainOrder = members[part]
		members[part]++
	}
}

// compareSlow puts slow endpoints last.
func compareSlow(a, b rankedView) int {
	switch {
	case a.slow == b.slow:
		return 0
	case b.slow:
		return -1
	}
	return 1
}

// rankedView is a view in that order: sorted by slow, its position among those of its failure domain
// with the same slow, and its hash.
type rankedView struct {
	view        int
	hash        uint64
	domainOrder int
	slow        bool // slower than usual
}
