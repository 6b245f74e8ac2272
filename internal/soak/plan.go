// Package soak runs the real programs as separate processes on one machine, injects
// faults from the outside, and checks the promises to callers against the requests and
// answers of callers and the runs of endpoints. A run is determined by its seed, except
// for the timing of the machine.
package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault.
type Kind string

// The kinds of fault. Faults of routers and endpoints are signals to their processes.
// Faults of connections, from a router to the store or from all routers to an endpoint,
// are injected by a proxy. Changes of the configuration are the operator's.
const (
	RouterKill   Kind = "router_kill"   // SIGKILL, then a restart
	RouterStop   Kind = "router_stop"   // SIGTERM, then a restart once it has ended
	RouterPause  Kind = "router_pause"  // SIGSTOP, then SIGCONT
	RouterReload Kind = "router_reload" // a change of the settings file, then SIGHUP

	EndpointKill  Kind = "endpoint_kill"  // SIGKILL; its entry expires and a replacement starts
	EndpointPause Kind = "endpoint_pause" // SIGSTOP, then SIGCONT; its entry may expire meanwhile
	EndpointDrain Kind = "endpoint_drain" // its entry is marked as draining, then SIGTERM; a replacement starts

	StoreConn    Kind = "store_way"    // a network fault between a router and the store
	EndpointConn Kind = "endpoint_way" // a network fault between all routers and an endpoint
	StoreFault   Kind = "store_fault"  // the store itself fails calls

	KeyRevoked    Kind = "key_revoked" // a key is revoked
	RouteTimeouts Kind = "routes"      // the timeouts of the routes change
	// ConfigGrow changes the number of unused routes, so that the configuration grows or
	// shrinks a lot, and adds one route for callers. Only seeds with narrow links have it.
	ConfigGrow Kind = "config_grow"
	// EndpointRestart is SIGKILL, after which a new process gets the same name and address.
	// InvalidEntry is an invalid entry in the list, under an unused name or over the entry of
	// an endpoint, which writes its own again a second later. Only seeds with invalid
	// entries have these two.
	EndpointRestart Kind = "endpoint_restart"
	InvalidEntry    Kind = "list_entry"
	// EndpointLimit has an endpoint state a rate limit over all routers in its answers.
	// Only seeds with rate limits have it.
	EndpointLimit Kind = "endpoint_limit"
	// EndpointFailing has an endpoint fail a share of the requests that it has read. Only
	// seeds with failing endpoints have it.
	EndpointFailing Kind = "endpoint_failing"
	// EndpointEndless has an endpoint answer a share of its requests without an end. Only seeds with
	// endless answers have it.
	EndpointEndless Kind = "endpoint_endless"
	// EndpointBackoff has an endpoint turn requests away and ask routers to back off, and
	// EndpointLeaves has one leave by its answers alone. Only seeds with signals have them.
	EndpointBackoff Kind = "endpoint_backoff"
	EndpointLeaves  Kind = "endpoint_leaves"
	// StoreReturn has the store come back from an older copy. Only seeds with returns have it.
	StoreReturn Kind = "store_return"
	// RoutersKill is RouterKill of all routers at once, and KeyMoved gives a key to another team. Only
	// seeds with slow bodies have them.
	RoutersKill Kind = "routers_kill"
	KeyMoved    Kind = "key_moved"
	// Evacuate is an evacuation order of a failure domain and its removal. Only seeds with
	// evacuations have it; endpoints that start during those runs are cold.
	Evacuate Kind = "evacuate"
)

var kinds = []Kind{
	RouterKill, RouterStop, RouterPause, RouterReload,
	EndpointKill, EndpointPause, EndpointDrain,
	StoreConn, EndpointConn, StoreFault, KeyRevoked, RouteTimeouts,
}

// NetFault is a network fault of a proxy's connections.
type NetFault string

// The network faults. NetFaultOneWay drops data from the target and NetFaultSilence drops data in
// both directions; both leave connections open. NetFaultHold delays what is sent to the target until
// the fault ends.
const (
	NetFaultNone    NetFault = ""
	NetFaultDelay   NetFault = "delay"
	NetFaultReset   NetFault = "reset"
	NetFaultOneWay  NetFault = "one_way"
	NetFaultSilence NetFault = "silence"
	NetFaultHold    NetFault = "hold"
)

// netFaults are those of all seeds.
var netFaults = []NetFault{NetFaultDelay, NetFaultReset, NetFaultOneWay, NetFaultSilence}

// Fault is one fault of a plan.
type Fault struct {
	At   time.Duration `json:"at"`
	Kind Kind          `json:"kind"`
	// Target selects the router or endpoint, modulo their number.
	Target   int           `json:"target"`
	Duration time.Duration `json:"for"`
	NetFault NetFault      `json:"harm,omitempty"`
}

// Times of a plan.
const (
	// faultFreeStart is the time without faults at the start, in which all programs start and
	// are listed.
	faultFreeStart = 3 * time.Second
	// FaultFreeEnd is the time without new faults at the end, in which recovery is checked.
	FaultFreeEnd = 9 * time.Second
	// longestFault exceeds both the time after which the list drops an endpoint without
	// heartbeats and the bound on revoked keys.
	longestFault  = 7 * time.Second
	shortestFault = 300 * time.Millisecond
	// storeFaultFactor extends faults of the store, so that some outlast the bound on revoked
	// keys. unobservedRevokeDelay is the time from the start of a store fault to a revocation:
	// all long polls have ended by then, so that no router observes it.
	storeFaultFactor      = 1.5
	unobservedRevokeDelay = 1200 * time.Millisecond
	// meanFaultGap is the mean time between two faults, short enough that they overlap.
	meanFaultGap = 900 * time.Millisecond
	// seriesChance is the probability that a fault is followed by another of its kind.
	seriesChance = 0.25
	// meanGrowGap is the mean time between two ConfigGrow faults: some seconds, since a
	// value of a megabyte takes one second over a narrow link.
	meanGrowGap = 4 * time.Second
)

// HasNarrowLinks reports whether the routers of a seed reach the store over narrow links while
// the configuration grows: the last four of each eight seeds.
func HasNarrowLinks(seed uint64) bool { return seed/4%2 == 1 }

// HasInvalidEntries reports whether a seed has restarts of endpoints under the same name and
// invalid entries in the list: the third of each four seeds.
func HasInvalidEntries(seed uint64) bool { return seed%4 == 2 }

// meanInvalidEntryGap is the mean time between two faults of invalidEntries.
const meanInvalidEntryGap = 2 * time.Second

// invalidEntries uses its own random source, like growth.
func invalidEntries(seed uint64, end time.Duration) []Fault {
	rnd := rand.New(rand.NewPCG(seed, 2))
	var plan []Fault
	for at := faultFreeStart; at < end; at += time.Duration(rnd.ExpFloat64() * float64(meanInvalidEntryGap)) {
		f := Fault{At: at, Kind: EndpointRestart, Target: rnd.IntN(1 << 16), Duration: shortestFault + randomDuration(rnd, longestFault-shortestFault)}
		if rnd.IntN(2) == 0 {
			f.Kind = InvalidEntry
		}
		f.Duration = min(f.Duration, end-at)
		plan = append(plan, f)
	}
	return plan
}

// HasEvacuations reports whether a seed has evacuations and cold endpoints: every second block
// of 1000 seeds, which leaves the plans of the seeds below 1000 unchanged.
func HasEvacuations(seed uint64) bool { return seed/1000%2 == 1 }

// meanEvacuateGap is the mean time between two evacuations, short enough that they overlap.
const meanEvacuateGap = 4 * time.Second

// evacuations uses its own random source, like growth.
func evacuations(seed uint64, end time.Duration) []Fault {
	rnd := rand.New(rand.NewPCG(seed, 3))
	var plan []Fault
	for at := faultFreeStart; at < end; at += time.Duration(rnd.ExpFloat64() * float64(meanEvacuateGap)) {
		f := Fault{At: at, Kind: Evacuate, Target: rnd.IntN(1 << 16), Duration: shortestFault + randomDuration(rnd, longestFault-shortestFault)}
		f.Duration = min(f.Duration, end-at)
		plan = append(plan, f)
	}
	return plan
}

// Plan returns the faults of a run with the given seed and length, ordered by time.
func Plan(seed uint64, length time.Duration) []Fault {
	rnd := rand.New(rand.NewPCG(seed, 0))
	var plan []Fault
	end := length - FaultFreeEnd
	for at := faultFreeStart; at < end; at += time.Duration(rnd.ExpFloat64() * float64(meanFaultGap)) {
		f := Fault{At: at, Kind: kinds[rnd.IntN(len(kinds))], Target: rnd.IntN(1 << 16), NetFault: netFaults[rnd.IntN(len(netFaults))]}
		f.Duration = shortestFault + randomDuration(rnd, longestFault-shortestFault)
		if f.Kind == StoreFault {
			f.Duration = time.Duration(storeFaultFactor * float64(f.Duration))
			// A key that is revoked while the store answers no call, not even open long
			// polls, must stop working although no router can learn of it.
			plan = append(plan, Fault{At: min(at+unobservedRevokeDelay, end), Kind: KeyRevoked})
		}
		f.Duration = min(f.Duration, end-at)
		plan = append(plan, f)
		for rnd.Float64() < seriesChance {
			f.At += randomDuration(rnd, f.Duration)
			f.Target = rnd.IntN(1 << 16)
			f.Duration = min(f.Duration, end-f.At)
			plan = append(plan, f)
		}
	}
	if HasNarrowLinks(seed) {
		plan = append(plan, growth(seed, end)...)
	}
	if HasInvalidEntries(seed) {
		plan = append(plan, invalidEntries(seed, end)...)
	}
	if HasEvacuations(seed) {
		plan = append(plan, evacuations(seed, end)...)
	}
	if HasRateLimits(seed) {
		plan = append(plan, rateLimits(seed, end)...)
	}
	if HasFailingEndpoints(seed) {
		plan = append(plan, failing(seed, end)...)
	}
	if HasSignals(seed) {
		plan = append(plan, signals(seed, end)...)
	}
	if HasReturns(seed) {
		plan = append(plan, returns(seed, end)...)
	}
	if HasHeldRequests(seed) {
		plan = append(plan, held(seed, end)...)
	}
	if HasSlowBodies(seed) {
		plan = append(plan, slowBodies(seed, end)...)
	}
	if HasEndlessAnswers(seed) {
		plan = append(plan, endless(seed, end)...)
	}
	if HasRefusingEndpoints(seed) {
		plan = append(plan, refusing(seed, end)...)
	}
	if HasDisorder(seed) {
		plan = append(plan, disorder(seed, end)...)
	}
	if HasStalls(seed) {
		plan = append(plan, stalls(seed, end)...)
	}
	if HasRenames(seed) {
		plan = append(plan, renames(seed, end)...)
	}
	slices.SortStableFunc(plan, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return plan
}

// growth uses its own random source, so that the other faults of a seed are the same with
// and without it.
func growth(seed uint64, end time.Duration) []Fault {
	rnd := rand.New(rand.NewPCG(seed, 1))
	var plan []Fault
	for at := faultFreeStart; at < end; at += time.Duration(rnd.ExpFloat64() * float64(meanGrowGap)) {
		plan = append(plan, Fault{At: at, Kind: ConfigGrow, Target: rnd.IntN(1 << 16)})
	}
	return plan
}

// randomDuration returns a random duration from 0 to d.
func randomDuration(rnd *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(rnd.Float64() * float64(d))
}
