package tiered

import (
	"time"

	"coveferry/internal/load"
	"coveferry/internal/sched"
	"coveferry/internal/sched/drain"
)

// Offer admits the job, displacing waiting jobs of lower tiers if the queue is
// full, or refuses it. An out-of-range tier is clamped. A job whose id is
// already known is refused without a reason.
func (s *Scheduler) Offer(now time.Time, j sched.Job) sched.Verdict {
	s.advance(now)
	if _, held := s.items[j.ID]; held {
		return sched.Verdict{}
	}
	j.Tier = min(max(j.Tier, 0), load.MaxTiers-1)
	c := s.class(j.Class)
	startBy := s.startBy(now, c, j)
	if s.tooLate(now.UnixNano(), startBy) {
		return refusal(sched.ReasonTooLate, s.retryAfter(j.Tier))
	}
	m := s.tiers[j.Tier].team(j.Team)
	if !s.protected(c) {
		if v, refused := s.refuseIfQueueTooLong(now, j, c, m, startBy); refused {
			return v
		}
	}
	it := s.newItem(j)
	it.class, it.team, it.startBy = c, m, startBy
	s.enqueue(now, it)
	return sched.Verdict{Admitted: true}
}

// refuseIfQueueTooLong refuses a job that is expected to wait too long or that
// exceeds the queue's limits.
func (s *Scheduler) refuseIfQueueTooLong(now time.Time, j sched.Job, c *class, m *team, startBy int64) (sched.Verdict, bool) {
	wait := s.expectedWait(now, j, c, m)
	by := s.admitBy(c, j, startBy)
	if s.tooLate(now.UnixNano()+int64(wait), by) {
		excess := wait - time.Duration(by-now.UnixNano())
		return refusal(sched.ReasonTooLate, drain.Clamp(excess)), true
	}
	if !s.displaceLowerTiers(now, j) {
		return refusal(sched.ReasonQueueFull, s.retryAfter(j.Tier)), true
	}
	return sched.Verdict{}, false
}

func refusal(why sched.Reason, retryAfter time.Duration) sched.Verdict {
	return sched.Verdict{Reason: why, RetryAfter: retryAfter}
}

// tooLate reports whether a start at the given time is at or after the limit.
func (s *Scheduler) tooLate(limit, by int64) bool {
	return by != never && limit >= by && !s.cfg.Disabled.EarlyRefusal
}

// startBy returns the time after which the job is unlikely to finish by its
// deadline, given the run times of its class.
func (s *Scheduler) startBy(now time.Time, c *class, j sched.Job) int64 {
	deadline := unixNano(j.Deadline)
	if deadline == never || s.cfg.Disabled.LateDrop {
		return deadline
	}
	return deadline - c.deadlineMargin(deadline-now.UnixNano())
}

// admitBy returns the time before which the job must be expected to start in
// order to be admitted.
func (s *Scheduler) admitBy(c *class, j sched.Job, startBy int64) int64 {
	if !s.cfg.RefuseLateFirstToken || j.FirstTokenBy.IsZero() {
		return startBy
	}
	return min(startBy, unixNano(j.FirstTokenBy)-c.firstToken.mean())
}

// expectedWait estimates the job's queueing time: the longer of the time in
// which the endpoint finishes as many jobs as are ahead, and the time in which
// the tier starts those of its own, which accounts for later arrivals of higher
// tiers. It is 0 without a measurement and tends to underestimate.
func (s *Scheduler) expectedWait(now time.Time, j sched.Job, c *class, m *team) time.Duration {
	t := &s.tiers[j.Tier]
	t.advance(now)
	own := t.ahead(m, c, unixNano(j.Deadline))
	ahead := own
	for i := range j.Tier {
		ahead += s.tiers[i].queued
	}
	freeable := s.cfg.Slots - len(s.running) + s.victimsBelow(j.Tier)
	needed := ahead + 1 - freeable
	if needed <= 0 {
		return 0
	}
	return max(s.meter.Wait(s.cfg.Slots, needed), t.startRate.Wait(1, own))
}

// ahead returns how many of the tier's waiting jobs start before a new one of
// the team and class. Of the team's own jobs those of the same class count,
// unless the new job has the earliest deadline. Each other team is assumed to
// start at most as many jobs as this one.
func (t *tier) ahead(m *team, c *class, deadline int64) int {
	own := m.waitingOfClass(c)
	if len(m.jobs) > 0 && deadline < m.jobs[0].key {
		own = 0
	}
	others := len(t.active)
	if m.pos != absent {
		others--
	}
	return min(t.queued, own+others*(own+1))
}

// displaceLowerTiers displaces waiting jobs of lower tiers, the newest of the
// lowest tier first, until the job fits into the queue. If displacing all of
// them isn't enough, it displaces none and returns false.
func (s *Scheduler) displaceLowerTiers(now time.Time, j sched.Job) bool {
	if s.fits(j.Bytes, s.boundedEntries, s.boundedBytes) {
		return true
	}
	entries, bytes := s.boundedEntries, s.boundedBytes
	for i := j.Tier + 1; i < len(s.tiers); i++ {
		entries -= s.tiers[i].boundedEntries
		bytes -= s.tiers[i].boundedBytes
	}
	if s.cfg.Disabled.Displacement || !s.fits(j.Bytes, entries, bytes) {
		return false
	}
	for !s.fits(j.Bytes, s.boundedEntries, s.boundedBytes) {
		s.markDropped(now, s.nextToDisplace(), sched.ReasonDisplaced)
	}
	return true
}

// fits reports whether a job of the given size can be added to a queue with the
// given number of entries and bytes.
func (s *Scheduler) fits(size, entries, bytes int) bool {
	if s.cfg.QueueEntries > 0 && entries >= s.cfg.QueueEntries {
		return false
	}
	return s.cfg.QueueBytes <= 0 || bytes+size <= s.cfg.QueueBytes
}

// nextToDisplace returns the next job to displace: the newest of the lowest tier
// that has jobs counting towards the queue's limits.
func (s *Scheduler) nextToDisplace() *item {
	for i := len(s.tiers) - 1; i >= 0; i-- {
		if it := s.tiers[i].bounded.tail; it != nil {
			return it
		}
	}
	return nil
}

// retryAfter returns the expected time until the queue accepts a job of the
// tier: until all waiting jobs of higher tiers, which go first, and one more
// job have finished.
func (s *Scheduler) retryAfter(tier int) time.Duration {
	n := 1
	for i := range tier {
		n += s.tiers[i].queued
	}
	return s.meter.RetryAfter(s.cfg.Slots, n)
}
