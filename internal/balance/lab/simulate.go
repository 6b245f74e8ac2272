package lab

import (
	"slices"
	"time"

	"coveferry/internal/balance"
)

// Outcome holds the results of one simulation.
type Outcome struct {
	// Mean and P99 are statistics of the time to first token.
	Mean, P99 time.Duration
	// AttainedShare is the share of each tier's requests whose time to first token met the
	// target.
	AttainedShare [2]float64
	// SlowShare and SecondShare are the shares of the requests that slow servers ran and that were
	// queued at two servers.
	SlowShare, SecondShare float64
}

// Simulate runs n requests with a variant and a delay of the load reports.
func Simulate(v Variant, lag time.Duration, n int, seed uint64) Outcome {
	s := newSim(v, lag, seed)
	s.run(n)
	all := slices.Concat(s.waits[0], s.waits[1])
	slices.Sort(all)
	o := Outcome{P99: all[len(all)*99/100], SlowShare: float64(s.ranOnSlow) / float64(len(all)), SecondShare: float64(s.queuedAtTwo) / float64(len(all))}
	for _, w := range all {
		o.Mean += w / time.Duration(len(all))
	}
	for tier, waits := range s.waits {
		within := 0
		for _, w := range waits {
			if w <= ttftTarget {
				within++
			}
		}
		o.AttainedShare[tier] = float64(within) / float64(len(waits))
	}
	return o
}

func sharedPolicy(p balance.Policy) func() balance.Policy {
	return func() balance.Policy { return p }
}

// Variants are the compared configurations; the last one is the default of the product.
var Variants = []Variant{
	{Name: "round-robin", Policy: func() balance.Policy { return &balance.RoundRobin{} }},
	{Name: "random", Policy: sharedPolicy(balance.Random{})},
	{Name: "least-loaded", Policy: sharedPolicy(balance.LeastLoaded{})},
	{Name: "power-of-two", Policy: sharedPolicy(balance.PowerOfTwo{})},
	{Name: "hot-cold, 5 draws", Policy: sharedPolicy(balance.HotCold{Draws: 5, HotQuantile: 0.84})},
	{Name: "power-of-two, late binding", Policy: sharedPolicy(balance.PowerOfTwo{}), LateBinding: true, LateBindingThreshold: -1},
	{Name: "power-of-two, shedding", Policy: sharedPolicy(balance.PowerOfTwo{}), OutlierDetection: true},
	{Name: "load-aware, no shedding", Policy: sharedPolicy(balance.LoadAware{})},
	{Name: "load-aware, no prefix", Policy: sharedPolicy(balance.LoadAware{PrefixSaving: -1}), OutlierDetection: true},
	{Name: "load-aware, no decay", Policy: sharedPolicy(balance.LoadAware{HalfLife: time.Hour}), OutlierDetection: true},
	{Name: "load-aware, 2 draws", Policy: sharedPolicy(balance.LoadAware{Draws: 2}), OutlierDetection: true},
	{Name: "load-aware, 3 draws", Policy: sharedPolicy(balance.LoadAware{Draws: 3}), OutlierDetection: true},
	{Name: "load-aware, 10 draws", Policy: sharedPolicy(balance.LoadAware{Draws: 10}), OutlierDetection: true},
	{Name: "load-aware", Policy: sharedPolicy(balance.LoadAware{}), OutlierDetection: true},
	{Name: "late binding, no shedding", Policy: sharedPolicy(balance.LoadAware{}), LateBinding: true},
	{Name: "late binding, 2 draws", Policy: sharedPolicy(balance.LoadAware{Draws: 2}), OutlierDetection: true, LateBinding: true},
	{Name: "late binding, 3 draws", Policy: sharedPolicy(balance.LoadAware{Draws: 3}), OutlierDetection: true, LateBinding: true},
	{Name: "late binding, always two", Policy: sharedPolicy(balance.LoadAware{}), OutlierDetection: true, LateBinding: true, LateBindingThreshold: -1},
	{Name: "load-aware with late binding", Policy: sharedPolicy(balance.LoadAware{}), OutlierDetection: true, LateBinding: true},
}
