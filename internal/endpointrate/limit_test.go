package endpointrate

// Tests of stated rate limits in fleets of one to 880 routers: how much all routers send
// together, and how much of a limit is used while there is demand.

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

// maxAllowed returns how many requests an endpoint that states a limit tolerates in limitWindow:
// one and a half times the limit, plus five.
func maxAllowed(perSecond float64) float64 { return 1.5*perSecond*limitWindow.Seconds() + 5 }

// fleetShape is a fleet of routers in failure domains.
type fleetShape struct{ routers, domains int }

var fleetShapes = []fleetShape{{1, 1}, {3, 3}, {12, 3}, {31, 3}, {103, 5}, {300, 3}, {880, 27}}

func limitOf(perSecond float64) Bound { return StatedBound("e", "domain0", perSecond) }

// simResult is what an endpoint received in a simulation.
type simResult struct {
	maxInWindow int // maximum of all windows
	meanRate    float64
	byRouter    map[int]int // requests by router
}

// simulate sends the requests of all callers to one endpoint. Arrival rates differ between
// routers, from a third of the mean to twice as much.
func simulate(s fleetShape, perSecond float64, duration time.Duration, rnd *rand.Rand, admit admitFunc) simResult {
	type arrival struct {
		at     time.Duration
		router int
	}
	var all []arrival
	for i := range s.routers {
		ownRate := perSecond / float64(s.routers) * (1.0/3 + rnd.Float64()*5/3)
		for t := time.Duration(0); t < duration; t += time.Duration(rnd.ExpFloat64() / ownRate * float64(time.Second)) {
			all = append(all, arrival{t, i})
		}
	}
	slices.SortFunc(all, func(a, b arrival) int { return int(a.at - b.at) })
	p := simResult{byRouter: make(map[int]int)}
	var sent []time.Duration
	for _, a := range all {
		if admit(a.router, a.at) {
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
	p.meanRate = float64(len(sent)) / duration.Seconds()
	return p
}

// callersPerRouter is the requests a second that a router has for a service on average: 800 at
// 103 routers.
const callersPerRouter = 8.0

func TestStatedLimitIsKeptAndUsedAcrossRouters(t *testing.T) {
	g := NewWithT(t)
	const duration = 40 * time.Second
	for _, s := range fleetShapes {
		for _, perSecond := range []float64{0.1, 0.5, 1, 1.1, 3, 7, 13, 50, 400} {
			maximum, minUsed := 0, math.Inf(1)
			for seed := range uint64(3) {
				rnd := rand.New(rand.NewPCG(seed, 2))
				demandRate := max(5*perSecond, callersPerRouter*float64(s.routers))
				p := simulate(s, demandRate, duration, rnd, byOwners(s.routers, s.domains, limitOf(perSecond), allRouters))
				maximum, minUsed = max(maximum, p.maxInWindow), min(minUsed, p.meanRate/perSecond)
			}
			t.Logf("%3d routers, limit %5.4g: maximum in 4 s %4d of %5.1f allowed, used %.2f", s.routers, perSecond, maximum, maxAllowed(perSecond), minUsed)
			g.Expect(float64(maximum)).To(BeNumerically("<=", maxAllowed(perSecond)), "%+v, %g a second", s, perSecond)
			g.Expect(minUsed).To(BeNumerically(">=", minUtilization), "%+v, %g a second", s, perSecond)
		}
	}
}

// Compares ownership with two alternatives: equal shares for all routers with random phase, and
// the whole limit for each router.
func TestOwnersKeepALimitThatIndependentRoutersExceed(t *testing.T) {
	g := NewWithT(t)
	const span = 40 * time.Second
	for _, s := range fleetShapes[2:] {
		for _, perSecond := range []float64{1, 13} {
			demandRate := max(5*perSecond, callersPerRouter*float64(s.routers))
			run := func(may admitFunc) simResult { return simulate(s, demandRate, span, rand.New(rand.NewPCG(3, 2)), may) }
			equalShares := run(byEqualShares(s.routers, perSecond, rand.New(rand.NewPCG(3, 1))))
			pacers := make([]Pacer, s.routers)
			wholeLimits := run(func(router int, at time.Duration) bool { return pacers[router].Take(epoch.Add(at), perSecond, 0) })
			owners := run(byOwners(s.routers, s.domains, limitOf(perSecond), allRouters))
			t.Logf("%3d routers, limit %2g: maximum in 4 s %d of %.0f allowed, used %.2f with owners; %d, %.2f with equal shares; %d with the whole limit each",
				s.routers, perSecond, owners.maxInWindow, maxAllowed(perSecond), owners.meanRate/perSecond, equalShares.maxInWindow, equalShares.meanRate/perSecond, wholeLimits.maxInWindow)
			g.Expect(float64(wholeLimits.maxInWindow)).To(BeNumerically(">", maxAllowed(perSecond)))
			g.Expect(float64(owners.maxInWindow)).To(BeNumerically("<=", maxAllowed(perSecond)))
		}
	}
}

// minUtilization is the minimum share of a limit that is used while five times as much is
// requested.
const minUtilization = 0.75

// The router with the largest share stops, and the others still count it for a while.
func TestLimitIsUsedAfterLossOfAnOwner(t *testing.T) {
	g := NewWithT(t)
	const duration = 40 * time.Second
	for _, s := range fleetShapes[1:] {
		for _, perSecond := range []float64{0.5, 1, 13} {
			run := func(lost int) simResult {
				admit := byOwners(s.routers, s.domains, limitOf(perSecond), allRouters)
				return simulate(s, max(5*perSecond, callersPerRouter*float64(s.routers)), duration, rand.New(rand.NewPCG(1, 2)), func(router int, at time.Duration) bool {
					return router != lost && admit(router, at)
				})
			}
			largest, most := 0, 0
			for router, n := range run(-1).byRouter {
				if n > most {
					largest, most = router, n
				}
			}
			used := run(largest).meanRate / perSecond
			t.Logf("%3d routers, limit %3g: used %.2f without the busiest owner", s.routers, perSecond, used)
			g.Expect(used).To(BeNumerically(">=", 0.5), "%+v, %g a second", s, perSecond)
		}
	}
}

// One router isn't known to the others yet, or they aren't known to it.
func TestLimitHoldsWithInconsistentMembership(t *testing.T) {
	g := NewWithT(t)
	for _, perSecond := range []float64{0.1, 1, 3, 13} {
		for newcomer := range 31 {
			sees := func(router, other int) bool { return router == other || router != newcomer && other != newcomer }
			p := simulate(fleetShape{31, 3}, 248, 20*time.Second, rand.New(rand.NewPCG(uint64(newcomer), 2)), byOwners(31, 3, limitOf(perSecond), sees))
			g.Expect(float64(p.maxInWindow)).To(BeNumerically("<=", maxAllowed(perSecond)), "%g a second, router %d", perSecond, newcomer)
		}
	}
}

// All routers are disconnected from each other for so long that each may be the sole survivor.
func TestDisconnectedRoutersKeepToALimitTogether(t *testing.T) {
	g := NewWithT(t)
	for _, routers := range []int{3, 31, 880} {
		sum := 0.0
		for i := range routers {
			s := Share{Self: fmt.Sprint("r", i), Domain: "domain0", Fleet: func(time.Time) Fleet {
				return Fleet{Known: true, Domains: []string{"domain0"}, LostRouters: routers - 1}
			}}
			part := s.Rate(epoch, limitOf(1))
			g.Expect(part).To(BeNumerically(">", 0), "a sole survivor keeps a share")
			sum += part
		}
		g.Expect(sum).To(BeNumerically("~", 1, 1e-9))
	}
}

func TestVeryHighLimitIsSharedByAllRouters(t *testing.T) {
	g := NewWithT(t)
	parts := 0.0
	for i := range 31 {
		var near []string
		for j := range 31 {
			near = append(near, fmt.Sprint("r", j))
		}
		s := Share{Self: near[i], Domain: "domain0", Fleet: func(time.Time) Fleet {
			return Fleet{Known: true, OwnDomainRouters: near, Domains: []string{"domain0"}}
		}}
		part := s.Rate(epoch, limitOf(1e300))
		g.Expect(part).To(BeNumerically(">", 0))
		parts += part
	}
	g.Expect(parts).To(BeNumerically("~", 1e300, 1e290))
	g.Expect(Interval(1e300)).To(BeZero())
	g.Expect(Interval(1e-300)).To(Equal(maxInterval))
}

// Two tiers together request five times the limits of four endpoints. The urgent tier alone
// requests half of the limits, and is served about as well as without the other tier.
func TestUrgentTierComesFirstAtARateLimit(t *testing.T) {
	g := NewWithT(t)
	const urgentPerSecond, otherPerSecond = 8, 72
	alone, _, _ := simulateTiers(urgentPerSecond, 0)
	urgent, others, used := simulateTiers(urgentPerSecond, otherPerSecond)
	t.Logf("served %.2f of the urgent tier (%.2f without the other tier) and %.2f of the other, %.2f of the limits used", urgent, alone, others, used)
	g.Expect(urgent).To(BeNumerically(">=", 0.85*alone))
	g.Expect(used).To(BeNumerically(">=", minUtilization))
}

// simulateTiers sends requests of two tiers to four endpoints with a limit of four requests a
// second each. It returns the share of each tier that is sent, and the share of the limits that
// is used.
func simulateTiers(urgentPerSecond, otherPerSecond float64) (urgent, other, used float64) {
	const perSecond, duration = 4.0, 60 * time.Second
	rnd := rand.New(rand.NewPCG(1, 1))
	var pacers [4]Pacer
	var requested, sent [2]float64
	rates := [2]float64{urgentPerSecond, max(otherPerSecond, 1e-9)}
	var next [2]time.Duration
	for {
		tier := 0
		if next[1] < next[0] {
			tier = 1
		}
		at := next[tier]
		if at > duration {
			break
		}
		next[tier] += time.Duration(rnd.ExpFloat64() / rates[tier] * float64(time.Second))
		requested[tier]++
		if sendToFirst(pacers[:], epoch.Add(at), perSecond, tier) {
			sent[tier]++
		}
	}
	return sent[0] / requested[0], sent[1] / requested[1], (sent[0] + sent[1]) / (duration.Seconds() * perSecond * float64(len(pacers)))
}

// sendToFirst sends a request to the first endpoint that admits it.
func sendToFirst(pacers []Pacer, now time.Time, perSecond float64, tier int) bool {
	for i := range pacers {
		if pacers[i].Take(now, perSecond, tier) {
			return true
		}
		pacers[i].RecordRejected(now)
	}
	for i := range pacers {
		pacers[i].RecordUnserved(now, tier)
	}
	return false
}
