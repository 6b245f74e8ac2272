package schedtest_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"coveferry/internal/sched"
	"coveferry/internal/sched/fifo"
	"coveferry/internal/sched/schedtest"
	"coveferry/internal/sched/tiered"
)

const (
	overloadSlots = 16
	overloadTime  = 5 * time.Minute
)

// trafficClass is a class of a traffic mix. Its index in the mix is its tier.
type trafficClass struct {
	class                string
	share                float64 // share of the endpoint's slot time at load 1
	run                  time.Duration
	tokens               int
	firstToken, deadline time.Duration
}

// registryMix is modelled on the registry's traffic: receipts, queries and
// reviews, which together use the whole capacity.
var registryMix = []trafficClass{
	{"receipt", 0.2, 400 * time.Millisecond, 20, 300 * time.Millisecond, 3 * time.Second},
	{"query", 0.4, 4 * time.Second, 200, 2 * time.Second, 15 * time.Second},
	{"review", 0.4, 12 * time.Second, 600, 10 * time.Second, 90 * time.Second},
}

// arrivals generates the mix at a multiple of the capacity, with Poisson
// arrivals and exponential run times.
func arrivals(mix []trafficClass, load float64, seed uint64) []schedtest.SimJob {
	rnd := rand.New(rand.NewPCG(seed, 0))
	next := make([]time.Time, len(mix))
	draw := func(i int) {
		gap := float64(mix[i].run) / (mix[i].share * load * overloadSlots)
		next[i] = next[i].Add(time.Duration(rnd.ExpFloat64() * gap))
	}
	for i := range next {
		next[i] = epoch
		draw(i)
	}
	var work []schedtest.SimJob
	for {
		first := 0
		for i := range next {
			if next[i].Before(next[first]) {
				first = i
			}
		}
		if next[first].Sub(epoch) > overloadTime {
			return work
		}
		work = append(work, newSimJob(mix[first], first, next[first], rnd, len(work)+1))
		draw(first)
	}
}

func newSimJob(k trafficClass, tier int, at time.Time, rnd *rand.Rand, id int) schedtest.SimJob {
	length := rnd.ExpFloat64()
	return schedtest.SimJob{
		Job: sched.Job{
			ID: sched.JobID(id), Team: fmt.Sprint("team", rnd.IntN(5)), Class: k.class, Tier: tier,
			FirstTokenBy: at.Add(k.firstToken), Deadline: at.Add(k.deadline), Preemptible: true,
		},
		At:      at,
		RunTime: time.Duration(length * float64(k.run)),
		Tokens:  1 + int(length*float64(k.tokens)),
	}
}

// BenchmarkOverload compares policies under the same arrivals. It reports for
// each tier the share of first tokens on target and the answers per second that
// met their deadline, and the share of slot time spent on answers that didn't.
func BenchmarkOverload(b *testing.B) {
	policies := map[string]func() sched.Policy{
		"fifo": func() sched.Policy { return fifo.New(fifo.Config{Slots: overloadSlots, QueueEntries: 200}) },
	}
	add := func(name string, cfg tiered.Config) {
		cfg.Slots, cfg.QueueEntries = overloadSlots, 200
		policies[name] = func() sched.Policy { return tiered.New(cfg) }
	}
	for _, share := range []float64{0.01, 0.02, 0.05, 0.1, 0.2} {
		add(fmt.Sprint("share=", share), tiered.Config{Preempt: true, ReserveShare: share})
	}
	add("reserve=off", tiered.Config{Preempt: true, Disabled: tiered.Mechanisms{Reserve: true}})
	for _, maxPreemptions := range []int{1, 2, 5} {
		add(fmt.Sprint("preemptions=", maxPreemptions), tiered.Config{Preempt: true, MaxPreemptions: maxPreemptions})
	}
	add("preempt=off", tiered.Config{})
	add("refuselate=on", tiered.Config{Preempt: true, RefuseLateFirstToken: true})
	add("latedrop=off", tiered.Config{Preempt: true, Disabled: tiered.Mechanisms{LateDrop: true}})
	add("earlyrefusal=off", tiered.Config{Preempt: true, Disabled: tiered.Mechanisms{EarlyRefusal: true}})
	for _, load := range []float64{1, 2} {
		for name, policy := range policies {
			b.Run(fmt.Sprintf("load=%v/%s", load, name), func(b *testing.B) { reportOverload(b, policy, load) })
		}
	}
}

func reportOverload(b *testing.B, policy func() sched.Policy, load float64) {
	var offered, inTime, useful [3]float64
	var used, wasted float64
	for b.Loop() {
		for seed := range uint64(3) {
			e := schedtest.Engine{Policy: policy(), Prefill: 100 * time.Millisecond, PreemptionDuration: 20 * time.Millisecond}
			for _, r := range e.Simulate(arrivals(registryMix, load, seed), epoch.Add(2*overloadTime)) {
				offered[r.Job.Tier]++
				if r.MetTarget() {
					inTime[r.Job.Tier]++
				}
				used += r.SlotTime.Seconds()
				if r.MetDeadline() {
					useful[r.Job.Tier]++
				} else {
					wasted += r.SlotTime.Seconds()
				}
			}
		}
	}
	for tier := range offered {
		b.ReportMetric(inTime[tier]/offered[tier], fmt.Sprintf("attained%d", tier))
		b.ReportMetric(useful[tier]/float64(b.N)/3/overloadTime.Seconds(), fmt.Sprintf("useful%d/s", tier))
	}
	b.ReportMetric(wasted/used, "wasted")
}
