package tiered

import (
	"slices"
	"time"

	"coveferry/internal/sched"
)

// enqueue adds an admitted job to the queue.
func (s *Scheduler) enqueue(now time.Time, it *item) {
	if !s.protected(it.class) {
		s.addBounded(it)
	}
	it.class.unstarted.append(it)
	if it.startBy != never && !s.cfg.Disabled.Expiry {
		s.expiry.add(node[*item]{key: it.startBy, tie: it.arrival, pos: &it.expiryPos, val: it})
	}
	s.tiers[it.job.Tier].push(now, it, !s.cfg.Disabled.CounterLift)
	s.markUnserved(now, it.class)
}

// protected reports whether a new job of the class would be its oldest that
// hasn't started. Such a job doesn't count towards the queue's limits.
func (s *Scheduler) protected(c *class) bool {
	return c.unstarted.head == nil && !s.cfg.Disabled.OldestProtection
}

// dequeue removes a waiting job from the queue. If another job becomes the
// oldest of its class, that job no longer counts towards the queue's limits.
func (s *Scheduler) dequeue(now time.Time, it *item) {
	s.tiers[it.job.Tier].remove(now, it)
	if it.started {
		s.resumed = slices.DeleteFunc(s.resumed, func(r *item) bool { return r == it })
		return
	}
	if it.bounded {
		s.removeBounded(it)
	}
	if it.expiryPos != absent {
		s.expiry.remove(it.expiryPos)
	}
	it.class.unstarted.remove(it)
	if next := it.class.unstarted.head; next != nil && next.bounded && !s.cfg.Disabled.OldestProtection {
		s.removeBounded(next)
	}
}

// addBounded counts the job towards the queue's limits.
func (s *Scheduler) addBounded(it *item) {
	it.bounded = true
	s.boundedEntries++
	s.boundedBytes += it.job.Bytes
	t := &s.tiers[it.job.Tier]
	t.bounded.append(it)
	t.boundedEntries++
	t.boundedBytes += it.job.Bytes
}

// removeBounded undoes addBounded.
func (s *Scheduler) removeBounded(it *item) {
	it.bounded = false
	s.boundedEntries--
	s.boundedBytes -= it.job.Bytes
	t := &s.tiers[it.job.Tier]
	t.bounded.remove(it)
	t.boundedEntries--
	t.boundedBytes -= it.job.Bytes
}

// markDropped removes a waiting job from the queue and schedules its drop.
func (s *Scheduler) markDropped(now time.Time, it *item, why sched.Reason) {
	s.dequeue(now, it)
	it.state = dropping
	it.reason = why
	s.drops.append(it)
}

// dropLate marks for dropping the jobs that can no longer be answered in time.
func (s *Scheduler) dropLate(now time.Time) {
	for len(s.expiry) > 0 && s.expiry[0].key <= now.UnixNano() {
		it := s.expiry[0].val
		why := sched.ReasonTooLate
		if !now.Before(it.job.Deadline) {
			why = sched.ReasonExpired
		}
		s.markDropped(now, it, why)
	}
}

// drop returns the decision to drop a job and removes the job.
func (s *Scheduler) drop(it *item) sched.Decision {
	s.drops.remove(it)
	d := sched.Decision{
		Action:     sched.ActionDrop,
		Job:        it.job.ID,
		Reason:     it.reason,
		RetryAfter: s.retryAfter(it.job.Tier),
	}
	s.recycle(it)
	return d
}

// higherTierWaiting reports whether a job of a higher tier is waiting.
func (s *Scheduler) higherTierWaiting(tier int) bool {
	for i := range tier {
		if s.tiers[i].queued > 0 {
			return true
		}
	}
	return false
}
