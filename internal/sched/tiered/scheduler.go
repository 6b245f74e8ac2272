// Package tiered implements the scheduling policy of an agent. Tiers have
// strict priority; within a tier, teams share service fairly by tokens served;
// within a team, the earliest deadline goes first. A reserve prevents the
// starvation of any class, and admission refuses early what can't be served in
// time. docs/design/0002-scheduling.md states the rules and their bounds.
package tiered

import (
	"time"

	"coveferry/internal/load"
	"coveferry/internal/sched"
	"coveferry/internal/sched/drain"
)

// Scheduler is the tiered policy. Use New to create one.
type Scheduler struct {
	cfg      Config
	items    map[sched.JobID]*item
	freeList *item

	tiers     [load.MaxTiers]tier
	classes   map[string]*class
	classList []*class

	expiry  indexHeap[*item] // waiting jobs that have never held a slot, by startBy
	resumed []*item          // waiting jobs that were preempted
	drops   list             // jobs to drop, in order

	running               []*item // includes the jobs being preempted
	preemptionsInProgress int
	preemptionDuration    average // duration of a preemption in nanoseconds
	// earmarked is the number of slots freed by preemption that a higher tier
	// hasn't used yet.
	earmarked int

	boundedEntries int
	boundedBytes   int

	reserve          reserve
	now              int64 // time of the last call in Unix nanoseconds
	meter            drain.Meter
	arrivals         uint64
	nextServiceOrder uint64
}

var _ sched.Policy = (*Scheduler)(nil)

// New returns a scheduler with an empty queue.
func New(cfg Config) *Scheduler {
	cfg = cfg.withDefaults()
	s := &Scheduler{
		cfg:     cfg,
		items:   make(map[sched.JobID]*item),
		classes: make(map[string]*class),
		drops:   list{kind: classList},
		reserve: newReserve(cfg.ReserveShare, cfg.Slots),
	}
	for i := range s.tiers {
		s.tiers[i].teams = make(map[string]*team)
		s.tiers[i].bounded.kind = boundedList
	}
	return s
}

// advance accounts for the time since the previous call.
func (s *Scheduler) advance(now time.Time) {
	s.meter.Advance(now, len(s.running))
	s.reserve.advance(now, len(s.running))
	s.now = now.UnixNano()
}

// Next returns the next decision: first drops, then a start if a slot is free,
// else a preemption.
func (s *Scheduler) Next(now time.Time) sched.Decision {
	s.advance(now)
	s.dropLate(now)
	if it := s.drops.head; it != nil {
		return s.drop(it)
	}
	free := s.cfg.Slots - len(s.running)
	if free <= 0 {
		return s.preempt(now)
	}
	head := s.head()
	if it := s.nextReserved(now, free); it != nil && it != head {
		return s.startReserved(now, it)
	}
	if head == nil {
		return sched.Decision{}
	}
	s.earmarked = max(0, s.earmarked-1)
	return s.start(now, head)
}

// head returns the next job to start, or nil if none waits.
func (s *Scheduler) head() *item {
	for i := range s.tiers {
		if it := s.tiers[i].head(); it != nil {
			return it
		}
	}
	return nil
}

func (s *Scheduler) startReserved(now time.Time, it *item) sched.Decision {
	it.reserved = true
	s.reserve.running++
	return s.start(now, it)
}

// start moves a waiting job from the queue to a slot.
func (s *Scheduler) start(now time.Time, it *item) sched.Decision {
	wasOldest := s.oldest(it.class) == it
	s.dequeue(now, it)
	if wasOldest {
		s.markServed(now, it.class)
	}
	t := &s.tiers[it.job.Tier]
	if !it.started {
		t.startRate.Finished()
	}
	it.state = running
	it.started = true
	it.startedAt = now
	it.runPos = len(s.running)
	s.running = append(s.running, it)
	t.running++
	if s.mayBePreempted(it) {
		t.victims++
	}
	s.chargeUpTo(it, s.startCharge(it))
	return sched.Decision{Action: sched.ActionStart, Job: it.job.ID}
}

// Tokens charges produced tokens to the job's team. Calls with a number below
// one or for a job that isn't running are ignored.
func (s *Scheduler) Tokens(now time.Time, id sched.JobID, n int) {
	s.advance(now)
	it, held := s.items[id]
	if !held || n <= 0 || it.runPos == absent {
		return
	}
	if it.produced == 0 {
		it.class.firstToken.add(int64(now.Sub(it.startedAt)))
	}
	it.produced += int64(n)
	s.chargeUpTo(it, it.produced)
}

// Requeue returns a preempted job to the queue at its original position. The
// job won't be dropped, since it has started.
func (s *Scheduler) Requeue(now time.Time, id sched.JobID) {
	s.advance(now)
	it, held := s.items[id]
	if !held || it.runPos == absent {
		return
	}
	if it.state == beingPreempted {
		s.preemptionDuration.add(int64(now.Sub(it.preemptedAt)))
		if s.higherTierWaiting(it.job.Tier) {
			s.earmarked++
		}
	}
	s.release(now, it)
	s.settleCharge(it)
	it.state = waiting
	s.resumed = append(s.resumed, it)
	s.tiers[it.job.Tier].push(now, it, !s.cfg.Disabled.CounterLift)
	s.markUnserved(now, it.class)
}

// Finish removes a waiting or running job.
func (s *Scheduler) Finish(now time.Time, id sched.JobID) {
	s.advance(now)
	it, held := s.items[id]
	if !held {
		return
	}
	switch it.state {
	case waiting:
		s.dequeue(now, it)
	case dropping:
		s.drops.remove(it)
	case running, beingPreempted:
		s.release(now, it)
		s.settleCharge(it)
		s.meter.Finished()
		it.class.recordFinished(it)
	}
	s.recycle(it)
}

// release frees the job's slot.
func (s *Scheduler) release(now time.Time, it *item) {
	t := &s.tiers[it.job.Tier]
	t.running--
	if it.state == beingPreempted {
		s.preemptionsInProgress--
	} else if s.mayBePreempted(it) {
		t.victims--
	}
	if it.reserved {
		it.reserved = false
		s.reserve.running--
	}
	it.runTime += now.Sub(it.startedAt)
	last := s.running[len(s.running)-1]
	s.running[it.runPos] = last
	last.runPos = it.runPos
	s.running[len(s.running)-1] = nil
	s.running = s.running[:len(s.running)-1]
	it.runPos = absent
}

// Load reports the current queue.
func (s *Scheduler) Load(now time.Time) load.Report {
	s.advance(now)
	r := load.Report{Slots: s.cfg.Slots, DrainPerSecond: s.meter.PerSecond(s.cfg.Slots)}
	for i := range s.tiers {
		r.Queued[i] = s.tiers[i].queued
		r.Running[i] = s.tiers[i].running
	}
	return r
}

// Wake returns the next time at which a waiting job must be dropped or a
// preemption is expected to help, or the zero time.
func (s *Scheduler) Wake() time.Time {
	at := int64(never)
	if len(s.expiry) > 0 {
		at = s.expiry[0].key
	}
	at = min(at, s.preemptAt())
	if at == never {
		return time.Time{}
	}
	return time.Unix(0, at)
}
