package endpointrate

// Endpoints that came back cold got all that routers had for them, fell over under it, and
// came back cold again: 116 processes of 56 endpoints in half a minute, so that an endpoint
// that came back was worth no more than one that never did. Evidence: 30 arrivals in a second
// from 31 routers at an endpoint that tolerates 13, and bears 24.

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
	maxArrivals = 24.5 // arrivals in any second beyond which it falls over
)

var coldEndpoint = Cold("e", "domain0", coldRate)

var epoch = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

// admitFunc is one way to share an endpoint: it says whether a router may send at a moment.
type admitFunc func(router int, at time.Duration) bool

// byOwners is the product's way among so many routers, of which each knows those that sees
// names for it.
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
			return Fleet{Known: true, Near: others, Domains: names}
		}}
		parts[i] = share.Of(epoch, bound)
	}
	paces := make([]Pace, routers)
	return func(router int, at time.Duration) bool {
		return paces[router].Take(epoch.Add(at), parts[router], 0)
	}
}

// byEqualShares is the other way that was weighed: each router its part by how many there are, from
// a moment that is drawn.
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

// simulateArrivals plays callers of each router for ten seconds, all of whom want the endpoint, and
// returns the most arrivals in any second and how many there are in one on the whole.
func simulateArrivals(routers int, perRouter float64, rnd *rand.Rand, may admitFunc) (most int, mean float64) {
	const lasts = 10 * time.Second
	var at []time.Duration
	for i := range routers {
		for t := time.Duration(0); t < lasts; t += time.Duration(rnd.ExpFloat64() / perRouter * float64(time.Second)) {
			at = append(at, t*time.Duration(routers)+time.Duration(i)) // the router in the low part
		}
	}
	slices.Sort(at)
	var sent []time.Duration
	for _, x := range at {
		if t := x / time.Duration(routers); may(int(x%time.Duration(routers)), t) {
			sent = append(sent, t)
		}
	}
	from := 0
	for i, t := range sent {
		for t-sent[from] >= time.Second {
			from++
		}
		most = max(most, i-from+1)
	}
	return most, float64(len(sent)) / lasts.Seconds()
}

func allRouters(int, int) bool { return true }

func TestRoutersTogetherKeepToWhatAColdEndpointTakesAndUseIt(t *testing.T) {
	g := NewWithT(t)
	for _, fleet := range []struct{ routers, domains int }{{1, 1}, {3, 3}, {31, 3}, {103, 5}, {300, 3}, {880, 27}} {
		for seed := range uint64(50) {
			rnd := rand.New(rand.NewPCG(seed, 1))
			// A single router has the callers of all.
			perRouter := max(11, 33/float64(fleet.routers))
			most, mean := simulateArrivals(fleet.routers, perRouter, rnd, byOwners(fleet.routers, fleet.domains, coldEndpoint, allRouters))
			g.Expect(most).To(BeNumerically("<=", coldRate+5), "%+v: arrivals in a second", fleet)
			g.Expect(mean).To(BeNumerically(">=", 9), "%+v: of 13 a second", fleet)
		}
	}
}

// Each router its part by their number keeps the mean and not the bound: what many routers
// send by chance falls together.
func TestOwnersSendLessAtOnceThanAllRoutersWithAPartEach(t *testing.T) {
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
		t.Logf("%d routers: %d arrivals in a second with a part each, %d with owners", routers, mostEven, mostOwned)
		g.Expect(mostOwned).To(BeNumerically("<", mostEven))
	}
}

// While one router of a failure domain isn't known to the others yet, or they to it, an
// endpoint has one owner too many at the most.
func TestRoutersThatDisagreeOnWhoIsThereStayBelowTheBound(t *testing.T) {
	g := NewWithT(t)
	for newcomer := range 31 {
		rnd := rand.New(rand.NewPCG(uint64(newcomer), 1))
		sees := func(router, other int) bool { return router == other || router != newcomer && other != newcomer }
		most, _ := simulateArrivals(31, 11, rnd, byOwners(31, 3, coldEndpoint, sees))
		g.Expect(most).To(BeNumerically("<=", maxArrivals))
	}
}

func TestARouterThatDoesNotKnowTheOthersOwnsNothing(t *testing.T) {
	g := NewWithT(t)
	s := Share{Self: "r", Domain: "d", Fleet: func(time.Time) Fleet { return Fleet{Domains: []string{"d"}} }}
	g.Expect(s.Of(epoch, coldEndpoint)).To(BeZero())
}

func TestAnEndpointThatTakesLittleHasFewOwnersOneInItsOwnDomain(t *testing.T) {
	g := NewWithT(t)
	domains := []string{"a", "b", "c"}
	alone := func(time.Time) Fleet { return Fleet{Known: true, Domains: domains} }
	for i := range 20 {
		endpoint := fmt.Sprint("e", i)
		parts := 0.0
		for _, domain := range domains {
			s := Share{Self: "r", Domain: domain, Fleet: alone}
			part := s.Of(epoch, Cold(endpoint, "b", 1.5))
			g.Expect(part > 0).To(Equal(domain == "b"), "%s in %s", endpoint, domain)
			parts += part
		}
		g.Expect(parts).To(Equal(1.5))
	}
}
