package lab

import (
	"fmt"
	"math/rand/v2"
	"time"

	"coveferry/internal/credit"
)

const (
	// Limit is the limit in trials of concurrency.
	Limit = 64

	minRunTicks   = 2 // run time of a request in ticks
	maxRunTicks   = 200
	startsPerTick = 2               // attempts to start a request, per tick and holder
	settleTime    = 4 * time.Second // after the fault is detected
)

// PermitResult is the number of concurrent requests in a trial of concurrency:
// the maximum, the maximum after settleTime, and the mean.
type PermitResult struct {
	Peak, Settled int
	Mean          float64
}

// Permits simulates a concurrency limit whose holders always want more permits.
func (tr Trial) Permits() PermitResult {
	rnd := rand.New(rand.NewPCG(tr.Seed, 0))
	cfg := credit.PermitConfig{Limit: Limit}
	newOwner := func(now time.Time) *credit.PermitOwner {
		owner := credit.NewPermitOwner(now, cfg)
		owner.SetReachable(tr.Holders, tr.Holders)
		return owner
	}
	owner := newOwner(epoch)
	holders := make([]*credit.PermitHolder, tr.Holders)
	for i := range holders {
		holders[i] = credit.NewPermitHolder(fmt.Sprint(i), tr.Holders, cfg)
	}
	grants, grantAt := make([]credit.PermitGrant, tr.Holders), make([]time.Time, tr.Holders)
	ending := make(map[time.Time][]int) // holders whose requests end
	count := 0
	var r PermitResult
	for now := epoch; now.Sub(epoch) < Length; now = now.Add(tick) {
		since := now.Sub(epoch) - faultDelay
		if since == detectionDelay && tr.Fault == OwnerFails {
			owner = newOwner(now)
		}
		if since == detectionDelay && tr.Fault == Partition {
			owner.SetReachable(tr.Holders-tr.partitioned(), tr.Holders)
		}
		for _, i := range ending[now] {
			holders[i].End(0)
		}
		count -= len(ending[now])
		delete(ending, now)
		for i, h := range holders {
			for range startsPerTick {
				if h.Start(now, 0) {
					end := now.Add(time.Duration(minRunTicks+rnd.IntN(maxRunTicks-minRunTicks)) * tick)
					ending[end] = append(ending[end], i)
					count++
				}
			}
			if a, ok := h.NextRequest(now); ok && tr.reaches(i, since) {
				grants[i], grantAt[i] = owner.Grant(now, a), now.Add(2*oneWayDelay)
			}
			if now.Equal(grantAt[i]) {
				h.ApplyGrant(now, grants[i])
			}
		}
		r.record(count, since)
	}
	return r
}

func (r *PermitResult) record(count int, since time.Duration) {
	r.Peak = max(r.Peak, count)
	if since > detectionDelay+settleTime {
		r.Settled = max(r.Settled, count)
	}
	r.Mean += float64(count) * tick.Seconds() / Length.Seconds()
}
