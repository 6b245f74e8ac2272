package schedtest

import (
	"time"

	"coveferry/internal/load"
	"coveferry/internal/sched"
	"coveferry/internal/sched/drain"
)

// Offer admits or refuses the job.
func (r *Reference) Offer(now time.Time, j sched.Job) sched.Verdict {
	r.advance(now)
	if r.find(j.ID) != nil {
		return sched.Verdict{}
	}
	j.Tier = min(max(j.Tier, 0), load.MaxTiers-1)
	c := r.class(j.Class)
	n := &refJob{Job: j, arrival: r.arrivals, startBy: r.startBy(j, c)}
	if tooLate(now, n.startBy) {
		return sched.Verdict{Reason: sched.ReasonTooLate, RetryAfter: r.retryAfter(j.Tier)}
	}
	m := r.team(j.Tier, j.Team)
	unstarted := r.count(func(o *refJob) bool { return o.waits() && !o.started && o.Class == j.Class })
	if unstarted > 0 {
		if wait, by := r.expectedWait(j), r.admitBy(n, c); tooLate(now.Add(wait), by) {
			return sched.Verdict{Reason: sched.ReasonTooLate, RetryAfter: drain.Clamp(wait - by.Sub(now))}
		}
		if !r.displaceLowerTiers(j) {
			return sched.Verdict{Reason: sched.ReasonQueueFull, RetryAfter: r.retryAfter(j.Tier)}
		}
	}
	r.advanceStartRate(j.Tier)
	r.liftCounter(m)
	r.arrivals++
	r.jobs = append(r.jobs, n)
	r.markUnserved(c)
	return sched.Verdict{Admitted: true}
}

// tooLate reports whether start is at or after limit; a zero limit is never
// reached.
func tooLate(limit, by time.Time) bool { return !by.IsZero() && !limit.Before(by) }

// startBy returns two mean run times before the deadline, or halfway to the
// deadline if that is later.
func (r *Reference) startBy(j sched.Job, c *refClass) time.Time {
	if j.Deadline.IsZero() {
		return j.Deadline
	}
	runs := time.Duration(2 * (c.runTime.eighths / 8))
	half := j.Deadline.Sub(r.now) / 2
	return j.Deadline.Add(-min(runs, half))
}

// admitBy returns the time before which the job must be expected to start.
func (r *Reference) admitBy(j *refJob, c *refClass) time.Time {
	if !r.cfg.RefuseLateFirstToken || j.FirstTokenBy.IsZero() {
		return j.startBy
	}
	first := j.FirstTokenBy.Add(-time.Duration(c.firstToken.eighths / 8))
	if j.startBy.IsZero() || first.Before(j.startBy) {
		return first
	}
	return j.startBy
}

// expectedWait returns the time in which the jobs ahead and this one get slots,
// or in which those of its own tier start if that is longer.
func (r *Reference) expectedWait(j sched.Job) time.Duration {
	r.advanceStartRate(j.Tier)
	higher := r.count(func(o *refJob) bool { return o.waits() && o.Tier < j.Tier })
	tier := r.count(func(o *refJob) bool { return o.waits() && o.Tier == j.Tier })
	ofTeam := func(o *refJob) bool { return o.waits() && o.Tier == j.Tier && o.Team == j.Team }
	own := r.count(func(o *refJob) bool { return ofTeam(o) && o.Class == j.Class })
	first := r.best(ofTeam, byDeadline)
	if first != nil && byDeadline(&refJob{Job: j, arrival: -1}, first) && !j.Deadline.Equal(first.Deadline) {
		own = 0
	}
	others := 0
	for _, m := range r.teams {
		if m.tier == j.Tier && m.name != j.Team && r.waitingOf(m) > 0 {
			others++
		}
	}
	own = min(tier, own+others*(own+1))
	ahead := higher + own
	freeable := r.cfg.Slots - r.busy()
	if r.cfg.Preempt {
		freeable += r.count(func(o *refJob) bool { return r.mayBePreempted(o, j.Tier) })
	}
	if ahead+1-freeable <= 0 {
		return 0
	}
	return max(r.meter.Wait(r.cfg.Slots, ahead+1-freeable), r.startRate[j.Tier].Wait(1, own))
}

// byDeadline orders by deadline, jobs without one last, then by arrival.
func byDeadline(a, b *refJob) bool {
	switch {
	case a.Deadline.Equal(b.Deadline):
		return earlier(a, b)
	case a.Deadline.IsZero():
		return false
	case b.Deadline.IsZero():
		return true
	default:
		return a.Deadline.Before(b.Deadline)
	}
}

// bounded reports whether the job counts towards the queue's limits: it waits,
// has never started, and isn't the oldest such job of its class.
func (r *Reference) bounded(j *refJob) bool {
	unstarted := func(o *refJob) bool { return o.waits() && !o.started && o.Class == j.Class }
	return unstarted(j) && r.best(unstarted, earlier) != j
}

// displaceLowerTiers displaces the newest jobs of the lowest tiers until the job fits.
func (r *Reference) displaceLowerTiers(j sched.Job) bool {
	var displaced []*refJob
	for !r.fits(j, displaced) {
		next := r.best(func(o *refJob) bool {
			return r.bounded(o) && o.Tier > j.Tier && !contains(displaced, o)
		}, func(a, b *refJob) bool {
			return a.Tier > b.Tier || a.Tier == b.Tier && a.arrival > b.arrival
		})
		if next == nil {
			return false
		}
		displaced = append(displaced, next)
	}
	for _, o := range displaced {
		r.markDropped(o, sched.ReasonDisplaced)
	}
	return true
}

// fits reports whether the job fits into the queue without the displaced jobs.
func (r *Reference) fits(j sched.Job, displaced []*refJob) bool {
	entries, bytes := 0, j.Bytes
	for _, o := range r.jobs {
		if r.bounded(o) && !contains(displaced, o) {
			entries++
			bytes += o.Bytes
		}
	}
	if r.cfg.QueueEntries > 0 && entries >= r.cfg.QueueEntries {
		return false
	}
	return r.cfg.QueueBytes <= 0 || bytes <= r.cfg.QueueBytes
}

func contains(jobs []*refJob, j *refJob) bool {
	for _, o := range jobs {
		if o == j {
			return true
		}
	}
	return false
}

// markDropped removes a waiting job from the queue and schedules its drop.
func (r *Reference) markDropped(j *refJob, why sched.Reason) {
	r.advanceStartRate(j.Tier)
	j.phase = phaseDropping
	j.reason = why
	j.dropOrder = r.nextDropOrder
	r.nextDropOrder++
	r.recordLastTeam(j)
}

// retryAfter returns the expected time until the waiting jobs of higher tiers
// and one more job have finished.
func (r *Reference) retryAfter(tier int) time.Duration {
	higher := r.count(func(o *refJob) bool { return o.waits() && o.Tier < tier })
	return r.meter.RetryAfter(r.cfg.Slots, higher+1)
}
