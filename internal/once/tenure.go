package once

import "time"

// View is the part of a bundle that a KeyRegistry uses.
type View struct {
	Version uint64
	// Issued is the bundle's creation time; it is only compared with that of other bundles.
	Issued time.Time
	// Lists holds the list of each target.
	Lists map[string]*List
}

// listPeriod is a list that was in force here and the time since which only this agent accepts
// the keys that it assigns here; zero if the list was never claimed.
type listPeriod struct {
	list      *List
	claimedAt time.Time
}

// maxListPeriods bounds the number of remembered lists. When the oldest is dropped, some keys
// appear to have changed their home later than they did and are refused.
const maxListPeriods = 64

// formerMember is an endpoint that is not on the current list and may not have been informed of
// it.
type formerMember struct {
	member Member
	// lastSeen is when it was last on the list here or was last reported to hold another list.
	lastSeen time.Time
}

// targetState is the agent's state for one target: the lists it has held, which of them it has
// claimed, and which peers have agreed.
type targetState struct {
	periods []listPeriod
	// agreed holds the peers that have held the list in force since this agent received it.
	agreed        map[string]bool
	formerMembers map[string]formerMember
	// settledAt is when the agents that this one can't know of have stopped or hold a current
	// list.
	settledAt time.Time
	// newestVersion is the newest version that a peer with another list has reported.
	newestVersion uint64
	lastQueried   time.Time
}

func newTargetState(list *List, settled time.Time) *targetState {
	return &targetState{
		periods:       []listPeriod{{list: list}},
		agreed:        make(map[string]bool),
		formerMembers: make(map[string]formerMember),
		settledAt:     settled,
	}
}

func (t *targetState) list() *List { return t.periods[len(t.periods)-1].list }

func (t *targetState) claimed() bool { return !t.periods[len(t.periods)-1].claimedAt.IsZero() }

// setList sets the list in force.
func (t *targetState) setList(now time.Time, list *List) {
	for _, m := range t.list().members {
		if !list.has(m) {
			t.formerMembers[m.id()] = formerMember{member: m, lastSeen: now}
		}
	}
	for _, m := range list.members {
		delete(t.formerMembers, m.id())
	}
	t.periods = append(t.periods, listPeriod{list: list})
	if len(t.periods) > maxListPeriods {
		t.periods = t.periods[1:]
	}
	t.agreed = make(map[string]bool)
	t.lastQueried = time.Time{}
}

// resetClaims drops all claims, as after a start.
func (t *targetState) resetClaims(settled time.Time) {
	t.periods = []listPeriod{{list: t.list()}}
	t.agreed = make(map[string]bool)
	t.settledAt = settled
	t.lastQueried = time.Time{}
}

// homeSince returns the time since which this agent alone has continuously acted as the key's
// home, and false if it doesn't.
func (t *targetState) homeSince(self, team, key string) (time.Time, bool) {
	var first time.Time
	for i := len(t.periods) - 1; i >= 0; i-- {
		s := t.periods[i]
		if s.list.Home(team, key) != self {
			break
		}
		if !s.claimedAt.IsZero() {
			first = s.claimedAt
		}
	}
	return first, !first.IsZero()
}

// pruneBefore drops lists whose successor was claimed before the given time, since every key
// that may still be used was issued later.
func (t *targetState) pruneBefore(before time.Time) {
	for i := len(t.periods) - 1; i > 0; i-- {
		if c := t.periods[i].claimedAt; !c.IsZero() && c.Before(before) {
			t.periods = t.periods[i:]
			return
		}
	}
}
