package soak

import (
	"context"
	"math/rand/v2"
	"time"
)

// HasReturns reports whether the store comes back from older copies in the runs of a seed: every second
// block of 32000 seeds.
func HasReturns(seed uint64) bool { return seed/32000%2 == 1 }

const (
	// meanReturnGap is the mean time between two returns.
	meanReturnGap = 5 * time.Second
	// longestAway is the longest time for which the store is away before it returns, and
	// oldestCopy the age of the oldest copy that it returns from.
	longestAway = 1500 * time.Millisecond
	oldestCopy  = 5 * time.Second
	// longestRewrite is the longest time until what was lost is written again.
	longestRewrite = 1500 * time.Millisecond
)

// returns uses its own random source, like growth.
func returns(seed uint64, end time.Duration) []Fault {
	rnd := rand.New(rand.NewPCG(seed, 7))
	var plan []Fault
	for at := faultFreeStart; at < end; at += time.Duration(rnd.ExpFloat64() * float64(meanReturnGap)) {
		f := Fault{At: at, Kind: StoreReturn, Target: rnd.IntN(1 << 16), NetFault: netFaults[rnd.IntN(len(netFaults))], Duration: randomDuration(rnd, longestAway)}
		f.Duration = min(f.Duration, end-at)
		plan = append(plan, f)
	}
	return plan
}

// returnStore has the store be away and come back from an older copy, with or without refusing watches
// from lost revisions; now and then without having been away, so that open watches go on.
func (r *run) returnStore(ctx context.Context, f Fault) {
	rnd := rand.New(rand.NewPCG(r.opts.Seed, uint64(f.Target)))
	away := rnd.IntN(4) > 0
	if away {
		r.wire.FailStore(f.NetFault)
		sleepUntil(ctx, time.Now().Add(f.Duration))
	}
	r.wire.GoBack(randomDuration(rnd, oldestCopy), rnd.IntN(2) == 0)
	if away {
		r.wire.FailStore(NetFaultNone)
	}
	sleepUntil(ctx, time.Now().Add(randomDuration(rnd, longestRewrite)))
	r.wire.WriteAgain()
}
