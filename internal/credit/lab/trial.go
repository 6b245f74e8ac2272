// Package lab simulates the owner and holders of a team's limits in virtual time,
// with skewed demand, a failing owner and a partition. Only tests use it; run
//
//	go test ./internal/credit/lab -run Table -v -table
//
// to print the table of docs/design/0004-overload-control.md.
package lab

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"coveferry/internal/credit"
)

const (
	tick        = 10 * time.Millisecond
	oneWayDelay = 5 * time.Millisecond // of a request or a grant
	// Rate is the limit in trials of rates, in units per second.
	Rate = 1000.0
	// Length is the duration of a trial.
	Length = 12 * time.Second

	faultDelay     = 2 * time.Second // before a fault
	detectionDelay = 2 * time.Second // until routers detect a fault
	// skewedShare is the share of the demand at one holder if the demand is
	// skewed, and totalDemand the demand at all holders as a multiple of the
	// limit.
	skewedShare = 0.8
	totalDemand = 2.0
	// higherTierDemand is the demand of the higher tier in a trial with tiers, as
	// a multiple of the limit.
	higherTierDemand = 0.6
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Fault is the fault injected after faultDelay.
type Fault int

// The faults.
const (
	NoFault Fault = iota
	OwnerFails
	// Partition cuts the connection between the owner and a third of the holders.
	Partition
)

// Trial describes one run.
type Trial struct {
	Holders int
	Skewed  bool
	// Tiers gives every second holder requests of a higher tier, evenly, and the
	// others requests of a lower one.
	Tiers bool
	Fault Fault
	// Undetected means that the owner never detects a partition.
	Undetected bool
	Seed       uint64
}

// RateResult is the result of a trial of a rate limit.
type RateResult struct {
	Admitted float64
	// Wanted is the demand of the highest tier, and Served the part admitted.
	Wanted, Served float64
	// Excess is the largest number of units above the rate in any interval.
	Excess float64
}

// Rates simulates a rate limit.
func (tr Trial) Rates() RateResult {
	rnd := rand.New(rand.NewPCG(tr.Seed, 0))
	cfg := credit.Config{Rate: Rate}
	holders := make([]*credit.Holder, tr.Holders)
	for i := range holders {
		holders[i] = credit.NewHolder(fmt.Sprint(i), tr.Holders, cfg)
	}
	owner := credit.NewOwner(epoch, cfg)
	grants, grantAt := make([]credit.Grant, tr.Holders), make([]time.Time, tr.Holders)
	var r RateResult
	excess := 0.0
	for now := epoch; now.Sub(epoch) < Length; now = now.Add(tick) {
		since := now.Sub(epoch) - faultDelay
		if since == detectionDelay && tr.Fault == OwnerFails {
			owner = credit.NewOwner(now, cfg)
		}
		if since == detectionDelay && tr.Fault == Partition && !tr.Undetected {
			owner.SetReachable(now, tr.Holders-tr.partitioned(), tr.Holders)
		}
		admitted := 0.0
		for i, h := range holders {
			n := tr.demand(i, rnd)
			got := spendUnits(h, now, tr.tier(i), n)
			admitted += got
			if tr.tier(i) == 0 {
				r.Wanted += float64(n)
				r.Served += got
			}
			if a, ok := h.NextRequest(now); ok && tr.reaches(i, since) {
				grants[i], grantAt[i] = owner.Grant(now, a), now.Add(2*oneWayDelay)
			}
			if now.Equal(grantAt[i]) {
				h.ApplyGrant(now, grants[i])
			}
		}
		r.Admitted += admitted
		excess = max(0, excess+admitted-Rate*tick.Seconds())
		r.Excess = max(r.Excess, excess)
	}
	return r
}

// partitioned returns the number of holders that a partition cuts off.
func (tr Trial) partitioned() int { return tr.Holders / 3 }

func (tr Trial) reaches(holder int, since time.Duration) bool {
	switch {
	case since < 0 || tr.Fault == NoFault:
		return true
	case tr.Fault == OwnerFails:
		return since >= detectionDelay
	default:
		return holder >= tr.partitioned()
	}
}

// tier returns the tier of the requests at a holder.
func (tr Trial) tier(holder int) int {
	if !tr.Tiers {
		return 0
	}
	return 1 - holder%2
}

// demand returns the number of units that a holder wants in one tick.
func (tr Trial) demand(holder int, rnd *rand.Rand) int {
	return int(math.Floor(tr.demandShare(holder)*Rate*tick.Seconds() + rnd.Float64()))
}

// demandShare returns the demand of a holder as a multiple of the limit.
func (tr Trial) demandShare(holder int) float64 {
	n := float64(tr.Holders)
	switch {
	case tr.Tiers && tr.tier(holder) == 0:
		return higherTierDemand / (n / 2)
	case tr.Tiers:
		return totalDemand / (n / 2)
	case !tr.Skewed:
		return totalDemand / n
	case holder == tr.Holders-1:
		return totalDemand * skewedShare
	default:
		return totalDemand * (1 - skewedShare) / (n - 1)
	}
}

func spendUnits(h *credit.Holder, now time.Time, tier, n int) float64 {
	got := 0.0
	for range n {
		if h.TrySpend(now, tier, 1) {
			got++
		}
	}
	return got
}

// Allowance returns the number of units above the rate that the documented bound
// allows in any interval.
func (tr Trial) Allowance() float64 {
	bound := Rate * (time.Second + 250*time.Millisecond).Seconds()
	if tr.Fault == Partition {
		// Until the fault is detected, the cut-off holders use fair shares that
		// the owner also leases out.
		bound += Rate*detectionDelay.Seconds()/3 + float64(tr.Holders)
	}
	return bound
}
