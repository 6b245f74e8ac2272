package schedtest_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"coveferry/internal/sched"
	"coveferry/internal/sched/schedtest"
	"coveferry/internal/sched/tiered"
)

const longestRun = 2 * time.Second

// flood generates one class for each tier, each of which alone exceeds the
// capacity of the slots.
func flood(pick chooser, tiers, slots int, duration time.Duration) []schedtest.SimJob {
	var work []schedtest.SimJob
	every := longestRun / time.Duration(4*slots)
	for now := time.Duration(0); now < duration; now += every {
		for tier := range tiers {
			work = append(work, schedtest.SimJob{
				Job: sched.Job{
					ID:           sched.JobID(len(work) + 1),
					Team:         fmt.Sprint("team", pick(2)),
					Class:        fmt.Sprint("class", tier),
					Tier:         tier,
					FirstTokenBy: epoch.Add(now + time.Duration(pick(3000))*time.Millisecond),
					Preemptible:  pick(2) == 0,
				},
				At:      epoch.Add(now),
				RunTime: longestRun * time.Duration(1+pick(8)) / 8,
				Tokens:  1 + pick(400),
			})
		}
	}
	return work
}

// starvationBound returns the bound on the time that a class goes without
// service, as stated in docs/design/0002-scheduling.md.
func starvationBound(cfg tiered.Config, classes, tiers int, run time.Duration) time.Duration {
	slotWait := run
	if cfg.Preempt {
		slotWait = time.Duration(tiers) * run
	}
	share := min(1, cfg.ReserveShare*float64(cfg.Slots))
	perClass := time.Duration(float64(run)/share) + slotWait
	return cfg.ReserveAfter + time.Duration(classes)*perClass
}

// longestUnserved returns the longest time in which a class's oldest waiting job
// wasn't started.
func longestUnserved(runs []*schedtest.Run, classes int, until time.Time) time.Duration {
	var longest time.Duration
	for c := range classes {
		lastServed := epoch
		for _, r := range runs {
			if r.Job.Class != fmt.Sprint("class", c) || !r.Verdict.Admitted || r.Dropped != "" {
				continue // a displaced job was never the oldest of its class
			}
			// In order of arrival, each job is the oldest once all earlier ones
			// have started.
			started := r.Started
			if started.IsZero() {
				started = until
			}
			longest = max(longest, started.Sub(lastServed))
			lastServed = maxTime(lastServed, started)
		}
	}
	return longest
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// measureStarvation floods an engine and returns the longest time that a class
// went without service, and its bound.
func measureStarvation(pick chooser, off tiered.Mechanisms) (got, limit time.Duration) {
	const tiers = 3
	cfg := tiered.Config{
		Slots: 1 + pick(4), Preempt: pick(2) == 0, QueueEntries: 1 + pick(50), MaxPreemptions: 2,
		ReserveShare: []float64{0.1, 0.3}[pick(2)], ReserveAfter: time.Second, Disabled: off,
	}
	e := schedtest.Engine{Policy: tiered.New(cfg), Prefill: 50 * time.Millisecond, PreemptionDuration: 20 * time.Millisecond}
	slotTime := longestRun + e.Prefill + e.PreemptionDuration + time.Millisecond
	limit = starvationBound(cfg, tiers, tiers, slotTime)
	duration := 2 * limit
	runs := e.Simulate(flood(pick, tiers, cfg.Slots, duration), epoch.Add(duration))
	return longestUnserved(runs, tiers, epoch.Add(duration)), limit
}

// TestStarvationBoundUnderSustainedLoad checks that no class exceeds the
// starvation bound under sustained load of higher tiers, and that the bound
// fails without the reserve.
func TestStarvationBoundUnderSustainedLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		got, limit := measureStarvation(fromSeed(seed), tiered.Mechanisms{})
		if got > limit {
			t.Fatalf("a class went without service for %v, bound %v", got, limit)
		}
	})
	got, limit := measureStarvation(fromSeed(1), tiered.Mechanisms{Reserve: true})
	NewWithT(t).Expect(got).To(BeNumerically(">", limit), "without the reserve")
}

// fromSeed returns a fast source of choices for long runs.
func fromSeed(seed uint64) chooser {
	return func(limit int) int {
		seed = seed*6364136223846793005 + 1442695040888963407
		return int(seed >> 33 % uint64(limit))
	}
}

// measureUnfairness runs two teams of one tier that always have waiting jobs and
// returns the largest difference in tokens served, and its bound.
func measureUnfairness(pick chooser, off tiered.Mechanisms) (got, limit int) {
	const longest = 400
	slots := 1 + pick(4)
	off.Reserve = true
	work := flood(pick, 1, slots, time.Minute)
	for i := range work {
		work[i].Job.Team = fmt.Sprint("team", i%2)
	}
	served := map[string]int{}
	seen := map[sched.JobID]int{}
	e := schedtest.Engine{Policy: tiered.New(tiered.Config{Slots: slots, Disabled: off})}
	e.Observe = func(_ time.Time, running []*schedtest.Run) {
		for _, r := range running {
			served[r.Job.Team] += r.Produced - seen[r.Job.ID]
			seen[r.Job.ID] = r.Produced
		}
		got = max(got, served["team0"]-served["team1"], served["team1"]-served["team0"])
	}
	e.Simulate(work, epoch.Add(time.Minute))
	return got, (3*slots + 1) * longest
}

// TestBusyTeamsGetEqualShares checks the bound on the difference in tokens
// served to two busy teams, and that it fails without fairness.
func TestBusyTeamsGetEqualShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		got, limit := measureUnfairness(fromSeed(rapid.Uint64().Draw(t, "seed")), tiered.Mechanisms{})
		if got > limit {
			t.Fatalf("the teams are %d tokens apart, bound %d", got, limit)
		}
	})
	got, limit := measureUnfairness(fromSeed(1), tiered.Mechanisms{Fairness: true})
	NewWithT(t).Expect(got).To(BeNumerically(">", limit), "without fairness")
}
