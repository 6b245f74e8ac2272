package tiered_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"coveferry/internal/sched"
	"coveferry/internal/sched/tiered"
)

// The condition of each entry holds with its mechanism enabled and fails with it
// disabled.
var _ = DescribeTable("a mechanism has its effect",
	func(off tiered.Mechanisms, holds func(off tiered.Mechanisms) bool) {
		Expect(holds(tiered.Mechanisms{})).To(BeTrue(), "enabled")
		Expect(holds(off)).To(BeFalse(), "disabled")
	},
	Entry("fairness", tiered.Mechanisms{Fairness: true}, func(off tiered.Mechanisms) bool {
		return quietTeamStarts(off, 0) >= 4
	}),
	Entry("counter lift", tiered.Mechanisms{CounterLift: true}, func(off tiered.Mechanisms) bool {
		return quietTeamStarts(off, 50) <= 6
	}),
	Entry("start charge", tiered.Mechanisms{StartCharge: true}, func(off tiered.Mechanisms) bool {
		s := newSchedulerTest(tiered.Config{Slots: 4, Disabled: off})
		quiet := map[sched.JobID]bool{}
		for range 4 {
			s.add(0, sched.Job{Team: "busy"})
			quiet[s.add(0, sched.Job{Team: "quiet"})] = true
		}
		return countOf(s.starts(0), quiet) == 2
	}),
	Entry("reserve", tiered.Mechanisms{Reserve: true}, func(off tiered.Mechanisms) bool {
		s := newSchedulerTest(tiered.Config{Slots: 1, ReserveAfter: time.Second, Disabled: off})
		low := s.add(0, sched.Job{Tier: 1})
		return startsWithin(s, low, 2)
	}),
	Entry("oldest protection", tiered.Mechanisms{OldestProtection: true}, func(off tiered.Mechanisms) bool {
		s := newSchedulerTest(tiered.Config{Slots: 1, QueueEntries: 2, Disabled: off})
		s.offer(0, sched.Job{Tier: 1})
		s.offer(0, sched.Job{Tier: 1})
		for range 4 {
			s.offer(0, sched.Job{})
		}
		return s.Load(at(0)).Queued[1] == 1
	}),
	Entry("displacement", tiered.Mechanisms{Displacement: true}, func(off tiered.Mechanisms) bool {
		s := newSchedulerTest(tiered.Config{Slots: 1, QueueEntries: 1, Disabled: off})
		s.add(0, sched.Job{})
		s.add(0, sched.Job{Tier: 1})
		s.add(0, sched.Job{Tier: 1})
		_, v := s.offer(0, sched.Job{})
		return v.Admitted
	}),
	Entry("early refusal", tiered.Mechanisms{EarlyRefusal: true}, func(off tiered.Mechanisms) bool {
		s := newSchedulerTest(tiered.Config{Slots: 1, Disabled: off})
		s.run(0, 1000, "x", 1)
		for range 5 {
			s.add(1000, sched.Job{})
		}
		s.add(1000, sched.Job{Tier: 1})
		_, v := s.offer(1000, sched.Job{Tier: 1, Deadline: at(3000)})
		return v.Reason == sched.ReasonTooLate && v.RetryAfter > 2*time.Second
	}),
	Entry("late drop", tiered.Mechanisms{LateDrop: true}, func(off tiered.Mechanisms) bool {
		return decisionAt(off, 3500).Reason == sched.ReasonTooLate
	}),
	Entry("expiry", tiered.Mechanisms{Expiry: true}, func(off tiered.Mechanisms) bool {
		return decisionAt(off, 5000).Reason == sched.ReasonExpired
	}),
	Entry("preemption benefit", tiered.Mechanisms{PreemptionBenefit: true}, func(off tiered.Mechanisms) bool {
		s := newSchedulerTest(tiered.Config{Slots: 1, Preempt: true, Disabled: off})
		s.run(0, 100, "x", 1)
		s.add(100, sched.Job{Tier: 1, Preemptible: true})
		s.starts(100)
		s.add(100, sched.Job{FirstTokenBy: at(9000)})
		return s.Next(at(100)).Action == sched.ActionNone
	}),
	Entry("reserved protection", tiered.Mechanisms{ReservedProtection: true}, func(off tiered.Mechanisms) bool {
		s := newSchedulerTest(tiered.Config{Slots: 1, Preempt: true, ReserveAfter: 1, Disabled: off})
		s.add(0, sched.Job{Tier: 1, Preemptible: true})
		s.add(0, sched.Job{FirstTokenBy: at(500)})
		Expect(s.Next(at(1)).Action).To(Equal(sched.ActionStart))
		return s.Next(at(2)).Action == sched.ActionNone
	}),
	Entry("earmark", tiered.Mechanisms{Earmark: true}, func(off tiered.Mechanisms) bool {
		s := newSchedulerTest(tiered.Config{Slots: 1, Preempt: true, ReserveAfter: 5 * time.Millisecond, Disabled: off})
		low := s.add(0, sched.Job{Tier: 1, Preemptible: true})
		s.starts(0)
		s.add(0, sched.Job{Tier: 2})
		high := s.add(10, sched.Job{FirstTokenBy: at(500)})
		s.Next(at(10))
		s.Requeue(at(11), low)
		return s.Next(at(11)) == startOf(high)
	}),
	Entry("preemption limit", tiered.Mechanisms{PreemptionLimit: true}, func(off tiered.Mechanisms) bool {
		s := newSchedulerTest(tiered.Config{Slots: 1, Preempt: true, MaxPreemptions: 1, Disabled: off})
		low := s.add(0, sched.Job{Tier: 1, Preemptible: true})
		s.starts(0)
		high := s.add(0, sched.Job{FirstTokenBy: at(500)})
		s.starts(0)
		s.Requeue(at(1), low)
		s.starts(1)
		s.Finish(at(300), high)
		s.starts(300)
		s.add(301, sched.Job{FirstTokenBy: at(500)})
		return s.Next(at(301)).Action == sched.ActionNone
	}),
	Entry("one preemption at a time", tiered.Mechanisms{SinglePreemption: true}, func(off tiered.Mechanisms) bool {
		s := newSchedulerTest(tiered.Config{Slots: 2, Preempt: true, Disabled: off})
		s.add(0, sched.Job{Tier: 1, Preemptible: true})
		s.add(0, sched.Job{Tier: 1, Preemptible: true})
		s.starts(0)
		s.add(0, sched.Job{FirstTokenBy: at(500)})
		return s.Next(at(0)).Action == sched.ActionPreempt && s.Next(at(0)).Action == sched.ActionNone
	}),
)

// quietTeamStarts runs a busy team alone, then adds a quiet one, and returns how
// many of the next ten starts are the quiet team's, or with busyRuns 0 the busy
// team's.
func quietTeamStarts(off tiered.Mechanisms, busyRuns int) int {
	s := newSchedulerTest(tiered.Config{Slots: 1, Disabled: off})
	quiet := map[sched.JobID]bool{}
	quiet[s.add(0, sched.Job{Team: "quiet"})] = true
	runAll(s, 0)
	for range busyRuns + 20 {
		s.add(0, sched.Job{Team: "busy"})
	}
	for range busyRuns {
		runNext(s)
	}
	for range 20 {
		quiet[s.add(0, sched.Job{Team: "quiet"})] = true
	}
	var ids []sched.JobID
	for range 10 {
		ids = append(ids, runNext(s))
	}
	if busyRuns == 0 {
		return 10 - countOf(ids, quiet) // without fairness the busy team would starve
	}
	return countOf(ids, quiet)
}

// runNext runs the next job to completion with a hundred tokens.
func runNext(s *schedulerTest) sched.JobID {
	id := s.Next(at(0)).Job
	s.Tokens(at(0), id, 100)
	s.Finish(at(0), id)
	return id
}

func runAll(s *schedulerTest, ms int) {
	for s.Load(at(ms)).TotalQueued() > 0 {
		runNext(s)
	}
}

func countOf(ids []sched.JobID, in map[sched.JobID]bool) int {
	n := 0
	for _, id := range ids {
		if in[id] {
			n++
		}
	}
	return n
}

// startsWithin keeps one slot busy with one-second runs of the highest tier and
// reports whether the job starts within the given number of runs.
func startsWithin(s *schedulerTest, id sched.JobID, runs int) bool {
	s.add(0, sched.Job{})
	for i := range runs {
		s.add(i*1000, sched.Job{})
		started := s.Next(at(i * 1000)).Job
		if started == id {
			return true
		}
		s.Finish(at(i*1000+1000), started)
	}
	return s.Next(at(runs*1000)).Job == id
}

// decisionAt queues a job with a five-second deadline behind a running one, for
// a class with a measured run time of one second, and returns the decision at
// the given time.
func decisionAt(off tiered.Mechanisms, ms int) sched.Decision {
	off.LateDrop = off.LateDrop || ms >= 5000
	s := newSchedulerTest(tiered.Config{Slots: 1, Disabled: off})
	s.run(-1000, 1000, "a", 1)
	s.add(0, sched.Job{Class: "x"})
	s.starts(0)
	s.add(0, sched.Job{Deadline: at(5000)})
	return s.Next(at(ms))
}
