// Package soak runs the real programs as separate processes on one machine, injects
// faults from outside them, and checks the promises to callers by what callers sent
// and got and what endpoints ran. Everything that happens follows from a seed, but
// for the times that the machine adds.
package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault.
type Kind string

// The kinds of fault. Routers and endpoints are processes that get signals; ways
// are the connections from a router to the store or from all routers to an endpoint,
// which lead through a proxy; changes are the operator's.
const (
	RouterKill   Kind = "router_kill"   // SIGKILL, and started again
	RouterStop   Kind = "router_stop"   // SIGTERM, and started again once it has ended
	RouterPause  Kind = "router_pause"  // SIGSTOP, and SIGCONT
	RouterReload Kind = "router_reload" // the settings file changes, and SIGHUP

	EndpointKill  Kind = "endpoint_kill"  // SIGKILL, its entry lapses, another starts
	EndpointPause Kind = "endpoint_pause" // SIGSTOP, its entry may lapse, and SIGCONT
	EndpointDrain Kind = "endpoint_drain" // its entry says draining, SIGTERM later, another starts

	StoreWay    Kind = "store_way"    // a router's way to the store is harmed
	EndpointWay Kind = "endpoint_way" // the way to an endpoint is harmed
	StoreFault  Kind = "store_fault"  // the store itself fails its callers

	KeyRevoked Kind = "key_revoked" // a key is taken away, another added
	Routes     Kind = "routes"      // timeouts of the routes change
	// ConfigGrow makes the configuration grow by many routes that nobody asks for, or
	// shrink again, and adds one that callers ask for. Only narrow seeds have it.
	ConfigGrow Kind = "config_grow"
	// EndpointRestart is SIGKILL, and another process soon has its name and address.
	// ListEntry is an entry of the list that somebody else writes, under a name of its own
	// or that of an endpoint, which writes its own again a second later. Only seeds with
	// strange lists have them.
	EndpointRestart Kind = "endpoint_restart"
	ListEntry       Kind = "list_entry"
	// EndpointLimit is that an endpoint names in its answers how many requests a second it
	// takes from all routers. Only seeds with limits have it.
	EndpointLimit Kind = "endpoint_limit"
	// EndpointFailing is that an endpoint fails a part of what it has read. Only seeds with
	// failing endpoints have it.
	EndpointFailing Kind = "endpoint_failing"
	// Evacuate is an order that a failure domain gets nothing, until it is removed. Only
	// seeds with evacuations have it; endpoints that start in them are cold.
	Evacuate Kind = "evacuate"
)

var kinds = []Kind{
	RouterKill, RouterStop, RouterPause, RouterReload,
	EndpointKill, EndpointPause, EndpointDrain,
	StoreWay, EndpointWay, StoreFault, KeyRevoked, Routes,
}

// Harm is what a proxy does to connections.
type Harm string

// The harms. A cut one way drops what comes back, silence drops both ways; both
// leave connections open.
const (
	HarmNone    Harm = ""
	HarmDelay   Harm = "delay"
	HarmReset   Harm = "reset"
	HarmOneWay  Harm = "one_way"
	HarmSilence Harm = "silence"
)

var harms = []Harm{HarmDelay, HarmReset, HarmOneWay, HarmSilence}

// Fault is one fault of a plan.
type Fault struct {
	At   time.Duration `json:"at"`
	Kind Kind          `json:"kind"`
	// Target numbers the router or endpoint that it strikes, modulo those there are.
	Target int           `json:"target"`
	For    time.Duration `json:"for"`
	Harm   Harm          `json:"harm,omitempty"`
}

// Times of a plan.
const (
	// calmStart is without faults, so that all programs are up and known.
	calmStart = 3 * time.Second
	// CalmEnd is without new faults, so that recovery can be judged.
	CalmEnd = 9 * time.Second
	// longestFault is longer than a list keeps an endpoint that fell silent and
	// than the bound on revoked keys.
	longestFault  = 7 * time.Second
	shortestFault = 300 * time.Millisecond
	// storeFactor makes faults of the store longer, so that some outlast the bound
	// on revoked keys, and unseenAfter is when calls that waited there have ended.
	storeFactor = 1.5
	unseenAfter = 1200 * time.Millisecond
	// meanGap is the mean time between two faults, which thereby overlap.
	meanGap = 900 * time.Millisecond
	// seriesChance is how often a fault is followed by another of its kind at once.
	seriesChance = 0.25
	// meanGrowGap is the mean time between two faults of kind ConfigGrow: some seconds,
	// as a value of a megabyte takes one over a narrow link.
	meanGrowGap = 4 * time.Second
)

// NarrowOf says whether the routers of a seed reach the store over narrow links while
// the configuration grows: the last four of eight seeds.
func NarrowOf(seed uint64) bool { return seed/4%2 == 1 }

// StrangeListOf says whether in a seed endpoints start again under their names and others
// write to the list: the third of four seeds.
func StrangeListOf(seed uint64) bool { return seed%4 == 2 }

// meanStrangeGap is the mean time between two faults of strange lists.
const meanStrangeGap = 2 * time.Second

// strangeList has random numbers of its own, as growth.
func strangeList(seed uint64, end time.Duration) []Fault {
	rnd := rand.New(rand.NewPCG(seed, 2))
	var plan []Fault
	for at := calmStart; at < end; at += time.Duration(rnd.ExpFloat64() * float64(meanStrangeGap)) {
		f := Fault{At: at, Kind: EndpointRestart, Target: rnd.IntN(1 << 16), For: shortestFault + upTo(rnd, longestFault-shortestFault)}
		if rnd.IntN(2) == 0 {
			f.Kind = ListEntry
		}
		f.For = min(f.For, end-at)
		plan = append(plan, f)
	}
	return plan
}

// EvacuatingOf says whether in a seed failure domains are evacuated and endpoints start
// cold: every second thousand of seeds, so that those below are what they were.
func EvacuatingOf(seed uint64) bool { return seed/1000%2 == 1 }

// meanEvacuateGap is the mean time between two orders to evacuate, which thereby overlap.
const meanEvacuateGap = 4 * time.Second

// evacuations has random numbers of its own, as growth.
func evacuations(seed uint64, end time.Duration) []Fault {
	rnd := rand.New(rand.NewPCG(seed, 3))
	var plan []Fault
	for at := calmStart; at < end; at += time.Duration(rnd.ExpFloat64() * float64(meanEvacuateGap)) {
		f := Fault{At: at, Kind: Evacuate, Target: rnd.IntN(1 << 16), For: shortestFault + upTo(rnd, longestFault-shortestFault)}
		f.For = min(f.For, end-at)
		plan = append(plan, f)
	}
	return plan
}

// Plan is what happens in a run of the seed that lasts so long.
func Plan(seed uint64, length time.Duration) []Fault {
	rnd := rand.New(rand.NewPCG(seed, 0))
	var plan []Fault
	end := length - CalmEnd
	for at := calmStart; at < end; at += time.Duration(rnd.ExpFloat64() * float64(meanGap)) {
		f := Fault{At: at, Kind: kinds[rnd.IntN(len(kinds))], Target: rnd.IntN(1 << 16), Harm: harms[rnd.IntN(len(harms))]}
		f.For = shortestFault + upTo(rnd, longestFault-shortestFault)
		if f.Kind == StoreFault {
			f.For = time.Duration(storeFactor * float64(f.For))
			// A key that goes while the store answers nobody, its waiting calls
			// included, must stop working although nobody can be told.
			plan = append(plan, Fault{At: min(at+unseenAfter, end), Kind: KeyRevoked})
		}
		f.For = min(f.For, end-at)
		plan = append(plan, f)
		for rnd.Float64() < seriesChance {
			f.At += upTo(rnd, f.For)
			f.Target = rnd.IntN(1 << 16)
			f.For = min(f.For, end-f.At)
			plan = append(plan, f)
		}
	}
	if NarrowOf(seed) {
		plan = append(plan, growth(seed, end)...)
	}
	if StrangeListOf(seed) {
		plan = append(plan, strangeList(seed, end)...)
	}
	if EvacuatingOf(seed) {
		plan = append(plan, evacuations(seed, end)...)
	}
	if LimitingOf(seed) {
		plan = append(plan, limiting(seed, end)...)
	}
	if FailingOf(seed) {
		plan = append(plan, failing(seed, end)...)
	}
	slices.SortStableFunc(plan, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return plan
}

// growth has random numbers of its own, so that the other faults of a seed are the same
// with and without it.
func growth(seed uint64, end time.Duration) []Fault {
	rnd := rand.New(rand.NewPCG(seed, 1))
	var plan []Fault
	for at := calmStart; at < end; at += time.Duration(rnd.ExpFloat64() * float64(meanGrowGap)) {
		plan = append(plan, Fault{At: at, Kind: ConfigGrow, Target: rnd.IntN(1 << 16)})
	}
	return plan
}

// upTo is a random time from 0 to d.
func upTo(rnd *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(rnd.Float64() * float64(d))
}
