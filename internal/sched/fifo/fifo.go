// Package fifo implements the baseline scheduling policy: jobs start in order
// of arrival. It ignores tiers and deadlines, never preempts, and refuses a job
// only when a configured limit of the queue is reached.
package fifo

import (
	"container/list"
	"time"

	"coveferry/internal/load"
	"coveferry/internal/sched"
	"coveferry/internal/sched/drain"
)

// Config holds the endpoint's concurrency and the limits of its queue.
type Config struct {
	// Slots is the number of jobs that run concurrently.
	Slots int
	// QueueEntries and QueueBytes limit the waiting jobs; 0 means unlimited.
	QueueEntries int
	QueueBytes   int
}

// Scheduler is the FIFO policy. Use New to create one.
type Scheduler struct {
	cfg     Config
	queue   *list.List // of *entry, in order of arrival
	entries map[sched.JobID]*entry
	running int
	bytes   int // of the waiting jobs
	arrived uint64
	meter   drain.Meter
}

var _ sched.Policy = (*Scheduler)(nil)

// entry is a job that is waiting or running.
type entry struct {
	job     sched.Job
	arrival uint64
	element *list.Element // nil while running
}

// New returns a scheduler with an empty queue.
func New(cfg Config) *Scheduler {
	return &Scheduler{
		cfg:     cfg,
		queue:   list.New(),
		entries: make(map[sched.JobID]*entry),
	}
}

// Offer admits the job unless the queue is full. An out-of-range tier is
// clamped. A job whose id is already known is refused without a reason.
func (s *Scheduler) Offer(now time.Time, j sched.Job) sched.Verdict {
	s.meter.Advance(now, s.running)
	if _, held := s.entries[j.ID]; held {
		return sched.Verdict{}
	}
	if s.full(j.Bytes) {
		return sched.Verdict{Reason: sched.ReasonQueueFull, RetryAfter: s.meter.RetryAfter(s.cfg.Slots, 1)}
	}
	j.Tier = min(max(j.Tier, 0), load.MaxTiers-1)
	e := &entry{job: j, arrival: s.arrived}
	s.arrived++
	s.entries[j.ID] = e
	s.enqueue(e)
	return sched.Verdict{Admitted: true}
}

// full reports whether a job of the given size exceeds the queue's limits. A
// job that can start immediately isn't subject to them.
func (s *Scheduler) full(size int) bool {
	if s.queue.Len() == 0 && s.running < s.cfg.Slots {
		return false
	}
	if s.cfg.QueueEntries > 0 && s.queue.Len() >= s.cfg.QueueEntries {
		return true
	}
	return s.cfg.QueueBytes > 0 && s.bytes+size > s.cfg.QueueBytes
}

// enqueue inserts the entry in order of arrival.
func (s *Scheduler) enqueue(e *entry) {
	s.bytes += e.job.Bytes
	at := s.queue.Back()
	for at != nil && at.Value.(*entry).arrival > e.arrival {
		at = at.Prev()
	}
	if at == nil {
		e.element = s.queue.PushFront(e)
		return
	}
	e.element = s.queue.InsertAfter(e, at)
}

// dequeue removes the entry from the queue.
func (s *Scheduler) dequeue(e *entry) {
	s.queue.Remove(e.element)
	e.element = nil
	s.bytes -= e.job.Bytes
}

// Next starts the waiting job that arrived first if a slot is free.
func (s *Scheduler) Next(now time.Time) sched.Decision {
	s.meter.Advance(now, s.running)
	front := s.queue.Front()
	if front == nil || s.running >= s.cfg.Slots {
		return sched.Decision{}
	}
	e := front.Value.(*entry)
	s.dequeue(e)
	s.running++
	return sched.Decision{Action: sched.ActionStart, Job: e.job.ID}
}

// Tokens does nothing: the order doesn't depend on produced tokens.
func (s *Scheduler) Tokens(time.Time, sched.JobID, int) {}

// Requeue returns a running job to its original position in the queue. This
// policy never preempts, so the agent has no reason to call it.
func (s *Scheduler) Requeue(now time.Time, id sched.JobID) {
	s.meter.Advance(now, s.running)
	e, held := s.entries[id]
	if !held || e.element != nil {
		return
	}
	s.running--
	s.enqueue(e)
}

// Finish removes a waiting or running job.
func (s *Scheduler) Finish(now time.Time, id sched.JobID) {
	s.meter.Advance(now, s.running)
	e, held := s.entries[id]
	if !held {
		return
	}
	delete(s.entries, id)
	if e.element != nil {
		s.dequeue(e)
		return
	}
	s.running--
	s.meter.Finished()
}

// Load counts the waiting and running jobs by tier in linear time.
func (s *Scheduler) Load(now time.Time) load.Report {
	s.meter.Advance(now, s.running)
	r := load.Report{Slots: s.cfg.Slots, DrainPerSecond: s.meter.PerSecond(s.cfg.Slots)}
	for _, e := range s.entries {
		if e.element != nil {
			r.Queued[e.job.Tier]++
			continue
		}
		r.Running[e.job.Tier]++
	}
	return r
}

// Wake returns the zero time: no decision depends on the clock.
func (s *Scheduler) Wake() time.Time { return time.Time{} }
