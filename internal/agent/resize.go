package agent

import (
	"time"

	"coveferry/internal/sched"
)

// Resize applies the limits of a new bundle: the bounds of the queue, if the
// policy supports it, and the maximum body size of an attempt in bytes. Queued
// and running attempts continue.
func (ag *Agent) Resize(b sched.Bounds, maxBody int64) {
	ag.maxBody.Store(maxBody)
	ag.queue.resize(b)
}

func (q *queue) resize(b sched.Bounds) {
	q.mu.Lock()
	defer q.mu.Unlock()
	policy, ok := q.policy.(sched.Resizer)
	if !ok {
		return
	}
	policy.Resize(time.Now(), b)
	q.applyDecisions()
}
