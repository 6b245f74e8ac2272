package tiered_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"coveferry/internal/sched"
	"coveferry/internal/sched/drain"
	"coveferry/internal/sched/tiered"
)

func TestTiered(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "tiered")
}

var epoch = time.Unix(1_000_000, 0)

// at returns the time the given number of milliseconds after the epoch.
func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// schedulerTest wraps a scheduler with helpers that call it step by step.
type schedulerTest struct {
	*tiered.Scheduler
	lastID sched.JobID
}

func newSchedulerTest(cfg tiered.Config) *schedulerTest {
	if cfg.ReserveAfter == 0 {
		cfg.ReserveAfter = time.Hour // effectively disables the reserve
	}
	return &schedulerTest{Scheduler: tiered.New(cfg)}
}

// offer offers a job. Unless j sets them, the team is "t" and the class is named
// after the tier.
func (s *schedulerTest) offer(ms int, j sched.Job) (sched.JobID, sched.Verdict) {
	s.lastID++
	j.ID = s.lastID
	if j.Team == "" {
		j.Team = "t"
	}
	if j.Class == "" {
		j.Class = string(rune('a' + j.Tier))
	}
	return j.ID, s.Offer(at(ms), j)
}

// add offers a job that must be admitted.
func (s *schedulerTest) add(ms int, j sched.Job) sched.JobID {
	GinkgoHelper()
	id, v := s.offer(ms, j)
	Expect(v).To(Equal(sched.Verdict{Admitted: true}))
	return id
}

// starts carries out decisions until there are none and returns the started
// jobs.
func (s *schedulerTest) starts(ms int) []sched.JobID {
	var ids []sched.JobID
	for d := s.Next(at(ms)); d.Action != sched.ActionNone; d = s.Next(at(ms)) {
		if d.Action == sched.ActionStart {
			ids = append(ids, d.Job)
		}
	}
	return ids
}

// run offers a job of the class and runs it to completion.
func (s *schedulerTest) run(ms, duration int, class string, tokens int) {
	GinkgoHelper()
	id := s.add(ms, sched.Job{Class: class})
	Expect(s.starts(ms)).To(ContainElement(id))
	s.Tokens(at(ms+duration/2), id, tokens)
	s.Finish(at(ms+duration), id)
}

func startOf(id sched.JobID) sched.Decision {
	return sched.Decision{Action: sched.ActionStart, Job: id}
}

var _ = Describe("the order", func() {
	It("goes by tier, then by deadline within a team, then by arrival", func() {
		s := newSchedulerTest(tiered.Config{Slots: 1})
		low := s.add(0, sched.Job{Tier: 1, Deadline: at(100)})
		noDeadline := s.add(0, sched.Job{})
		later := s.add(0, sched.Job{Deadline: at(900)})
		sooner := s.add(0, sched.Job{Deadline: at(500)})
		for _, id := range []sched.JobID{sooner, later, noDeadline, low} {
			Expect(s.starts(1)).To(Equal([]sched.JobID{id}))
			s.Finish(at(1), id)
		}
	})

	It("returns a requeued job to its original position and never drops it", func() {
		s := newSchedulerTest(tiered.Config{Slots: 1, Preempt: true})
		low := s.add(0, sched.Job{Tier: 1, Preemptible: true, Deadline: at(50)})
		Expect(s.starts(0)).To(Equal([]sched.JobID{low}))
		s.add(1, sched.Job{Tier: 1, Deadline: at(50)})
		high := s.add(2, sched.Job{FirstTokenBy: at(20)})
		Expect(s.Next(at(2))).To(Equal(sched.Decision{Action: sched.ActionPreempt, Job: low}))
		Expect(s.starts(3)).To(BeEmpty(), "the slot isn't free yet")
		s.Requeue(at(4), low)
		Expect(s.starts(4)).To(Equal([]sched.JobID{high}))
		s.Finish(at(60), high)
		Expect(s.Next(at(60)).Reason).To(Equal(sched.ReasonExpired), "the job that had never started")
		Expect(s.Next(at(60))).To(Equal(startOf(low)))
	})

	It("preempts the job of the lowest tier with the fewest produced tokens", func() {
		s := newSchedulerTest(tiered.Config{Slots: 4, Preempt: true})
		var ids []sched.JobID
		for _, tier := range []int{1, 2, 2, 2} {
			ids = append(ids, s.add(0, sched.Job{Tier: tier, Preemptible: true}))
		}
		Expect(s.starts(0)).To(HaveLen(4))
		s.Tokens(at(1), ids[1], 9)
		s.Tokens(at(1), ids[2], 3)
		s.Tokens(at(1), ids[3], 5)
		s.add(2, sched.Job{FirstTokenBy: at(20)})
		Expect(s.Next(at(2)).Job).To(Equal(ids[2]))
	})
})

var _ = Describe("admission", func() {
	It("clamps retry times to a minimum and a maximum", func() {
		s := newSchedulerTest(tiered.Config{Slots: 1, QueueEntries: 1})
		retryAfterRefusal := func(ms int) time.Duration {
			s.offer(ms, sched.Job{})
			s.offer(ms, sched.Job{})
			s.offer(ms, sched.Job{})
			_, v := s.offer(ms, sched.Job{})
			Expect(v.Reason).To(Equal(sched.ReasonQueueFull))
			return v.RetryAfter
		}
		Expect(retryAfterRefusal(0)).To(Equal(time.Second), "no measurement yet")
		for ms := range 200 {
			for _, id := range s.starts(ms) {
				s.add(ms, sched.Job{Class: "x"})
				s.Finish(at(ms+1), id)
			}
		}
		Expect(retryAfterRefusal(200)).To(Equal(drain.MinRetryAfter))
		s.starts(200)
		Expect(retryAfterRefusal(200_000)).To(Equal(drain.MaxRetryAfter))
	})

	It("admits any job until a drain rate has been measured", func() {
		s := newSchedulerTest(tiered.Config{Slots: 1})
		for range 50 {
			s.add(0, sched.Job{Deadline: at(10)})
		}
	})

	It("refuses a late first token only if configured", func() {
		for _, refuseLate := range []bool{false, true} {
			s := newSchedulerTest(tiered.Config{Slots: 1, RefuseLateFirstToken: refuseLate})
			s.run(0, 1000, "x", 1)
			s.add(1000, sched.Job{})
			s.add(1000, sched.Job{Tier: 1})
			_, v := s.offer(1000, sched.Job{Tier: 1, FirstTokenBy: at(1500), Deadline: at(60_000)})
			Expect(v.Admitted).To(Equal(!refuseLate))
		}
	})

	It("displaces by bytes, and none if that isn't enough", func() {
		s := newSchedulerTest(tiered.Config{Slots: 1, QueueBytes: 10})
		s.add(0, sched.Job{Class: "x"})
		s.add(0, sched.Job{Tier: 1})
		s.add(0, sched.Job{Class: "x", Bytes: 4})
		older := s.add(0, sched.Job{Tier: 1, Bytes: 3})
		newer := s.add(0, sched.Job{Tier: 1, Bytes: 3})
		_, v := s.offer(0, sched.Job{Class: "x", Bytes: 7})
		Expect(v.Reason).To(Equal(sched.ReasonQueueFull))
		Expect(s.Load(at(0)).Queued[1]).To(Equal(3))
		s.add(0, sched.Job{Class: "x", Bytes: 6})
		Expect(s.Next(at(0))).To(Equal(sched.Decision{
			Action: sched.ActionDrop, Job: newer, Reason: sched.ReasonDisplaced, RetryAfter: time.Second,
		}))
		s.Finish(at(0), older)
		Expect(s.Next(at(0)).Action).To(Equal(sched.ActionStart), "a job finished before its drop isn't dropped")
	})

	It("requests a wakeup to drop a late job and to preempt in time", func() {
		s := newSchedulerTest(tiered.Config{Slots: 1, Preempt: true})
		Expect(s.Wake()).To(BeZero())
		s.run(0, 100, "x", 1)
		low := s.add(100, sched.Job{Tier: 1, Preemptible: true})
		Expect(s.starts(100)).To(HaveLen(1))
		s.add(100, sched.Job{Deadline: at(5000), FirstTokenBy: at(4000)})
		Expect(s.starts(100)).To(BeEmpty())
		Expect(s.Wake()).To(BeTemporally("~", at(3900), 10*time.Millisecond))
		Expect(s.Next(s.Wake()).Action).To(Equal(sched.ActionPreempt))
		Expect(s.Wake()).To(Equal(at(5000)))
		s.Finish(at(5000), low)
		Expect(s.Next(at(5000)).Reason).To(Equal(sched.ReasonExpired))
	})
})
