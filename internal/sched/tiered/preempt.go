package tiered

import (
	"time"

	"coveferry/internal/sched"
)

// mayBePreempted reports whether a running job may be preempted.
func (s *Scheduler) mayBePreempted(it *item) bool {
	limitReached := it.preemptions >= s.cfg.MaxPreemptions && !s.cfg.Disabled.PreemptionLimit
	if !it.job.Preemptible || limitReached {
		return false
	}
	return !it.reserved || s.cfg.Disabled.ReservedProtection
}

// victimsBelow returns the number of running jobs of lower tiers that a job of
// the given tier could preempt.
func (s *Scheduler) victimsBelow(tier int) int {
	if !s.cfg.Preempt {
		return 0
	}
	n := 0
	for i := tier + 1; i < len(s.tiers); i++ {
		n += s.tiers[i].victims
	}
	return n
}

// preempt preempts a running job if that lets the next job meet its first-token
// target.
func (s *Scheduler) preempt(now time.Time) sched.Decision {
	head := s.preemptor()
	if head == nil || !s.preemptionHelps(now, head) {
		return sched.Decision{}
	}
	it := s.victim(head.job.Tier)
	s.tiers[it.job.Tier].victims--
	it.preemptions++
	it.state = beingPreempted
	it.preemptedAt = now
	s.preemptionsInProgress++
	return sched.Decision{Action: sched.ActionPreempt, Job: it.job.ID}
}

// preemptor returns the next job to start if there is a job that it may
// preempt, else nil. Only one preemption is in progress at a time, and the
// number of waiting preempted jobs is limited to the number of slots.
func (s *Scheduler) preemptor() *item {
	pending := s.preemptionsInProgress > 0 && !s.cfg.Disabled.SinglePreemption
	if !s.cfg.Preempt || pending || len(s.resumed) >= s.cfg.Slots {
		return nil
	}
	head := s.head()
	if head == nil || head.started || s.victimsBelow(head.job.Tier) == 0 {
		return nil
	}
	return head
}

// preemptionHelps reports whether the next job, or the newest job of its tier,
// is expected to miss its first-token target without a preemption now and to
// meet it with one.
func (s *Scheduler) preemptionHelps(now time.Time, head *item) bool {
	if s.cfg.Disabled.PreemptionBenefit {
		return true
	}
	first, newest := s.preemptionWindows(head)
	at := now.UnixNano()
	return first.contains(at) || newest.contains(at)
}

// preemptionWindow is the period, in Unix nanoseconds, in which a preemption
// lets a job meet its first-token target. Before it, slots are expected to
// become free in time; after it, a preemption comes too late.
type preemptionWindow struct{ first, last int64 }

func (w preemptionWindow) contains(at int64) bool { return at >= w.first && at <= w.last }

// nextOpening returns the start of the window if it is in the future, else
// never.
func (w preemptionWindow) nextOpening(now int64) int64 {
	if w.first > now && w.first <= w.last {
		return w.first
	}
	return never
}

// preemptionWindows returns the windows of the next job, which needs one slot, and
// of the newest job of its tier that counts towards the queue's limits, which
// needs as many slots as jobs of the tier are waiting.
func (s *Scheduler) preemptionWindows(head *item) (first, newest preemptionWindow) {
	t := &s.tiers[head.job.Tier]
	first = s.preemptionWindowOf(head, 1)
	if t.bounded.tail == nil {
		return first, first
	}
	return first, s.preemptionWindowOf(t.bounded.tail, t.queued)
}

// preemptionWindowOf returns the window of a job that starts when the given number
// of slots have become free. Without a measured drain rate no slot is expected
// to become free. The window is empty for a job without a first-token target
// and for one that gets a slot sooner without a preemption than with one.
func (s *Scheduler) preemptionWindowOf(it *item, slots int) preemptionWindow {
	if it.job.FirstTokenBy.IsZero() {
		return preemptionWindow{first: never}
	}
	startBy := unixNano(it.job.FirstTokenBy) - it.class.firstToken.mean()
	last := startBy - s.preemptionDuration.mean()
	wait := int64(s.meter.Wait(s.cfg.Slots, slots))
	if wait == 0 {
		return preemptionWindow{last: last}
	}
	return preemptionWindow{first: max(0, startBy-wait+1), last: last}
}

// preemptAt returns the next time at which a preemption is expected to help, or
// never.
func (s *Scheduler) preemptAt() int64 {
	if len(s.running) < s.cfg.Slots {
		return never
	}
	head := s.preemptor()
	if head == nil {
		return never
	}
	first, newest := s.preemptionWindows(head)
	return min(first.nextOpening(s.now), newest.nextOpening(s.now))
}

// victim returns the job to preempt for a job of the given tier: in the lowest
// tier with a candidate, the job that has produced the fewest tokens, then the
// most recently started.
func (s *Scheduler) victim(tier int) *item {
	var best *item
	for _, it := range s.running {
		if it.state != running || it.job.Tier <= tier || !s.mayBePreempted(it) {
			continue
		}
		if best == nil || lessWorkLost(it, best) {
			best = it
		}
	}
	return best
}

// lessWorkLost reports whether a should be preempted rather than b.
func lessWorkLost(a, b *item) bool {
	switch {
	case a.job.Tier != b.job.Tier:
		return a.job.Tier > b.job.Tier
	case a.produced != b.produced:
		return a.produced < b.produced
	case !a.startedAt.Equal(b.startedAt):
		return a.startedAt.After(b.startedAt)
	default:
		return a.arrival > b.arrival
	}
}
