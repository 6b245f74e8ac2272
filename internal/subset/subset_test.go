package subset

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/onsi/gomega"

	"coveferry/internal/bundle"
)

var printTable = flag.Bool("table", false, "print the table of the design note")

const (
	manyRouters   = 880
	manyEndpoints = 3700
	manyDomains   = 27
	subsetSize    = 20
)

func routerNames(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("router-%d", i)
	}
	return names
}

func fleet(n, domains int) []*bundle.Endpoint {
	list := make([]*bundle.Endpoint, n)
	for i := range list {
		list[i] = &bundle.Endpoint{Name: fmt.Sprintf("endpoint-%d", i), FailureDomain: fmt.Sprintf("d%d", i%domains)}
	}
	return list
}

// assignFunc assigns the subsets of all routers.
type assignFunc func(routers []string, endpoints []*bundle.Endpoint) map[string][]*bundle.Endpoint

// stableMatching returns what Assign returns for each router, computed in one pass.
func stableMatching(routers []string, endpoints []*bundle.Endpoint) map[string][]*bundle.Endpoint {
	names := make(map[uint64]string)
	for _, r := range routers {
		names[xxhash.Sum64String(r)] = r
	}
	subsets := make(map[string][]*bundle.Endpoint)
	newMatcher(routers).matchAll(endpoints, subsetSize, func(router uint64, e *bundle.Endpoint) {
		subsets[names[router]] = append(subsets[names[router]], e)
	})
	return subsets
}

// independentRendezvous gives each router its highest-ranked endpoints, regardless of other
// routers.
func independentRendezvous(routers []string, endpoints []*bundle.Endpoint) map[string][]*bundle.Endpoint {
	subsets := make(map[string][]*bundle.Endpoint)
	for _, r := range routers {
		subsets[r] = Assign(r, nil, endpoints, subsetSize)
	}
	return subsets
}

// sreSubsetting is the deterministic subsetting of the SRE book: in each round as many routers as
// there are subsets divide one shuffle of the endpoints.
func sreSubsetting(routers []string, endpoints []*bundle.Endpoint) map[string][]*bundle.Endpoint {
	subsets := make(map[string][]*bundle.Endpoint)
	count := len(endpoints) / subsetSize
	for i, r := range routers {
		shuffled := slices.Clone(endpoints)
		rnd := rand.New(rand.NewPCG(uint64(i/count), 0))
		rnd.Shuffle(len(shuffled), func(a, b int) { shuffled[a], shuffled[b] = shuffled[b], shuffled[a] })
		at := i % count * subsetSize
		subsets[r] = shuffled[at : at+subsetSize]
	}
	return subsets
}

// balanceStats describes how even an assignment is.
type balanceStats struct {
	minRouters, maxRouters     int     // of an endpoint
	meanRouters                float64 // of an endpoint
	minEndpoints, maxEndpoints int     // of a router
	minDomains                 int     // of a router
	maxLoad                    float64 // of an endpoint, relative to an even load
}

func measure(subsets map[string][]*bundle.Endpoint, endpoints []*bundle.Endpoint) balanceStats {
	routers := make(map[string]int)
	load := make(map[string]float64)
	s := balanceStats{minRouters: manyRouters, minEndpoints: manyEndpoints, minDomains: manyDomains}
	for _, subset := range subsets {
		s.minEndpoints, s.maxEndpoints = min(s.minEndpoints, len(subset)), max(s.maxEndpoints, len(subset))
		domains := make(map[string]bool)
		for _, e := range subset {
			routers[e.Name]++
			load[e.Name] += 1 / float64(len(subset))
			domains[e.FailureDomain] = true
		}
		s.minDomains = min(s.minDomains, len(domains))
	}
	even := float64(len(subsets)) / float64(len(endpoints))
	for _, e := range endpoints {
		s.minRouters, s.maxRouters = min(s.minRouters, routers[e.Name]), max(s.maxRouters, routers[e.Name])
		s.meanRouters += float64(routers[e.Name]) / float64(len(endpoints))
		s.maxLoad = max(s.maxLoad, load[e.Name]/even)
	}
	return s
}

// addedPairs counts the pairs that are in b but not in a.
func addedPairs(a, b map[string][]*bundle.Endpoint) int {
	count := 0
	for r, subset := range b {
		before := make(map[*bundle.Endpoint]bool)
		for _, e := range a[r] {
			before[e] = true
		}
		for _, e := range subset {
			if !before[e] {
				count++
			}
		}
	}
	return count
}

func TestTable(t *testing.T) {
	if !*printTable {
		t.Skip("prints figures only; run with -table")
	}
	routers, endpoints := routerNames(manyRouters), fleet(manyEndpoints, manyDomains)
	for _, w := range []struct {
		name string
		way  assignFunc
	}{{"rendezvous of each router", independentRendezvous}, {"Google's", sreSubsetting}, {"stable matching", stableMatching}} {
		whole := w.way(routers, endpoints)
		fewerE := w.way(routers, slices.Delete(slices.Clone(endpoints), 1000, 1001))
		fewerR := w.way(slices.Delete(slices.Clone(routers), 500, 501), endpoints)
		fmt.Printf("%s: %+v\nadded pairs: endpoint leaves %d, joins %d; router leaves %d, joins %d\n", w.name, measure(whole, endpoints),
			addedPairs(whole, fewerE), addedPairs(fewerE, whole), addedPairs(whole, fewerR), addedPairs(fewerR, whole))
	}
}

func TestAssignmentIsEvenAtDesignSize(t *testing.T) {
	g := gomega.NewWithT(t)
	routers, endpoints := routerNames(manyRouters), fleet(manyEndpoints, manyDomains)
	whole := stableMatching(routers, endpoints)
	s := measure(whole, endpoints)
	g.Expect([]int{s.minRouters, s.maxRouters}).To(gomega.Equal([]int{5, 5}))
	g.Expect(s.maxEndpoints).To(gomega.BeNumerically("<=", subsetSize+manyDomains))
	g.Expect(s.minDomains).To(gomega.BeNumerically(">=", subsetSize/2))
	g.Expect(s.maxLoad).To(gomega.BeNumerically("<", 1.25))

	fewerEndpoints := stableMatching(routers, slices.Delete(slices.Clone(endpoints), 1000, 1001))
	g.Expect(addedPairs(whole, fewerEndpoints)).To(gomega.BeNumerically("<=", 20))
	g.Expect(addedPairs(fewerEndpoints, whole)).To(gomega.BeNumerically("<=", 20))
	fewerRouters := stableMatching(slices.Delete(slices.Clone(routers), 500, 501), endpoints)
	g.Expect(addedPairs(whole, fewerRouters)).To(gomega.BeNumerically("<=", 60))
	g.Expect(addedPairs(fewerRouters, whole)).To(gomega.BeNumerically("<=", 60))
}

func TestAssignMatchesTheGlobalMatching(t *testing.T) {
	g := gomega.NewWithT(t)
	routers, endpoints := routerNames(40), fleet(200, 3)
	together := stableMatching(routers, endpoints)
	for _, r := range routers {
		g.Expect(Assign(r, routers, endpoints, subsetSize)).To(gomega.ConsistOf(together[r]))
	}
}

func TestAssignWithOneRouterAndInSmallFleets(t *testing.T) {
	g := gomega.NewWithT(t)
	few := fleet(9, 3)
	g.Expect(Assign("router-0", nil, few, subsetSize)).To(gomega.Equal(few))
	alone := Assign("router-0", nil, fleet(300, 3), subsetSize)
	g.Expect(len(alone)).To(gomega.Equal(21))
	g.Expect(measure(map[string][]*bundle.Endpoint{"router-0": alone}, alone).minDomains).To(gomega.Equal(3))
}

func BenchmarkAssign(b *testing.B) {
	routers, endpoints := routerNames(manyRouters), fleet(manyEndpoints, manyDomains)
	for b.Loop() {
		Assign("router-7", routers, endpoints, subsetSize)
	}
}
