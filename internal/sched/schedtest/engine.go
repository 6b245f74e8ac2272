package schedtest

import (
	"time"

	"github.com/cockroachdb/errors"

	"coveferry/internal/sched"
)

// tick is the interval at which a running job reports produced tokens.
const tick = 100 * time.Millisecond

// SimJob is a job to simulate, with the properties that the policy doesn't know
// in advance.
type SimJob struct {
	Job sched.Job
	// At is when the job is offered.
	At time.Time
	// RunTime is the slot time from the first token to the end, during which the
	// job produces Tokens.
	RunTime time.Duration
	Tokens  int
}

// Outcome is the result of a SimJob. Times of events that didn't happen are
// zero.
type Outcome struct {
	SimJob
	Verdict     sched.Verdict
	Dropped     sched.Reason
	Started     time.Time // first start
	FirstToken  time.Time
	Finished    time.Time
	SlotTime    time.Duration
	Preemptions int
}

// MetTarget reports whether the first token met its latency target.
func (o *Outcome) MetTarget() bool {
	return !o.FirstToken.IsZero() && !o.FirstToken.After(o.Job.FirstTokenBy)
}

// MetDeadline reports whether the answer was complete by its deadline.
func (o *Outcome) MetDeadline() bool {
	return !o.Finished.IsZero() && !o.Finished.After(o.Job.Deadline)
}

// Engine simulates an endpoint with its agent in virtual time. It runs jobs
// under a policy, each at a speed that doesn't depend on the other jobs.
type Engine struct {
	Policy sched.Policy
	// Prefill is the slot time before a job's first token, spent again when a
	// preempted job resumes.
	Prefill time.Duration
	// PreemptionDuration is the duration of a preemption.
	PreemptionDuration time.Duration
	// Observe, if set, is called after each event.
	Observe func(now time.Time, running []*Run)

	now     time.Time
	running []*Run
	byID    map[sched.JobID]*Run
}

// Run is the progress of a job.
type Run struct {
	Outcome
	Produced         int
	generatingFrom   time.Time     // end of the prefill in the current slot
	generated        time.Duration // part of SimJob.RunTime done before generatingFrom
	nextTick         time.Time
	preemptionEndsAt time.Time // zero unless being preempted
}

// Simulate offers the jobs, which must be sorted by At, and returns their
// progress at the given time. It panics if the policy requests a wakeup in the
// past, since an agent would then spin.
func (e *Engine) Simulate(work []SimJob, until time.Time) []*Run {
	e.byID = make(map[sched.JobID]*Run)
	all := make([]*Run, 0, len(work))
	for {
		at := e.nextEvent(work)
		if at.IsZero() || at.After(until) {
			return all
		}
		e.now = at
		for len(work) > 0 && !work[0].At.After(at) {
			all = append(all, e.offer(work[0]))
			work = work[1:]
		}
		e.progress()
		e.applyDecisions()
		if e.Observe != nil {
			e.Observe(e.now, e.running)
		}
	}
}

// nextEvent returns the time of the next event, at least a nanosecond from now.
func (e *Engine) nextEvent(work []SimJob) time.Time {
	var at time.Time
	consider := func(t time.Time) {
		if !t.IsZero() && (at.IsZero() || t.Before(at)) {
			at = t
		}
	}
	if len(work) > 0 {
		consider(work[0].At)
	}
	for _, r := range e.running {
		consider(r.nextEvent())
	}
	wake := e.Policy.Wake()
	if !wake.IsZero() && !e.now.IsZero() && !wake.After(e.now) {
		panic(errors.AssertionFailedf("Wake returned %v, which isn't after the last call of Next at %v", wake, e.now))
	}
	consider(wake)
	if !at.IsZero() && !at.After(e.now) {
		return e.now.Add(1)
	}
	return at
}

func (r *Run) nextEvent() time.Time {
	at := r.nextTick
	if end := r.releasesAt(); end.Before(at) {
		at = end
	}
	if !r.preemptionEndsAt.IsZero() && r.preemptionEndsAt.Before(at) {
		at = r.preemptionEndsAt
	}
	return at
}

// completesAt returns when the job completes if it isn't interrupted.
func (r *Run) completesAt() time.Time { return r.generatingFrom.Add(r.SimJob.RunTime - r.generated) }

// releasesAt returns when the job releases its slot: when it completes, or at
// the deadline, when its caller cancels.
func (r *Run) releasesAt() time.Time {
	by := r.Job.Deadline
	if by.IsZero() || r.completesAt().Before(by) {
		return r.completesAt()
	}
	return by
}

func (e *Engine) offer(w SimJob) *Run {
	r := &Run{Outcome: Outcome{SimJob: w}}
	r.Verdict = e.Policy.Offer(e.now, w.Job)
	if r.Verdict.Admitted {
		e.byID[w.Job.ID] = r
	}
	e.applyDecisions()
	return r
}

// progress produces tokens, finishes jobs and completes preemptions.
func (e *Engine) progress() {
	var kept []*Run
	for _, r := range e.running {
		r.produce(e)
		switch {
		case !r.releasesAt().After(e.now):
			if !r.completesAt().After(e.now) {
				r.Finished = e.now
			}
			e.Policy.Finish(e.now, r.Job.ID)
		case !r.preemptionEndsAt.IsZero() && !r.preemptionEndsAt.After(e.now):
			r.generated += max(0, e.now.Sub(r.generatingFrom))
			r.preemptionEndsAt = time.Time{}
			e.Policy.Requeue(e.now, r.Job.ID)
		default:
			kept = append(kept, r)
			continue
		}
		r.SlotTime += e.now.Sub(r.generatingFrom) + e.Prefill
	}
	e.running = kept
}

// produce reports the tokens produced since the last report.
func (r *Run) produce(e *Engine) {
	if r.generatingFrom.After(e.now) {
		return
	}
	if r.FirstToken.IsZero() {
		r.FirstToken = e.now
	}
	for !r.nextTick.After(e.now) {
		r.nextTick = r.nextTick.Add(tick)
	}
	ran := min(r.SimJob.RunTime, r.generated+e.now.Sub(r.generatingFrom))
	due := r.Tokens
	if r.SimJob.RunTime > 0 {
		due = max(1, int(int64(r.Tokens)*int64(ran)/int64(r.SimJob.RunTime)))
	}
	if n := due - r.Produced; n > 0 {
		r.Produced = due
		e.Policy.Tokens(e.now, r.Job.ID, n)
	}
}

// applyDecisions carries out decisions until there are none.
func (e *Engine) applyDecisions() {
	for {
		d := e.Policy.Next(e.now)
		r := e.byID[d.Job]
		switch d.Action {
		case sched.ActionNone:
			return
		case sched.ActionStart:
			e.start(r)
		case sched.ActionPreempt:
			r.Preemptions++
			r.preemptionEndsAt = e.now.Add(e.PreemptionDuration)
		case sched.ActionDrop:
			r.Dropped = d.Reason
		}
	}
}

func (e *Engine) start(r *Run) {
	if r.Started.IsZero() {
		r.Started = e.now
	}
	r.generatingFrom = e.now.Add(e.Prefill)
	r.nextTick = r.generatingFrom
	e.running = append(e.running, r)
}
