package agent

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/sched"
	"coveferry/internal/sched/fifo"
	"coveferry/internal/wire"
)

// The queue may start to leave between the check in checkAttempt and the offer.
func TestLeavingQueueRefusesJobs(t *testing.T) {
	g := NewWithT(t)
	q := newQueue(fifo.New(fifo.Config{Slots: 1}), time.Now)
	q.leave()
	_, verdict := q.offer(sched.Job{}, true, func(error) {})
	g.Expect(verdict).To(Equal(sched.Verdict{Reason: wire.ReasonLeaving}))
}
