package tiered

import (
	"time"

	"coveferry/internal/sched/drain"
)

// tier holds the waiting jobs of one priority tier, by team.
type tier struct {
	teams map[string]*team
	// active holds the teams with waiting jobs, ordered by tokens served.
	active indexHeap[*team]
	// lastActive is the team that most recently left active.
	lastActive *team

	// bounded holds the waiting jobs that count towards the queue's limits.
	bounded        list
	boundedEntries int
	boundedBytes   int

	// startRate measures the rate at which waiting jobs start for the first
	// time, over the time in which any wait. Later arrivals of higher tiers
	// lower it.
	startRate drain.Meter

	queued  int
	running int
	victims int // running jobs that may be preempted
}

// team is the state of a team within one tier.
type team struct {
	// served is the team's virtual token counter.
	served  int64
	index   uint64
	pos     int // in tier.active
	jobs    indexHeap[*item]
	byClass []int // number of waiting jobs by class.index
}

// team returns the team with the name, creating it if necessary.
func (t *tier) team(name string) *team {
	m, ok := t.teams[name]
	if ok {
		return m
	}
	m = &team{index: uint64(len(t.teams)), pos: absent}
	t.teams[name] = m
	return m
}

// advance accounts for the time since the number of waiting jobs last changed.
func (t *tier) advance(now time.Time) { t.startRate.Advance(now, min(t.queued, 1)) }

// push adds a waiting job to its team's queue. With lift it raises the counter
// of a team that becomes active to at least minServed.
func (t *tier) push(now time.Time, it *item, lift bool) {
	t.advance(now)
	m := it.team
	if m.pos == absent {
		if lift {
			m.served = max(m.served, t.minServed())
		}
		t.active.add(node[*team]{key: m.served, tie: m.index, pos: &m.pos, val: m})
	}
	m.jobs.add(node[*item]{key: unixNano(it.job.Deadline), tie: it.arrival, pos: &it.teamPos, val: it})
	m.addWaiting(it.class, 1)
	t.queued++
}

// minServed returns the lowest counter of the active teams, or the counter of
// the last active team if there are none. A team that becomes active again
// doesn't start below it, so that it can't save up service while it is idle.
func (t *tier) minServed() int64 {
	if len(t.active) > 0 {
		return t.active[0].key
	}
	if t.lastActive != nil {
		return t.lastActive.served
	}
	return 0
}

// remove removes a waiting job from its team's queue.
func (t *tier) remove(now time.Time, it *item) {
	t.advance(now)
	m := it.team
	m.jobs.remove(it.teamPos)
	m.addWaiting(it.class, -1)
	t.queued--
	if len(m.jobs) == 0 {
		t.active.remove(m.pos)
		t.lastActive = m
	}
}

// charge adds tokens, which may be negative, to the team's counter.
func (t *tier) charge(m *team, tokens int64) {
	m.served += tokens
	if m.pos != absent {
		t.active.setKey(m.pos, m.served)
	}
}

// head returns the tier's next job to start, or nil if none waits.
func (t *tier) head() *item {
	if len(t.active) == 0 {
		return nil
	}
	return t.active[0].val.jobs[0].val
}

func (m *team) addWaiting(c *class, n int) {
	for len(m.byClass) <= c.index {
		m.byClass = append(m.byClass, 0)
	}
	m.byClass[c.index] += n
}

// waitingOfClass returns the number of the team's waiting jobs of the class.
func (m *team) waitingOfClass(c *class) int {
	if c.index >= len(m.byClass) {
		return 0
	}
	return m.byClass[c.index]
}
