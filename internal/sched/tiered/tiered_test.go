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
func (b *schedulerTest) offer(ms int, j sched.Job) (sched.JobID, sched.Verdict) {
	b.lastID++
	j.ID = b.lastID
	if j.Team == "" {
		j.Team = "t"
	}
	if j.Class == "" {
		j.Class = string(rune('a' + j.Tier))
	}
	return j.ID, b.Offer(at(ms), j)
}

// add offers a job that must be admitted.
func (b *schedulerTest) add(ms int, j sched.Job) sched.JobID {
	GinkgoHelper()
	id, v := b.offer(ms, j)
	Expect(v).To(Equal(sched.Verdict{Admitted: true}))
	return id
}

// starts carries out decisions until there are none and returns the started
// jobs.
func (b *schedulerTest) starts(ms int) []sched.JobID {
	var ids []sched.JobID
	for d := b.Next(at(ms)); d.Action != sched.ActionNone; d = b.Next(at(ms)) {
		if d.Action == sched.ActionStart {
			ids = append(ids, d.Job)
		}
	}
	return ids
}

// run offers a job of the class and runs it to completion.
func (b *schedulerTest) run(ms, duration int, class string, tokens int) {
	GinkgoHelper()
	id := b.add(ms, sched.Job{Class: class})
	Expect(b.starts(ms)).To(ContainElement(id))
	b.Tokens(at(ms+duration/2), id, tokens)
	b.Finish(at(ms+duration), id)
}

func startOf(id sched.JobID) sched.Decision {
	return sched.Decision{Action: sched.ActionStart, Job: id}
}

var _ = Describe("the order", func() {
	It("goes by tier, then by deadline within a team, then by arrival", func() {
		b := newSchedulerTest(tiered.Config{Slots: 1})
		low := b.add(0, sched.Job{Tier: 1, Deadline: at(100)})
		noDeadline := b.add(0, sched.Job{})
		later := b.add(0, sched.Job{Deadline: at(900)})
		sooner := b.add(0, sched.Job{Deadline: at(500)})
		for _, id := range []sched.JobID{sooner, later, noDeadline, low} {
			Expect(b.starts(1)).To(Equal([]sched.JobID{id}))
			b.Finish(at(1), id)
		}
	})

	It("returns a requeued job to its original position and never drops it", func() {
		b := newSchedulerTest(tiered.Config{Slots: 1, Preempt: true})
		low := b.add(0, sched.Job{Tier: 1, Preemptible: true, Deadline: at(50)})
		Expect(b.starts(0)).To(Equal([]sched.JobID{low}))
		b.add(1, sched.Job{Tier: 1, Deadline: at(50)})
		high := b.add(2, sched.Job{FirstTokenBy: at(20)})
		Expect(b.Next(at(2))).To(Equal(sched.Decision{Action: sched.ActionPreempt, Job: low}))
		Expect(b.starts(3)).To(BeEmpty(), "the slot isn't free yet")
		b.Requeue(at(4), low)
		Expect(b.starts(4)).To(Equal([]sched.JobID{high}))
		b.Finish(at(60), high)
		Expect(b.Next(at(60)).Reason).To(Equal(sched.ReasonExpired), "the job that had never started")
		Expect(b.Next(at(60))).To(Equal(startOf(low)))
	})

	It("preempts the job of the lowest tier with the fewest produced tokens", func() {
		b := newSchedulerTest(tiered.Config{Slots: 4, Preempt: true})
		var ids []sched.JobID
		for _, tier := range []int{1, 2, 2, 2} {
			ids = append(ids, b.add(0, sched.Job{Tier: tier, Preemptible: true}))
		}
		Expect(b.starts(0)).To(HaveLen(4))
		b.Tokens(at(1), ids[1], 9)
		b.Tokens(at(1), ids[2], 3)
		b.Tokens(at(1), ids[3], 5)
		b.add(2, sched.Job{FirstTokenBy: at(20)})
		Expect(b.Next(at(2)).Job).To(Equal(ids[2]))
	})
})

var _ = Describe("admission", func() {
	It("clamps retry times to a minimum and a maximum", func() {
		b := newSchedulerTest(tiered.Config{Slots: 1, QueueEntries: 1})
		retryAfterRefusal := func(ms int) time.Duration {
			b.offer(ms, sched.Job{})
			b.offer(ms, sched.Job{})
			b.offer(ms, sched.Job{})
			_, v := b.offer(ms, sched.Job{})
			Expect(v.Reason).To(Equal(sched.ReasonQueueFull))
			return v.RetryAfter
		}
		Expect(retryAfterRefusal(0)).To(Equal(time.Second), "no measurement yet")
		for ms := range 200 {
			for _, id := range b.starts(ms) {
				b.add(ms, sched.Job{Class: "x"})
				b.Finish(at(ms+1), id)
			}
		}
		Expect(retryAfterRefusal(200)).To(Equal(drain.MinRetryAfter))
		b.starts(200)
		Expect(retryAfterRefusal(200_000)).To(Equal(drain.MaxRetryAfter))
	})

	It("admits any job until a drain rate has been measured", func() {
		b := newSchedulerTest(tiered.Config{Slots: 1})
		for range 50 {
			b.add(0, sched.Job{Deadline: at(10)})
		}
	})

	It("refuses a late first token only if configured", func() {
		for _, refuseLate := range []bool{false, true} {
			b := newSchedulerTest(tiered.Config{Slots: 1, RefuseLateFirstToken: refuseLate})
			b.run(0, 1000, "x", 1)
			b.add(1000, sched.Job{})
			b.add(1000, sched.Job{Tier: 1})
			_, v := b.offer(1000, sched.Job{Tier: 1, FirstTokenBy: at(1500), Deadline: at(60_000)})
			Expect(v.Admitted).To(Equal(!refuseLate))
		}
	})

	It("displaces by bytes, and none if that isn't enough", func() {
		b := newSchedulerTest(tiered.Config{Slots: 1, QueueBytes: 10})
		b.add(0, sched.Job{Class: "x"})
		b.add(0, sched.Job{Tier: 1})
		b.add(0, sched.Job{Class: "x", Bytes: 4})
		older := b.add(0, sched.Job{Tier: 1, Bytes: 3})
		newer := b.add(0, sched.Job{Tier: 1, Bytes: 3})
		_, v := b.offer(0, sched.Job{Class: "x", Bytes: 7})
		Expect(v.Reason).To(Equal(sched.ReasonQueueFull))
		Expect(b.Load(at(0)).Queued[1]).To(Equal(3))
		b.add(0, sched.Job{Class: "x", Bytes: 6})
		Expect(b.Next(at(0))).To(Equal(sched.Decision{
			Action: sched.ActionDrop, Job: newer, Reason: sched.ReasonDisplaced, RetryAfter: time.Second,
		}))
		b.Finish(at(0), older)
		Expect(b.Next(at(0)).Action).To(Equal(sched.ActionStart), "a job finished before its drop isn't dropped")
	})

	It("requests a wakeup to drop a late job and to preempt in time", func() {
		b := newSchedulerTest(tiered.Config{Slots: 1, Preempt: true})
		Expect(b.Wake()).To(BeZero())
		b.run(0, 100, "x", 1)
		low := b.add(100, sched.Job{Tier: 1, Preemptible: true})
		Expect(b.starts(100)).To(HaveLen(1))
		b.add(100, sched.Job{Deadline: at(5000), FirstTokenBy: at(4000)})
		Expect(b.starts(100)).To(BeEmpty())
		Expect(b.Wake()).To(BeTemporally("~", at(3900), 10*time.Millisecond))
		Expect(b.Next(b.Wake()).Action).To(Equal(sched.ActionPreempt))
		Expect(b.Wake()).To(Equal(at(5000)))
		b.Finish(at(5000), low)
		Expect(b.Next(at(5000)).Reason).To(Equal(sched.ReasonExpired))
	})
})
