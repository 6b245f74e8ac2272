package tiered

import (
	"math"
	"time"

	"coveferry/internal/sched"
)

// state is the state of an admitted job.
type state uint8

const (
	waiting        state = iota
	running              // holds a slot
	beingPreempted       // holds a slot until the preemption completes
	dropping             // left the queue; ActionDrop hasn't been returned yet
)

// item is a waiting, running or dropped job.
type item struct {
	job     sched.Job
	arrival uint64
	state   state
	class   *class
	team    *team

	// startBy is the latest useful start time in Unix nanoseconds.
	startBy int64
	// started reports whether the job has ever held a slot; such a job isn't
	// dropped any more.
	started bool
	// bounded reports whether the job counts towards the queue's limits.
	bounded bool
	// reserved reports whether the reserve started the job.
	reserved bool
	// reason is set in the dropping state.
	reason sched.Reason

	preemptions int
	produced    int64 // tokens
	charged     int64 // tokens charged to the team
	startedAt   time.Time
	preemptedAt time.Time
	runTime     time.Duration // total of earlier runs

	teamPos   int // in the team's heap
	expiryPos int // in Scheduler.expiry
	runPos    int // in Scheduler.running
	links     [listKinds]link
}

// never is a time in Unix nanoseconds that is never reached.
const never = math.MaxInt64

// unixNano returns t in Unix nanoseconds, or never for the zero time.
func unixNano(t time.Time) int64 {
	if t.IsZero() {
		return never
	}
	return t.UnixNano()
}

// listKind identifies the links of an item that a list uses. An item can be in
// one list of each kind at the same time.
type listKind int

const (
	classList   listKind = iota // class.unstarted or Scheduler.drops
	boundedList                 // tier.bounded
	listKinds
)

type link struct{ prev, next *item }

// list is an intrusive doubly linked list of items.
type list struct {
	head, tail *item
	kind       listKind
}

func (l *list) append(it *item) {
	it.links[l.kind] = link{prev: l.tail}
	if l.tail == nil {
		l.head = it
	} else {
		l.tail.links[l.kind].next = it
	}
	l.tail = it
}

func (l *list) remove(it *item) {
	at := it.links[l.kind]
	if at.prev == nil {
		l.head = at.next
	} else {
		at.prev.links[l.kind].next = at.next
	}
	if at.next == nil {
		l.tail = at.prev
	} else {
		at.next.links[l.kind].prev = at.prev
	}
	it.links[l.kind] = link{}
}

// newItem reuses an item from the free list or allocates one.
func (s *Scheduler) newItem(j sched.Job) *item {
	it := s.freeList
	if it == nil {
		it = &item{}
	} else {
		s.freeList = it.links[classList].next
	}
	*it = item{job: j, arrival: s.arrivals, teamPos: absent, expiryPos: absent, runPos: absent}
	s.arrivals++
	s.items[j.ID] = it
	return it
}

// recycle returns an item to the free list. The item must have been removed
// from all queues and lists.
func (s *Scheduler) recycle(it *item) {
	delete(s.items, it.job.ID)
	*it = item{}
	it.links[classList].next = s.freeList
	s.freeList = it
}
