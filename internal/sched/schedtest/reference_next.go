package schedtest

import (
	"time"

	"coveferry/internal/sched"
)

// Next returns a drop, a start or a preemption.
func (r *Reference) Next(now time.Time) sched.Decision {
	r.advance(now)
	r.dropLate()
	dropping := func(j *refJob) bool { return j.phase == phaseDropping }
	if j := r.best(dropping, func(a, b *refJob) bool { return a.dropOrder < b.dropOrder }); j != nil {
		r.forget(j)
		return sched.Decision{
			Action: sched.ActionDrop, Job: j.ID, Reason: j.reason, RetryAfter: r.retryAfter(j.Tier),
		}
	}
	if r.busy() >= r.cfg.Slots {
		return r.preempt()
	}
	head := r.head()
	if j := r.nextReserved(); j != nil && j != head {
		j.reserved = true
		return r.start(j)
	}
	if head == nil {
		return sched.Decision{}
	}
	r.earmarked = max(0, r.earmarked-1)
	return r.start(head)
}

// dropLate marks for dropping the jobs whose startBy has passed.
func (r *Reference) dropLate() {
	for {
		j := r.best(func(j *refJob) bool {
			return j.waits() && !j.started && tooLate(r.now, j.startBy)
		}, func(a, b *refJob) bool {
			return a.startBy.Before(b.startBy) || a.startBy.Equal(b.startBy) && earlier(a, b)
		})
		if j == nil {
			return
		}
		if tooLate(r.now, j.Deadline) {
			r.markDropped(j, sched.ReasonExpired)
			continue
		}
		r.markDropped(j, sched.ReasonTooLate)
	}
}

// head returns the job with the earliest deadline of the least served team in
// the highest tier.
func (r *Reference) head() *refJob {
	highest := r.best((*refJob).waits, func(a, b *refJob) bool { return a.Tier < b.Tier })
	if highest == nil {
		return nil
	}
	m := r.leastServed(highest.Tier)
	return r.best(func(j *refJob) bool {
		return j.waits() && j.Tier == m.tier && j.Team == m.name
	}, byDeadline)
}

// nextReserved returns the oldest job of the class that has waited longest for
// service if the reserve may start one on a slot not freed by preemption.
func (r *Reference) nextReserved() *refJob {
	running := r.count(func(j *refJob) bool { return j.reserved })
	slots := max(1, int(r.share())*r.cfg.Slots/1000)
	free := r.cfg.Slots - r.busy() - r.earmarked
	if free <= 0 || r.balance < 0 || running >= slots {
		return nil
	}
	var best *refClass
	for _, c := range r.classes {
		if !c.unserved || r.now.Sub(c.unservedSince) < r.cfg.ReserveAfter || r.oldest(c.name) == nil {
			continue
		}
		if best == nil || c.serviceOrder < best.serviceOrder {
			best = c
		}
	}
	if best == nil {
		return nil
	}
	return r.oldest(best.name)
}

func (r *Reference) start(j *refJob) sched.Decision {
	c := r.class(j.Class)
	wasOldest := r.oldest(j.Class) == j
	r.advanceStartRate(j.Tier)
	if !j.started {
		r.startRate[j.Tier].Finished()
	}
	j.phase = phaseRunning
	j.started = true
	j.startedAt = r.now
	r.recordLastTeam(j)
	if wasOldest {
		c.unserved = r.oldest(j.Class) != nil
		r.moveToBack(c)
	}
	r.charge(j, max(j.charged, c.estimate()))
	return sched.Decision{Action: sched.ActionStart, Job: j.ID}
}

// estimate returns the expected number of tokens: 256 until a job has finished.
func (c *refClass) estimate() int64 {
	if c.tokens.count == 0 {
		return 256
	}
	return max(1, c.tokens.eighths/8)
}

// mayBePreempted reports whether a job of the given tier may preempt j.
func (r *Reference) mayBePreempted(j *refJob, tier int) bool {
	return j.phase == phaseRunning && j.Tier > tier && j.Preemptible &&
		!j.reserved && j.preemptions < r.cfg.MaxPreemptions
}

// preemptor returns the next job to start if it may preempt another.
func (r *Reference) preemptor() *refJob {
	beingPreempted := r.count(func(j *refJob) bool { return j.phase == phaseBeingPreempted })
	resumed := r.count(func(j *refJob) bool { return j.waits() && j.started })
	head := r.head()
	if !r.cfg.Preempt || beingPreempted > 0 || resumed >= r.cfg.Slots || head == nil {
		return nil
	}
	victims := r.count(func(j *refJob) bool { return r.mayBePreempted(j, head.Tier) })
	if head.started || victims == 0 {
		return nil
	}
	return head
}

// preempt preempts the job with the least work lost if that lets the next job
// meet its first-token target.
func (r *Reference) preempt() sched.Decision {
	head := r.preemptor()
	if head == nil {
		return sched.Decision{}
	}
	helps := false
	for _, w := range r.preemptionWindows(head) {
		helps = helps || !r.now.Before(w.from) && !r.now.After(w.until)
	}
	if !helps {
		return sched.Decision{}
	}
	v := r.best(func(j *refJob) bool { return r.mayBePreempted(j, head.Tier) }, lessWorkLost)
	v.phase = phaseBeingPreempted
	v.preemptedAt = r.now
	v.preemptions++
	return sched.Decision{Action: sched.ActionPreempt, Job: v.ID}
}

// refWindow is the period in which a preemption lets a job meet its first-token
// target: from when a slot is expected to become free too late until a
// preemption comes too late.
type refWindow struct{ from, until time.Time }

// preemptionWindows returns the windows of head and of the newest job of its
// tier that counts towards the queue's limits, for those with targets.
func (r *Reference) preemptionWindows(head *refJob) []refWindow {
	queued := r.count(func(j *refJob) bool { return j.waits() && j.Tier == head.Tier })
	newest := r.best(func(j *refJob) bool { return r.bounded(j) && j.Tier == head.Tier },
		func(a, b *refJob) bool { return a.arrival > b.arrival })
	var all []refWindow
	for _, need := range []struct {
		job   *refJob
		slots int
	}{{head, 1}, {newest, queued}} {
		if need.job == nil || need.job.FirstTokenBy.IsZero() {
			continue
		}
		first := time.Duration(r.class(need.job.Class).firstToken.eighths / 8)
		startBy := need.job.FirstTokenBy.Add(-first)
		w := refWindow{until: startBy.Add(-time.Duration(r.preemptionDuration.eighths / 8))}
		if wait := r.meter.Wait(r.cfg.Slots, need.slots); wait > 0 {
			w.from = startBy.Add(-wait + 1)
		}
		all = append(all, w)
	}
	return all
}

// lessWorkLost reports whether a should be preempted rather than b.
func lessWorkLost(a, b *refJob) bool {
	switch {
	case a.Tier != b.Tier:
		return a.Tier > b.Tier
	case a.produced != b.produced:
		return a.produced < b.produced
	case !a.startedAt.Equal(b.startedAt):
		return a.startedAt.After(b.startedAt)
	default:
		return a.arrival > b.arrival
	}
}

// Wake returns the next time to drop a job or to preempt.
func (r *Reference) Wake() time.Time {
	var at time.Time
	for _, j := range r.jobs {
		if j.waits() && !j.started && !j.startBy.IsZero() && (at.IsZero() || j.startBy.Before(at)) {
			at = j.startBy
		}
	}
	if head := r.preemptor(); head != nil && r.busy() >= r.cfg.Slots {
		for _, w := range r.preemptionWindows(head) {
			if !w.from.After(w.until) && w.from.After(r.now) && (at.IsZero() || w.from.Before(at)) {
				at = w.from
			}
		}
	}
	return at
}
