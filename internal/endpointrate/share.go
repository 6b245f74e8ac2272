// Package endpointrate divides an endpoint's rate limit over all routers among them. A cold
// endpoint has such a limit: it has just started or its failure domain was taken back into use,
// so that its caches are empty and overload crashes it. An endpoint that states a rate limit in
// its responses has one too. The limit has to hold while routers are partitioned from each other.
//
// A few routers own a share of the rate: in each of a few failure domains those that rank first
// for the endpoint by rendezvous hashing. The others send it nothing. With few owners no share is
// so small that requests have to be admitted at random, and routers that disagree on the members
// of the fleet differ only within their failure domain. This differs from retry budgets, which
// depend on each router's own requests, and from team limits, whose credits are leased from their
// owner, a single router: an endpoint's rate may be below one a second, and the limit holds while
// routers are lost.
package endpointrate

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// coldOwners is the maximum number of routers that share a cold endpoint. With three the loss
	// of one leaves two thirds, and each has enough callers to use its share in the seconds for
	// which the endpoint is cold.
	coldOwners = 3
	// minColdShare is the minimum share of a router in a cold endpoint, in requests a second: the
	// limit has to hold within each second, in which small shares of many routers would add up to
	// bursts.
	minColdShare = 2.0
	// spareOwners is how many more routers share a stated limit than it has requests a second.
	// Such a limit lasts: with a single owner that is lost or has few callers it would stay
	// unused. It has to hold over some seconds only, in which each owner may send a request
	// early.
	spareOwners = 2
	// maxOwners is more than the largest number of routers.
	maxOwners = 1 << 20
)

// Bound is the rate limit of an endpoint over all routers.
type Bound struct {
	Endpoint, FailureDomain string
	// PerSecond is in requests a second, above 0.
	PerSecond float64
	// Owners is the number of routers that share the limit, if there are as many.
	Owners int
}

// ColdBound returns the limit of a cold endpoint.
func ColdBound(endpoint, domain string, perSecond float64) Bound {
	owners := int(min(perSecond/minColdShare, coldOwners))
	return Bound{Endpoint: endpoint, FailureDomain: domain, PerSecond: perSecond, Owners: max(owners, 1)}
}

// StatedBound returns the limit of an endpoint that states one.
func StatedBound(endpoint, domain string, perSecond float64) Bound {
	owners := int(min(perSecond, maxOwners)) + spareOwners
	return Bound{Endpoint: endpoint, FailureDomain: domain, PerSecond: perSecond, Owners: owners}
}

// Fleet is a router's knowledge of the routers that share endpoints with it.
type Fleet struct {
	// Known is false until the router has learned of the others; it then owns no share.
	Known bool
	// OwnDomainRouters are the routers of its failure domain, with or without itself, and Domains
	// all failure domains that have routers.
	OwnDomainRouters, Domains []string
	// LostRouters is the number of other routers last known if none has been seen for long,
	// else 0. They may still be running, partitioned from this one.
	LostRouters int
}

// Share computes a router's share of endpoint rate limits.
type Share struct {
	// Self and Domain are the router's name and failure domain.
	Self, Domain string
	Fleet        func(now time.Time) Fleet
}

// Rate returns this router's share of a limit, in requests a second; 0 for most routers.
func (s *Share) Rate(now time.Time, b Bound) float64 {
	fleet := s.Fleet(now)
	switch {
	case !fleet.Known:
		return 0
	case fleet.LostRouters > 0:
		// Divide by the number of routers there may be, so that disconnected routers keep to the
		// limit together, and a sole survivor continues.
		return b.PerSecond / float64(fleet.LostRouters+1)
	}
	owners := b.ownerDomains(fleet.Domains)
	if !slices.Contains(owners, s.Domain) {
		return 0
	}
	perDomain := min(b.Owners/len(owners), s.domainRouters(fleet.OwnDomainRouters))
	if s.position(b.Endpoint, fleet.OwnDomainRouters) >= perDomain {
		return 0
	}
	return b.PerSecond / float64(len(owners)*perDomain)
}

// domainRouters returns the number of routers in this one's failure domain.
func (s *Share) domainRouters(routers []string) int {
	if slices.Contains(routers, s.Self) {
		return len(routers)
	}
	return len(routers) + 1
}

// position returns how many routers of its failure domain rank before this one for an endpoint.
func (s *Share) position(endpoint string, routers []string) int {
	own, before := hashRank(endpoint, s.Self), 0
	for _, r := range routers {
		if r != s.Self && hashRank(endpoint, r) > own {
			before++
		}
	}
	return before
}

// ownerDomains returns the failure domains whose routers share the endpoint, its own first,
// because traffic within a domain costs least.
func (b Bound) ownerDomains(domains []string) []string {
	order := slices.Clone(domains)
	slices.SortFunc(order, func(x, y string) int {
		switch b.FailureDomain {
		case x:
			return -1
		case y:
			return 1
		}
		return cmp.Or(cmp.Compare(hashRank(b.Endpoint, y), hashRank(b.Endpoint, x)), cmp.Compare(x, y))
	})
	return order[:min(b.Owners, len(order))]
}

// hashRank ranks names for an endpoint, the same at all routers.
func hashRank(endpoint, name string) uint64 { return xxhash.Sum64String(endpoint + "/" + name) }
