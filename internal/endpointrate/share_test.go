package endpointrate

// These tests guard against overload of cold endpoints. Endpoints that came back received all the
// requests that routers had for them, crashed, and came back cold again: 116 processes of 56
// endpoints in half a minute, so that a returning endpoint added no capacity. In one second 30
// requests from 31 routers arrived at an endpoint that tolerates 13 and survives 24.

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	coldRate    = 13.0 // requests a second that the endpoint tolerates
	maxArrivals = 24.5 // arrivals in any second above which it crashes
)

var coldEndpoint = ColdBound("e", "domain0", coldRate)

var epoch = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

// admitFunc is a way to share a limit: it reports whether a router may send a request at a time.
type admitFunc func(router int, at time.Duration) bool

// byOwners shares a limit with Share and Pacer. Each router knows those routers for which sees
// returns true.
func byOwners(routers, domains int, bound Bound, sees func(router, other int) bool) admitFunc {
	var names []string
	for d := range domains {
		names = append(names, fmt.Sprint("domain", d))
	}
	parts := make([]float64, routers)
	for i := range routers {
		share := &Share{Self: fmt.Sprint("r", i), Domain: names[i%domains], Fleet: func(time.Time) Fleet {
			var others []string
			for j := i % domains; j < routers; j += domains {
				if sees(i, j) {
					others = append(others, fmt.Sprint("r", j))
				}
			}
			return Fleet{Known: true, OwnDomainRouters: others, Domains: names}
		}}
		parts[i] = share.Rate(epoch, bound)
	}
	paces := make([]Pacer, routers)
	return func(router int, at time.Duration) bool {
		return paces[router].Take(epoch.Add(at), parts[router], 0)
	}
}

// byEqualShares is the alternative of equal shares for all routers with random phase.
func byEqualShares(routers int, perSecond float64, rnd *rand.Rand) admitFunc {
	gap := time.Duration(float64(routers) / perSecond * float64(time.Second))
	next := make([]time.Duration, routers)
	for i := range next {
		next[i] = time.Duration(rnd.Float64() * float64(gap))
	}
	return func(router int, at time.Duration) bool {
		if at < next[router] {
			return false
		}
		next[router] = at + gap
		return true
	}
}

// simulateArrivals sends the requests of each router's callers to one endpoint for ten seconds
// and returns the maximum arrivals in any second and the mean.
func simulateArrivals(routers int, perRouter float64, rnd *rand.Rand, admit admitFunc) (maximum int, mean float64) {
	const duration = 10 * time.Second
	var at []time.Duration
	for i := range routers {
		for t := time.Duration(0); t < duration; t += time.Duration(rnd.ExpFloat64() / perRouter * float64(time.Second)) {
			at = append(at, t*time.Duration(routers)+time.Duration(i)) // encodes the router in the low part
		}
	}
	slices.Sort(at)
	var sent []time.Duration
	for _, x := range at {
		if t := x / time.Duration(routers); admit(int(x%time.Duration(routers)), t) {
			sent = append(sent, t)
		}
	}
	from := 0
	for i, t := range sent {
		for t-sent[from] >= time.Second {
			from++
		}
		maximum = max(maximum, i-from+1)
	}
	return maximum, float64(len(sent)) / duration.Seconds()
}

func allRouters(int, int) bool { return true }

func TestColdLimitIsKeptAndUsedAcrossRouters(t *testing.T) {
	g := NewWithT(t)
	for _, fleet := range []struct{ routers, domains int }{{1, 1}, {3, 3}, {31, 3}, {103, 5}, {300, 3}, {880, 27}} {
		for seed := range uint64(50) {
			rnd := rand.New(rand.NewPCG(seed, 1))
			// A single router has all callers.
			perRouter := max(11, 33/float64(fleet.routers))
			most, mean := simulateArrivals(fleet.routers, perRouter, rnd, byOwners(fleet.routers, fleet.domains, coldEndpoint, allRouters))
			g.Expect(most).To(BeNumerically("<=", coldRate+5), "%+v: maximum arrivals in a second", fleet)
			g.Expect(mean).To(BeNumerically(">=", 9), "%+v: mean arrivals a second of 13 allowed", fleet)
		}
	}
}

// Equal shares keep the mean but not the maximum: the independent sends of many routers coincide
// by chance.
func TestOwnersCauseSmallerBurstsThanEqualShares(t *testing.T) {
	g := NewWithT(t)
	for _, routers := range []int{31, 103, 300} {
		mostEven, mostOwned := 0, 0
		for seed := range uint64(50) {
			rnd := rand.New(rand.NewPCG(seed, 1))
			most, _ := simulateArrivals(routers, 11, rnd, byEqualShares(routers, coldRate, rnd))
			mostEven = max(mostEven, most)
			most, _ = simulateArrivals(routers, 11, rnd, byOwners(routers, 3, coldEndpoint, allRouters))
			mostOwned = max(mostOwned, most)
		}
		t.Logf("%d routers: maximum arrivals in a second %d with equal shares, %d with owners", routers, mostEven, mostOwned)
		g.Expect(mostOwned).To(BeNumerically("<", mostEven))
	}
}

// While one router of a failure domain isn't known to the others yet, or they aren't known to it,
// an endpoint has at most one owner too many.
func TestColdLimitHoldsWithInconsistentMembership(t *testing.T) {
	g := NewWithT(t)
	for newcomer := range 31 {
		rnd := rand.New(rand.NewPCG(uint64(newcomer), 1))
		sees := func(router, other int) bool { return router == other || router != newcomer && other != newcomer }
		most, _ := simulateArrivals(31, 11, rnd, byOwners(31, 3, coldEndpoint, sees))
		g.Expect(most).To(BeNumerically("<=", maxArrivals))
	}
}

func TestRouterWithUnknownFleetHasNoShare(t *testing.T) {
	g := NewWithT(t)
	s := Share{Self: "r", Domain: "d", Fleet: func(time.Time) Fleet { return Fleet{Domains: []string{"d"}} }}
	g.Expect(s.Rate(epoch, coldEndpoint)).To(BeZero())
}

func TestLowColdLimitIsOwnedInTheEndpointsDomain(t *testing.T) {
	g := NewWithT(t)
	domains := []string{"a", "b", "c"}
	alone := func(time.Time) Fleet { return Fleet{Known: true, Domains: domains} }
	for i := range 20 {
		endpoint := fmt.Sprint("e", i)
		parts := 0.0
		for _, domain := range domains {
			s := Share{Self: "r", Domain: domain, Fleet: alone}
			part := s.Rate(epoch, ColdBound(endpoint, "b", 1.5))
			g.Expect(part > 0).To(Equal(domain == "b"), "%s in %s", endpoint, domain)
			parts += part
		}
		g.Expect(parts).To(Equal(1.5))
	}
}
