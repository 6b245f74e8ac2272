package balance_test

// Urgent requests while endpoints don't respond, by several patterns. The operators' rule: within
// five seconds no more than a twelfth of the urgent requests, or fewer than ten, may get no response
// while less urgent requests of more than twice their size are started.
//
// The failure: of 408 urgent requests in five seconds 276 got no response while two of three failure
// domains were unresponsive, and 39 of 406 while one became unresponsive as another recovered. A
// router avoided no endpoint where more than half looked unresponsive, since it might have been cut
// off itself, although the others responded all the while. Figures from these simulations with 31
// routers and 56 endpoints.

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	ruleWindow      = 5 * time.Second
	ruleMinUnserved = 10 // requests without a response
	ruleMaxShare    = 1.0 / 12
)

// silenceCase is a pattern in which endpoints stop responding.
type silenceCase struct {
	label string
	silenceScenario
}

// setSilent has exactly those engines stop responding for which silent is true.
func (d *silenceSim) setSilent(silent func(i int) bool) {
	for i, e := range d.engines {
		e.silent = silent(i)
	}
}

// inDomain selects the engines of a failure domain, counted from the first that stops responding.
func (d *silenceSim) inDomain(domain int) func(int) bool {
	return func(i int) bool { return i%3 == (d.first+domain)%3 }
}

// acrossDomains selects a third of the engines of each failure domain.
func (d *silenceSim) acrossDomains(i int) bool { return i/3%3 == d.first }

// mostUrgent selects the given number of engines with the most urgent requests.
func (d *silenceSim) mostUrgent(engines int) func(int) bool {
	order := slices.SortedFunc(slices.Values(d.engines), func(a, b *simEngine) int { return b.urgent - a.urgent })
	return func(i int) bool { return slices.Contains(order[:engines], d.engines[i]) }
}

func noEngine(int) bool { return false }

func (d *silenceSim) after(delay time.Duration, do func()) {
	d.on(d.now.Add(delay), func(time.Time) { do() })
}

func silenceDomain(d *silenceSim) { d.setSilent(d.inDomain(0)) }

var silenceCases = []silenceCase{
	{"a failure domain", silenceScenario{injectFault: silenceDomain}},
	{"the endpoint with most urgent requests", silenceScenario{injectFault: func(d *silenceSim) { d.setSilent(d.mostUrgent(1)) }}},
	{"the two endpoints with most urgent requests", silenceScenario{injectFault: func(d *silenceSim) { d.setSilent(d.mostUrgent(2)) }}},
	{"a third of each failure domain", silenceScenario{injectFault: func(d *silenceSim) { d.setSilent(d.acrossDomains) }}},
	{"two failure domains one after the other", silenceScenario{injectFault: func(d *silenceSim) {
		d.setSilent(d.inDomain(0))
		d.after(2*time.Second, func() { d.setSilent(d.inDomain(1)) })
	}}},
	{"a failure domain for 200 ms", silenceScenario{injectFault: func(d *silenceSim) {
		d.setSilent(d.inDomain(0))
		d.after(200*time.Millisecond, func() { d.setSilent(noEngine) })
	}}},
	{"a failure domain in an overload", silenceScenario{loadFactor: 5, injectFault: silenceDomain}},
	{"a failure domain, a third of the routers started .5 s before", silenceScenario{injectFault: func(d *silenceSim) {
		d.forThirdOfRouters(func(r *simRouter, i int) { d.startRouter(r, i) })
		d.after(500*time.Millisecond, func() { silenceDomain(d) })
	}}},
}

// slowDetectionCases are cases that a router with requests at only one of the endpoints detects
// after a second.
var slowDetectionCases = []silenceCase{
	{"a failure domain that tells no load", silenceScenario{noLoadReports: true, injectFault: silenceDomain}},
	{"a failure domain under twice the load", silenceScenario{loadFactor: 2, injectFault: silenceDomain}},
	{"a failure domain, a third of the routers stood still until .3 s before", silenceScenario{injectFault: func(d *silenceSim) {
		d.forThirdOfRouters(func(r *simRouter, _ int) { r.pausedUntil = d.now.Add(time.Second) })
		d.after(1300*time.Millisecond, func() { silenceDomain(d) })
	}}},
}

// forThirdOfRouters calls do for a third of the routers, across all failure domains if there are
// enough routers.
func (d *silenceSim) forThirdOfRouters(do func(r *simRouter, i int)) {
	for i, r := range d.routers[:len(d.routers)/3] {
		do(r, i)
	}
}

// worstWindow counts the requests of a rank, and those of them without a response, in the window of
// the rule with the largest share of such requests; all requests of the rank if each got a response.
func (d *silenceSim) worstWindow(rank int) (unserved, total int) {
	var requests []*simRequest
	for _, a := range d.requests {
		if a.rank == rank {
			requests = append(requests, a)
		}
	}
	slices.SortFunc(requests, func(a, b *simRequest) int { return a.at.Compare(b.at) })
	first, failed := 0, 0
	for last, a := range requests {
		if !a.gotResponse {
			failed++
		}
		for ; a.at.Sub(requests[first].at) >= ruleWindow; first++ {
			if !requests[first].gotResponse {
				failed--
			}
		}
		if n := last - first + 1; failed*max(total, 1) > unserved*n {
			unserved, total = failed, n
		}
	}
	if unserved == 0 {
		return 0, len(requests)
	}
	return unserved, total
}

// violatesRule reports whether too many of the most urgent requests got no response.
func (d *silenceSim) violatesRule() bool {
	unserved, total := d.worstWindow(0)
	return unserved >= ruleMinUnserved && float64(unserved) > ruleMaxShare*float64(total)
}

// runCase simulates a case and fails if the rule for urgent requests is violated.
func runCase(t *testing.T, c silenceCase, size fleetSize) {
	for first := range 3 {
		t.Run(fmt.Sprintf("%s, %d routers, %d", c.label, size.routers, first), func(t *testing.T) {
			t.Parallel()
			scenario := c.silenceScenario
			scenario.fleetSize, scenario.loadFactor, scenario.first = size, max(scenario.loadFactor, 1), first
			d := scenario.run()
			var counts []string
			for rank := range 3 {
				unserved, total := d.worstWindow(rank)
				counts = append(counts, fmt.Sprintf("%d of %d", unserved, total))
			}
			t.Logf("no response, by rank: %v; %d sent to silent endpoints, %d others suspected", counts, len(d.sentToSilent), d.falselySuspected)
			NewWithT(t).Expect(d.violatesRule()).To(BeFalse())
		})
	}
}

// twoDomainsSilent has two of three failure domains stop responding at once.
var twoDomainsSilent = silenceCase{"two failure domains at once", silenceScenario{injectFault: func(d *silenceSim) {
	d.setSilent(func(i int) bool { return !d.inDomain(0)(i) })
}}}

func TestUrgentRequestsAreServedThroughSilences(t *testing.T) {
	for _, c := range silenceCases {
		runCase(t, c, fleetSize{3, 9})
	}
	for _, size := range []fleetSize{{12, 24}, {31, 56}} {
		for _, c := range slices.Concat(silenceCases, slowDetectionCases) {
			runCase(t, c, size)
		}
	}
}

// Each of three routers has few requests at an endpoint, and urgent requests at one or two
// endpoints.
func TestUrgentRequestsOfASmallFleetAreServedThroughSilences(t *testing.T) {
	for _, kind := range slowDetectionCases {
		runCase(t, kind, fleetSize{3, 9})
	}
}

func TestUrgentRequestsAreServedWhileMostEndpointsAreSilent(t *testing.T) {
	for _, shape := range []fleetSize{{3, 9}, {12, 24}, {31, 56}} {
		runCase(t, twoDomainsSilent, shape)
	}
}
