package fifo_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"coveferry/internal/sched"
	"coveferry/internal/sched/fifo"
)

func TestFIFO(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fifo")
}

var epoch = time.Unix(1000, 0)

// at returns the time the given number of seconds after the epoch.
func at(seconds int) time.Time { return epoch.Add(time.Duration(seconds) * time.Second) }

func start(id sched.JobID) sched.Decision {
	return sched.Decision{Action: sched.ActionStart, Job: id}
}

var _ = Describe("the FIFO policy", func() {
	It("starts jobs in order of arrival regardless of their tier", func() {
		s := fifo.New(fifo.Config{Slots: 1})
		for id, tier := range []int{2, 0, 1} {
			v := s.Offer(at(0), sched.Job{ID: sched.JobID(id + 1), Tier: tier})
			Expect(v).To(Equal(sched.Verdict{Admitted: true}))
		}
		for id := sched.JobID(1); id <= 3; id++ {
			Expect(s.Next(at(1))).To(Equal(start(id)))
			Expect(s.Next(at(1))).To(Equal(sched.Decision{}), "one slot")
			s.Finish(at(2), id)
		}
	})

	It("refuses only jobs beyond the limits of entries and bytes", func() {
		s := fifo.New(fifo.Config{Slots: 1, QueueEntries: 2, QueueBytes: 10})
		Expect(s.Offer(at(0), sched.Job{ID: 1, Bytes: 99}).Admitted).To(BeTrue(), "a job that can start immediately isn't limited")
		Expect(s.Next(at(0))).To(Equal(start(1)))
		Expect(s.Offer(at(0), sched.Job{ID: 2, Bytes: 6}).Admitted).To(BeTrue())
		Expect(s.Offer(at(0), sched.Job{ID: 3, Bytes: 5}).Reason).To(Equal(sched.ReasonQueueFull))
		Expect(s.Offer(at(0), sched.Job{ID: 4, Bytes: 1}).Admitted).To(BeTrue())
		full := s.Offer(at(0), sched.Job{ID: 5})
		Expect(full.Reason).To(Equal(sched.ReasonQueueFull))
		Expect(full.RetryAfter).To(BeNumerically(">", 0))
	})

	It("keeps a requeued job's position and removes a cancelled one", func() {
		s := fifo.New(fifo.Config{Slots: 1})
		for id := sched.JobID(1); id <= 3; id++ {
			s.Offer(at(0), sched.Job{ID: id, Tier: 1})
		}
		Expect(s.Next(at(0))).To(Equal(start(1)))
		s.Requeue(at(1), 1)
		s.Finish(at(1), 2)
		Expect(s.Load(at(1)).Queued[1]).To(Equal(2))
		Expect(s.Next(at(1))).To(Equal(start(1)))
		s.Finish(at(2), 1)
		Expect(s.Next(at(2))).To(Equal(start(3)))
	})

	It("measures the drain rate", func() {
		s := fifo.New(fifo.Config{Slots: 2})
		for id := sched.JobID(1); id <= 100; id++ {
			s.Offer(at(int(id)), sched.Job{ID: id})
			Expect(s.Next(at(int(id)))).To(Equal(start(id)))
			s.Finish(at(int(id)+1), id)
		}
		Expect(s.Load(at(102)).DrainPerSecond).To(BeNumerically("~", 2, 0.2))
		Expect(s.Load(at(900)).DrainPerSecond).To(BeNumerically("~", 2, 0.2), "idle time doesn't count")
	})
})
