package agent

import (
	"context"
	"sync"
	"time"

	"coveferry/internal/clock"
	"coveferry/internal/load"
	"coveferry/internal/sched"
	"coveferry/internal/wire"
)

// decisionBuffer is the number of decisions that a job may not have received
// yet: a start and a drop.
const decisionBuffer = 2

// queue applies the decisions of the scheduling policy. One lock guards the
// queue; an agent has one queue, for its endpoint.
type queue struct {
	mu     sync.Mutex
	policy sched.Policy
	jobs   map[sched.JobID]*queuedJob
	lastID sched.JobID
	// seq numbers load reports. It starts at the agent's start time, so that
	// reports of a restarted agent count as newer.
	seq       uint64
	leaving   bool
	wakeTimer *time.Timer
	heartbeat *heartbeat
}

// queuedJob is the queue's state of one job.
type queuedJob struct {
	id sched.JobID
	// decisions delivers ActionStart and ActionDrop to the job's goroutine.
	decisions chan sched.Decision
	// preempt stops the running job; set while it runs.
	preempt context.CancelCauseFunc
	// cancel ends the job for good, whether queued or running.
	cancel context.CancelCauseFunc
	// started reports whether the policy assigned it a slot.
	started bool
	// movable reports whether its router can resume it at another endpoint.
	movable bool
	// pinned reports that its output so far can't be resumed from.
	pinned bool
	// preempting reports whether the policy has preempted the job, possibly
	// before the job's goroutine has set preempt.
	preempting bool
}

func newQueue(policy sched.Policy, now clock.Clock) *queue {
	return &queue{
		policy:    policy,
		jobs:      make(map[sched.JobID]*queuedJob),
		seq:       uint64(time.Now().UnixNano()),
		heartbeat: &heartbeat{clock: now},
	}
}

// offer assigns the job an id and offers it to the policy. A queue that is
// leaving refuses it.
func (q *queue) offer(j sched.Job, movable bool, cancel context.CancelCauseFunc) (*queuedJob, sched.Verdict) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.leaving {
		return nil, sched.Verdict{Reason: wire.ReasonLeaving}
	}
	q.lastID++
	j.ID = q.lastID
	verdict := q.policy.Offer(time.Now(), j)
	if !verdict.Admitted {
		return nil, verdict
	}
	job := &queuedJob{id: j.ID, decisions: make(chan sched.Decision, decisionBuffer), cancel: cancel, movable: movable}
	q.jobs[j.ID] = job
	q.heartbeat.setActive(true)
	q.applyDecisions()
	return job, verdict
}

// setPreempt sets the function that preempts a running job.
func (q *queue) setPreempt(job *queuedJob, cancel context.CancelCauseFunc) {
	q.mu.Lock()
	defer q.mu.Unlock()
	job.preempt = cancel
	if job.preempting {
		cancel(errPreempted)
	}
}

// chargeTokens charges produced tokens to a job.
func (q *queue) chargeTokens(job *queuedJob, n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.policy.Tokens(time.Now(), job.id, n)
}

// requeue puts a preempted job back.
func (q *queue) requeue(job *queuedJob) {
	q.mu.Lock()
	defer q.mu.Unlock()
	job.preempt = nil
	job.preempting = false
	job.started = false
	q.policy.Requeue(time.Now(), job.id)
	q.applyDecisions()
}

// finish removes a job, whether queued or running.
func (q *queue) finish(job *queuedJob) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.policy.Finish(time.Now(), job.id)
	delete(q.jobs, job.id)
	q.heartbeat.setActive(len(q.jobs) > 0)
	q.applyDecisions()
}

// pin keeps a running job from being preempted or moved. It returns false if the
// job is already being preempted.
func (q *queue) pin(job *queuedJob) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if job.preempting {
		return false
	}
	job.pinned = true
	return true
}

// leave marks load reports as leaving, so that routers send no more attempts, and
// cancels the jobs that have not started.
func (q *queue) leave() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.leaving = true
	for _, job := range q.jobs {
		if !job.started {
			job.cancel(errLeaving)
		}
	}
}

// handOver ends the running jobs that routers can resume at other endpoints. It
// returns the number of these jobs and of those that remain.
func (q *queue) handOver() (moved, remaining int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, job := range q.jobs {
		if !job.movable || job.pinned {
			remaining++
			continue
		}
		job.cancel(errLeaving)
		moved++
	}
	return moved, remaining
}

func (q *queue) isLeaving() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.leaving
}

// loadReport returns a load report with the next sequence number.
func (q *queue) loadReport() load.Report {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.seq++
	report := q.policy.Load(time.Now())
	report.Seq = q.seq
	report.Leaving = q.leaving
	return report
}

// applyDecisions applies all decisions that the policy has now. It requires q.mu
// to be held.
func (q *queue) applyDecisions() {
	for {
		d := q.policy.Next(time.Now())
		if d.Action == sched.ActionNone {
			break
		}
		q.apply(d)
	}
	q.resetWakeTimer()
}

func (q *queue) apply(d sched.Decision) {
	job, ok := q.jobs[d.Job]
	if !ok {
		return
	}
	if d.Action != sched.ActionPreempt {
		job.started = d.Action == sched.ActionStart
		job.decisions <- d
		return
	}
	if job.pinned {
		return // a pinned job keeps its slot until it ends
	}
	job.preempting = true
	if job.preempt != nil {
		job.preempt(errPreempted)
	}
}

func (q *queue) resetWakeTimer() {
	at := q.policy.Wake()
	if at.IsZero() {
		if q.wakeTimer != nil {
			q.wakeTimer.Stop()
		}
		return
	}
	wait := time.Until(at)
	if q.wakeTimer == nil {
		q.wakeTimer = time.AfterFunc(wait, q.onWakeTimer)
		return
	}
	q.wakeTimer.Reset(wait)
}

func (q *queue) onWakeTimer() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.applyDecisions()
}
