// Package subset implements deterministic subsetting: it assigns each router the endpoints that
// it uses. A router holds a bounded number of connections, all endpoints are used by nearly the
// same number of routers, and each router's endpoints are spread over the failure domains.
// Routers with the same lists compute the same assignment without communication; where their
// lists differ the assignment is less even.
package subset

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"coveferry/internal/bundle"
)

// bands is the number of rank ranges that are processed from the highest down, so that only the
// pairs that are still open are sorted.
const bands = 1 << bandBits

// Assign returns the endpoints that the router self uses, in the order of the list. routers are
// all routers, with or without self. Each router gets at most size endpoints, plus one for each
// failure domain, and all of them if there are no more than size.
//
// Within each failure domain every pair of router and endpoint has a rank, the rendezvous hash of
// both names. Pairs are taken from the highest rank down while both sides have capacity. That is
// the only stable matching, so that an added or removed router or endpoint changes few pairs.
func Assign(self string, routers []string, endpoints []*bundle.Endpoint, size int) []*bundle.Endpoint {
	if len(endpoints) <= size {
		return endpoints
	}
	own := xxhash.Sum64String(self)
	m := newMatcher(append([]string{self}, routers...))
	chosen := make(map[*bundle.Endpoint]bool, size)
	m.matchAll(endpoints, size, func(router uint64, e *bundle.Endpoint) {
		if router == own {
			chosen[e] = true
		}
	})
	return slices.DeleteFunc(slices.Clone(endpoints), func(e *bundle.Endpoint) bool { return !chosen[e] })
}

// byDomain groups the endpoints by failure domain. The order of the groups
// doesn't matter, since each is matched by itself.
func byDomain(endpoints []*bundle.Endpoint) map[string][]*bundle.Endpoint {
	domains := make(map[string][]*bundle.Endpoint)
	for _, e := range endpoints {
		domains[e.FailureDomain] = append(domains[e.FailureDomain], e)
	}
	return domains
}

// matcher assigns routers to the endpoints of one failure domain at a time.
type matcher struct {
	routers  []uint64 // hashes of the names, each once
	capacity []int    // by router, number of endpoints it may still get
}

func newMatcher(routers []string) *matcher {
	m := &matcher{routers: make([]uint64, len(routers))}
	for i, r := range routers {
		m.routers[i] = xxhash.Sum64String(r)
	}
	slices.Sort(m.routers)
	m.routers = slices.Compact(m.routers)
	m.capacity = make([]int, len(m.routers))
	return m
}

// matchAll calls take for each assigned pair of a router, by the hash of its name, and an
// endpoint.
func (m *matcher) matchAll(endpoints []*bundle.Endpoint, size int, take func(router uint64, e *bundle.Endpoint)) {
	routersPerEndpoint := ceil(len(m.routers)*size, len(endpoints))
	for _, domain := range byDomain(endpoints) {
		endpointsPerRouter := ceil(size*len(domain), len(endpoints))
		for _, p := range m.match(domain, routersPerEndpoint, endpointsPerRouter) {
			take(m.routers[p.router], domain[p.endpoint])
		}
	}
}

// pair is a router and an endpoint, by index, with their rank.
type pair struct {
	rank     uint64
	router   int
	endpoint int
}

// match assigns each endpoint to routersPerEndpoint routers and each router to endpointsPerRouter
// endpoints, as far as the capacity of the other side allows.
func (m *matcher) match(endpoints []*bundle.Endpoint, routersPerEndpoint, endpointsPerRouter int) []pair {
	hashes := make([]uint64, len(endpoints))
	open := make([]int, len(endpoints)) // by endpoint, number of routers still to be assigned
	for i, e := range endpoints {
		hashes[i] = xxhash.Sum64String(e.Name)
		open[i] = routersPerEndpoint
	}
	for i := range m.capacity {
		m.capacity[i] = endpointsPerRouter
	}
	var taken []pair
	for band := bands - 1; band >= 0; band-- {
		for _, p := range m.openPairs(hashes, open, uint64(band)) {
			if open[p.endpoint] == 0 || m.capacity[p.router] == 0 {
				continue
			}
			open[p.endpoint]--
			m.capacity[p.router]--
			taken = append(taken, p)
		}
	}
	return taken
}

// openPairs returns the pairs of a band whose router and endpoint both have capacity left, in
// descending order of rank.
func (m *matcher) openPairs(endpoints []uint64, open []int, band uint64) []pair {
	var pairs []pair
	for e, hash := range endpoints {
		if open[e] == 0 {
			continue
		}
		for r, router := range m.routers {
			rank := mix(hash ^ router)
			if rank>>(64-bandBits) == band && m.capacity[r] > 0 {
				pairs = append(pairs, pair{rank: rank, router: r, endpoint: e})
			}
		}
	}
	slices.SortFunc(pairs, func(a, b pair) int { return cmp.Compare(b.rank, a.rank) })
	return pairs
}

// bandBits is the number of leading bits of a rank that determine its band.
const bandBits = 4

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

func ceil(a, b int) int { return (a + b - 1) / b }
