package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Core decides which endpoints may be used. It is not safe for concurrent use.
type Core struct {
	tuning    Tuning
	endpoints map[string]*evidence
	list      listState
}

// NewCore returns a core that knows no endpoint yet.
func NewCore(t Tuning) *Core {
	return &Core{tuning: t.withDefaults(), endpoints: make(map[string]*evidence)}
}

// Apply takes an event in and returns the states that changed, by the names of
// the endpoints. Events on endpoints that the bundle doesn't name change nothing.
func (c *Core) Apply(now time.Time, ev Event) []Change {
	switch ev := ev.(type) {
	case Bundle:
		return c.setBundle(now, ev)
	case ListRead:
		if c.takeList(now, ev) {
			return c.judgeAll(now)
		}
	case ListRenewed:
		c.list.renew(now, ev.At)
		return c.judgeAll(now)
	case OwnWord:
		if e := c.endpoints[ev.Endpoint]; e != nil && e.hear(now, ev) {
			return c.judge(now, e, nil)
		}
	case Silence:
		if e := c.endpoints[ev.Endpoint]; e != nil {
			e.silentAt = now
			return c.judge(now, e, nil)
		}
	case ConnectionResult:
		if e := c.endpoints[ev.Endpoint]; e != nil && e.place.mayBe(ev.Incarnation) {
			e.fail(now, ev.Result)
			return c.judge(now, e, nil)
		}
	}
	return nil
}

// Tick takes note of the time alone, which can turn a list stale and end a silence.
func (c *Core) Tick(now time.Time) []Change {
	for _, e := range c.endpoints {
		e.endSilence(now, c.tuning)
	}
	return c.judgeAll(now)
}

// Counts says whether words come from an endpoint of the bundle, and not from an
// incarnation that another has followed; else its load report counts neither.
func (c *Core) Counts(w OwnWord) bool {
	e := c.endpoints[w.Endpoint]
	return e != nil && !e.isLate(w)
}

// Members lists all endpoints of the bundle by their names.
func (c *Core) Members() []Member {
	members := make([]Member, 0, len(c.endpoints))
	for _, name := range c.names() {
		members = append(members, c.endpoints[name].member())
	}
	return members
}

func (c *Core) names() []string { return slices.Sorted(maps.Keys(c.endpoints)) }

// setBundle keeps what is known of the endpoints that stay where they are. Of
// one that moved only its earlier incarnations are kept, whose words may still
// come.
func (c *Core) setBundle(now time.Time, b Bundle) []Change {
	var changes []Change
	next := make(map[string]*evidence, len(b.Places))
	for _, p := range b.Places {
		before := c.endpoints[p.Endpoint]
		e := before
		if e == nil || e.place != p {
			e = newEvidence(p, now, before)
			e.list, e.listAt = c.list.word(p.VM), now
		}
		if before != nil && !before.place.mayBe(p.Incarnation) {
			e.begin()
			changes = append(changes, Change{Endpoint: p.Endpoint, From: before.state, To: e.state, Reason: ReasonRestarted})
		}
		next[p.Endpoint] = e
	}
	for name, e := range c.endpoints {
		if next[name] == nil {
			changes = append(changes, Change{Endpoint: name, From: e.state, To: Gone, Reason: ReasonBundle})
		}
	}
	c.endpoints = next
	return byName(append(changes, c.judgeAll(now)...))
}

// judgeAll sorts what changed only, as it is called several times a second and
// hardly ever finds a change.
func (c *Core) judgeAll(now time.Time) []Change {
	var changes []Change
	for _, e := range c.endpoints {
		changes = c.judge(now, e, changes)
	}
	return byName(changes)
}

func byName(changes []Change) []Change {
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return changes
}

// judge works out an endpoint's state and appends a change, if it is one.
func (c *Core) judge(now time.Time, e *evidence, changes []Change) []Change {
	state, reason := e.judge(c.list.stale(now, c.tuning.ListStale), c.tuning)
	if state == e.state && reason == e.reason {
		return changes
	}
	from := e.state
	e.state, e.reason, e.since = state, reason, now
	if state == from {
		return changes
	}
	e.probe.begin(now, state, c.tuning)
	change := Change{Endpoint: e.place.Endpoint, From: from, To: state, Reason: reason}
	if state == Live {
		change.MayBeNew, e.mayBeNew = e.mayBeNew, false
	}
	return append(changes, change)
}
