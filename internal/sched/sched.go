// Package sched defines the interface between an agent and the scheduling
// policy of its endpoint. A policy is pure: it does no I/O, starts no goroutine
// and reads no clock; the caller passes the time and carries out the decisions.
// Policies are not safe for concurrent use.
package sched

import (
	"time"

	"coveferry/internal/load"
)

// JobID identifies a request within one agent.
type JobID uint64

// Job is a request as the policy sees it.
type Job struct {
	ID    JobID
	Team  string
	Class string
	// Tier is the priority tier that the team pays for; 0 is the highest.
	Tier int
	// FirstTokenBy is when the first token must be produced to meet the class's
	// latency target. Deadline is when the answer becomes useless.
	FirstTokenBy time.Time
	Deadline     time.Time
	// Bytes is the size of the request held in the queue.
	Bytes int
	// Preemptible reports whether the endpoint can stop this request and
	// resume it later.
	Preemptible bool
}

// Reason is why a job was refused or dropped. It is reported to callers and
// counted in metrics.
type Reason string

// The reasons for which a policy refuses or drops a job. None of them applies
// to a job that has started.
const (
	ReasonNone      Reason = ""
	ReasonQueueFull Reason = "queue_full"
	// ReasonTooLate means that the job is expected to miss its deadline or, if
	// the policy is configured so, its first-token target.
	ReasonTooLate   Reason = "too_late"
	ReasonDisplaced Reason = "displaced" // removed for a job of a higher tier
	ReasonExpired   Reason = "expired"   // the deadline passed in the queue
)

// Verdict is the result of Policy.Offer.
type Verdict struct {
	Admitted bool
	Reason   Reason
	// RetryAfter is the time until the queue can accept a job like this one at
	// the measured drain rate.
	RetryAfter time.Duration
}

// Action is the kind of a Decision.
type Action uint8

// The actions a policy asks its agent to carry out.
const (
	// ActionNone means that there is nothing to do until the state changes.
	ActionNone Action = iota
	// ActionStart runs the job, which has been removed from the queue.
	ActionStart
	// ActionPreempt stops the running job; the agent then calls Requeue for it.
	ActionPreempt
	// ActionDrop refuses a job that was queued and has been removed from the
	// queue without running.
	ActionDrop
)

// Decision is one action that the agent must carry out.
type Decision struct {
	Action Action
	Job    JobID
	Reason Reason // with ActionDrop
	// RetryAfter is reported to the caller with ActionDrop.
	RetryAfter time.Duration
}

// Bounds holds the concurrency and the queue limits, which a new bundle can
// change.
type Bounds struct {
	// Slots is the number of jobs that run concurrently. When it is lowered,
	// running jobs above the new number continue.
	Slots int
	// QueueEntries and QueueBytes limit the waiting jobs; 0 means unlimited.
	QueueEntries, QueueBytes int
}

// Resizer is implemented by policies whose bounds can change while they hold
// jobs.
type Resizer interface {
	Resize(now time.Time, b Bounds)
}

// Policy decides which job runs when. After every other call the agent calls
// Next repeatedly until it returns ActionNone.
type Policy interface {
	// Offer admits the job to the queue or refuses it.
	Offer(now time.Time, j Job) Verdict
	// Next returns the next decision to carry out.
	Next(now time.Time) Decision
	// Tokens charges produced tokens to the running job.
	Tokens(now time.Time, id JobID, n int)
	// Requeue returns a preempted job to the queue once it has stopped.
	Requeue(now time.Time, id JobID)
	// Finish removes a job that completed, failed, or was cancelled, whether
	// it was running or waiting. An unknown id is ignored.
	Finish(now time.Time, id JobID)
	// Load reports the current queue. The agent sets Seq and Leaving.
	Load(now time.Time) load.Report
	// Wake returns when Next must be called again if no other call comes
	// first, or the zero time if it needn't be.
	Wake() time.Time
}
