package peers

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"coveferry/internal/streamversion"
)

const (
	// ownHolders is how many routers of each failure domain are told of its streams, one for each
	// stream, so that a call carries several streams.
	ownHolders = 8
	// extraHolders is how many more routers of the own failure domain are asked than told, since
	// routers may differ on who is there.
	extraHolders = 1
	// holdersPerStream is how many routers are told of a stream.
	holdersPerStream = 2
)

// holdersOf returns the routers that are told of a stream which self began: one of its own failure
// domain and one of the next, or two of whichever there is. Callers return to routers of their own
// failure domain as long as there are any.
func holdersOf(id streamversion.StreamID, self Member, all map[string][]Member) []Member {
	own := slices.DeleteFunc(slices.Clone(ownPool(self, all)), func(m Member) bool { return m.VM == self.VM })
	others := nextDomains(self, all)
	fromOwn, fromOthers := 1, 1
	switch {
	case len(own) == 0:
		fromOthers = holdersPerStream
	case len(others) == 0:
		fromOwn = holdersPerStream
	}
	holders := highest(id, own, fromOwn)
	for _, domain := range others[:min(fromOthers, len(others))] {
		holders = append(holders, highest(id, reachable(all[domain]), 1)...)
	}
	return holders
}

// ownHoldersOf returns the routers of self's failure domain that may have been told of a stream which
// another router began.
func ownHoldersOf(id streamversion.StreamID, self Member, all map[string][]Member) []Member {
	holders := highest(id, ownPool(self, all), 1+extraHolders)
	holders = append(holders, highest(id, reachable(all[self.FailureDomain]), 1)...)
	slices.SortFunc(holders, func(a, b Member) int { return cmp.Compare(a.VM, b.VM) })
	return slices.DeleteFunc(slices.Compact(holders), func(m Member) bool { return m.VM == self.VM })
}

// otherHoldersOf returns the routers of other failure domains that may have been told.
func otherHoldersOf(id streamversion.StreamID, self Member, all map[string][]Member) []Member {
	var holders []Member
	for _, domain := range nextDomains(self, all) {
		holders = append(holders, highest(id, reachable(all[domain]), 1)...)
	}
	return holders
}

// nextDomains returns the failure domains other than that of self by name, beginning with the next one.
func nextDomains(self Member, all map[string][]Member) []string {
	domains := slices.Sorted(maps.Keys(all))
	next, found := slices.BinarySearch(domains, self.FailureDomain)
	if found {
		domains = slices.Delete(domains, next, next+1)
	}
	return slices.Concat(domains[next:], domains[:next])
}

// ownPool returns the routers of self's failure domain that are told of its streams.
func ownPool(self Member, all map[string][]Member) []Member {
	own := all[self.FailureDomain]
	return own[:min(ownHolders, len(own))]
}

// reachable returns those routers of a failure domain, by rank, that routers of others know.
func reachable(domain []Member) []Member { return domain[:min(membersPerRemoteDomain, len(domain))] }

// highest returns the n routers with the highest rendezvous hash of stream and name.
func highest(id streamversion.StreamID, routers []Member, n int) []Member {
	sorted := slices.Clone(routers)
	slices.SortFunc(sorted, func(a, b Member) int { return cmp.Compare(holderHash(id, b.VM), holderHash(id, a.VM)) })
	return sorted[:min(n, len(sorted))]
}

// holderHash is the rendezvous hash of a stream and a router.
func holderHash(id streamversion.StreamID, vm string) uint64 {
	const odd = 0xff51afd7ed558ccd // spreads the hash of the names over all bits
	h := uint64(id) ^ xxhash.Sum64String(vm)
	h = (h ^ (h >> 33)) * odd
	return h ^ (h >> 33)
}
