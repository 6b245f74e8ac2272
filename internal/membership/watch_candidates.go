package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"coveferry/internal/bundle"
	"coveferry/internal/control"
	"coveferry/internal/identity"
)

// watchCandidates distributes the other routers over lists of candidates. One router
// of each list is watched at a time, in the list's order, and no router is in two
// lists. The order is a rendezvous ranking by this router's name, so that each router
// is watched by about the same number of others, and adding or removing a router
// moves few watches.
func watchCandidates(self, domain string, routers []bundle.Router) [][]control.Target {
	var inside, outside []bundle.Router
	for _, r := range routers {
		switch {
		case r.Name == self:
		case r.FailureDomain == domain:
			inside = append(inside, r)
		default:
			outside = append(outside, r)
		}
	}
	return append(distribute(self, inside, watchesInDomain), distribute(self, outside, watchesOutsideDomain)...)
}

// distribute ranks routers and distributes them over at most n lists.
func distribute(self string, routers []bundle.Router, n int) [][]control.Target {
	rank := func(r bundle.Router) uint64 { return xxhash.Sum64String(self + "\x00" + r.Name) }
	slices.SortFunc(routers, func(a, b bundle.Router) int { return cmp.Compare(rank(a), rank(b)) })
	out := make([][]control.Target, min(n, len(routers)))
	for i, r := range routers {
		target := control.Target{
			Address: r.ControlAddress,
			Peer:    identity.Peer{Role: identity.RoleRouter, Name: r.Name},
		}
		out[i%len(out)] = append(out[i%len(out)], target)
	}
	return out
}
