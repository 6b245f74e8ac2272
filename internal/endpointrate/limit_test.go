package endpointrate

// Limits that endpoints name for themselves, at fleets of one router and of 880: what all
// routers send together, and how much of a limit is used while there is demand.

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const limitWindow = 4 * time.Second

// maxAllowed is what an endpoint that names a limit bears in a window: half more than the limit
// allows, and five.
func maxAllowed(perSecond float64) float64 { return 1.5*perSecond*limitWindow.Seconds() + 5 }

// fleetShape is a fleet of routers in failure domains.
type fleetShape struct{ routers, domains int }

var fleetShapes = []fleetShape{{1, 1}, {3, 3}, {12, 3}, {31, 3}, {103, 5}, {300, 3}, {880, 27}}

func limitOf(perSecond float64) Bound { return Limited("e", "domain0", perSecond) }

// simResult is what an endpoint got in a play.
type simResult struct {
	maxInWindow int // in the window that has most
	meanRate    float64
	byRouter    map[int]int // requests of each router
}

// simulate plays callers that all want the endpoint. They come unevenly: a router has from a
// third of the mean to twice as much.
func simulate(s fleetShape, perSecond float64, lasts time.Duration, rnd *rand.Rand, may admitFunc) simResult {
	type arrival struct {
		at     time.Duration
		router int
	}
	var all []arrival
	for i := range s.routers {
		own := perSecond / float64(s.routers) * (1.0/3 + rnd.Float64()*5/3)
		for t := time.Duration(0); t < lasts; t += time.Duration(rnd.ExpFloat64() / own * float64(time.Second)) {
			all = append(all, arrival{t, i})
		}
	}
	slices.SortFunc(all, func(a, b arrival) int { return int(a.at - b.at) })
	p := simResult{byRouter: make(map[int]int)}
	var sent []time.Duration
	for _, a := range all {
		if may(a.router, a.at) {
			sent = append(sent, a.at)
			p.byRouter[a.router]++
		}
	}
	first := 0
	for i, t := range sent {
		for t-sent[first] >= limitWindow {
			first++
		}
		p.maxInWindow = max(p.maxInWindow, i-first+1)
	}
	p.meanRate = float64(len(sent)) / lasts.Seconds()
	return p
}

// callersPerRouter is how many requests a second a router has on the whole for a service: 800 at
// 103 routers.
const callersPerRouter = 8.0

func TestRoutersTogetherKeepToALimitAndUseIt(t *testing.T) {
	g := NewWithT(t)
	const lasts = 40 * time.Second
	for _, s := range fleetShapes {
		for _, perSecond := range []float64{0.1, 0.5, 1, 1.1, 3, 7, 13, 50, 400} {
			worst, least := 0, math.Inf(1)
			for seed := range uint64(3) {
				rnd := rand.New(rand.NewPCG(seed, 2))
				asked := max(5*perSecond, callersPerRouter*float64(s.routers))
				p := simulate(s, asked, lasts, rnd, byOwners(s.routers, s.domains, limitOf(perSecond), allRouters))
				worst, least = max(worst, p.maxInWindow), min(least, p.meanRate/perSecond)
			}
			t.Logf("%3d routers, limit %5.4g: most in 4 s %4d of %5.1f, used %.2f", s.routers, perSecond, worst, maxAllowed(perSecond), least)
			g.Expect(float64(worst)).To(BeNumerically("<=", maxAllowed(perSecond)), "%+v, %g a second", s, perSecond)
			g.Expect(least).To(BeNumerically(">=", minUtilization), "%+v, %g a second", s, perSecond)
		}
	}
}

// The two other ways that were weighed: each router its part by how many there are, from a
// moment that is drawn, and each the whole limit for itself.
func TestWaysToShareALimit(t *testing.T) {
	g := NewWithT(t)
	const lasts = 40 * time.Second
	for _, s := range fleetShapes[2:] {
		for _, perSecond := range []float64{1, 13} {
			asked := max(5*perSecond, callersPerRouter*float64(s.routers))
			play := func(may admitFunc) simResult { return simulate(s, asked, lasts, rand.New(rand.NewPCG(3, 2)), may) }
			parts := play(byEqualShares(s.routers, perSecond, rand.New(rand.NewPCG(3, 1))))
			wholes := make([]Pace, s.routers)
			alone := play(func(router int, at time.Duration) bool { return wholes[router].Take(epoch.Add(at), perSecond, 0) })
			owners := play(byOwners(s.routers, s.domains, limitOf(perSecond), allRouters))
			t.Logf("%3d routers, limit %2g: most in 4 s %d of %.0f, used %.2f with owners; %d, %.2f with a part each; %d with the whole each",
				s.routers, perSecond, owners.maxInWindow, maxAllowed(perSecond), owners.meanRate/perSecond, parts.maxInWindow, parts.meanRate/perSecond, alone.maxInWindow)
			g.Expect(float64(alone.maxInWindow)).To(BeNumerically(">", maxAllowed(perSecond)))
			g.Expect(float64(owners.maxInWindow)).To(BeNumerically("<=", maxAllowed(perSecond)))
		}
	}
}

// minUtilization is the part of a limit that is used while five times as much is asked for.
const minUtilization = 0.75

// The router with the largest part stops, and others count it for a while longer.
func TestALimitIsUsedWhileOneOfItsOwnersIsLost(t *testing.T) {
	g := NewWithT(t)
	const lasts = 40 * time.Second
	for _, s := range fleetShapes[1:] {
		for _, perSecond := range []float64{0.5, 1, 13} {
			play := func(lost int) simResult {
				may := byOwners(s.routers, s.domains, limitOf(perSecond), allRouters)
				return simulate(s, max(5*perSecond, callersPerRouter*float64(s.routers)), lasts, rand.New(rand.NewPCG(1, 2)), func(router int, at time.Duration) bool {
					return router != lost && may(router, at)
				})
			}
			largest, most := 0, 0
			for router, n := range play(-1).byRouter {
				if n > most {
					largest, most = router, n
				}
			}
			used := play(largest).meanRate / perSecond
			t.Logf("%3d routers, limit %3g: used %.2f without the owner that used most", s.routers, perSecond, used)
			g.Expect(used).To(BeNumerically(">=", 0.5), "%+v, %g a second", s, perSecond)
		}
	}
}

// One of a fleet isn't known to the others yet, or they aren't to it.
func TestALimitHoldsWhileRoutersDisagreeOnWhoIsThere(t *testing.T) {
	g := NewWithT(t)
	for _, perSecond := range []float64{0.1, 1, 3, 13} {
		for newcomer := range 31 {
			sees := func(router, other int) bool { return router == other || router != newcomer && other != newcomer }
			p := simulate(fleetShape{31, 3}, 248, 20*time.Second, rand.New(rand.NewPCG(uint64(newcomer), 2)), byOwners(31, 3, limitOf(perSecond), sees))
			g.Expect(float64(p.maxInWindow)).To(BeNumerically("<=", maxAllowed(perSecond)), "%g a second, router %d", perSecond, newcomer)
		}
	}
}

// All routers are cut off from each other for so long that each may be the last one there.
func TestRoutersThatHearOfNobodyKeepToALimitTogether(t *testing.T) {
	g := NewWithT(t)
	for _, routers := range []int{3, 31, 880} {
		sum := 0.0
		for i := range routers {
			s := Share{Self: fmt.Sprint("r", i), Domain: "domain0", Fleet: func(time.Time) Fleet {
				return Fleet{Known: true, Domains: []string{"domain0"}, CutOffFrom: routers - 1}
			}}
			part := s.Of(epoch, limitOf(1))
			g.Expect(part).To(BeNumerically(">", 0), "one that is the last goes on")
			sum += part
		}
		g.Expect(sum).To(BeNumerically("~", 1, 1e-9))
	}
}

func TestALimitWithoutMeasureIsSharedByAllRouters(t *testing.T) {
	g := NewWithT(t)
	parts := 0.0
	for i := range 31 {
		var near []string
		for j := range 31 {
			near = append(near, fmt.Sprint("r", j))
		}
		s := Share{Self: near[i], Domain: "domain0", Fleet: func(time.Time) Fleet {
			return Fleet{Known: true, Near: near, Domains: []string{"domain0"}}
		}}
		part := s.Of(epoch, limitOf(1e300))
		g.Expect(part).To(BeNumerically(">", 0))
		parts += part
	}
	g.Expect(parts).To(BeNumerically("~", 1e300, 1e290))
	g.Expect(Gap(1e300)).To(BeZero())
	g.Expect(Gap(1e-300)).To(Equal(maxInterval))
}

// Requests of two ranks want five times what four endpoints take; the more urgent ones alone
// want half of it, and get about as much as they would without the others.
func TestTheMoreUrgentComeFirstWhereALimitTurnsRequestsAway(t *testing.T) {
	g := NewWithT(t)
	const urgentPerSecond, otherPerSecond = 8, 72
	alone, _, _ := simulateTiers(urgentPerSecond, 0)
	urgent, others, used := simulateTiers(urgentPerSecond, otherPerSecond)
	t.Logf("served %.2f of the urgent ones (%.2f without others) and %.2f of the others, %.2f of the limits used", urgent, alone, others, used)
	g.Expect(urgent).To(BeNumerically(">=", 0.85*alone))
	g.Expect(used).To(BeNumerically(">=", minUtilization))
}

// simulateTiers has requests of two ranks ask four endpoints, each of which takes four a second.
// It returns the part of each rank that is sent, and of the limits that is used.
func simulateTiers(urgentPerSecond, otherPerSecond float64) (urgent, others, used float64) {
	const perSecond, lasts = 4.0, 60 * time.Second
	rnd := rand.New(rand.NewPCG(1, 1))
	var paces [4]Pace
	var asked, sent [2]float64
	rates := [2]float64{urgentPerSecond, max(otherPerSecond, 1e-9)}
	var next [2]time.Duration
	for {
		rank := 0
		if next[1] < next[0] {
			rank = 1
		}
		at := next[rank]
		if at > lasts {
			break
		}
		next[rank] += time.Duration(rnd.ExpFloat64() / rates[rank] * float64(time.Second))
		asked[rank]++
		if sendToFirst(paces[:], epoch.Add(at), perSecond, rank) {
			sent[rank]++
		}
	}
	return sent[0] / asked[0], sent[1] / asked[1], (sent[0] + sent[1]) / (lasts.Seconds() * perSecond * float64(len(paces)))
}

// sendToFirst sends a request to the first of several endpoints that takes it.
func sendToFirst(paces []Pace, now time.Time, perSecond float64, rank int) bool {
	for i := range paces {
		if paces[i].Take(now, perSecond, rank) {
			return true
		}
		paces[i].TurnAway(now)
	}
	for i := range paces {
		paces[i].Refuse(now, rank)
	}
	return false
}
