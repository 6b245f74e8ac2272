package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Core computes the state of each endpoint from events. It is not safe for
// concurrent use.
type Core struct {
	tuning    Tuning
	endpoints map[string]*endpointState
	departing departing
	list      listState
}

// NewCore returns a core without endpoints.
func NewCore(t Tuning) *Core {
	return &Core{tuning: t.withDefaults(), endpoints: make(map[string]*endpointState), departing: make(departing)}
}

// Apply processes an event and returns the resulting state changes, sorted by
// endpoint name. Events about endpoints that the bundle doesn't define are ignored.
func (c *Core) Apply(now time.Time, ev Event) []Change {
	switch ev := ev.(type) {
	case BundleApplied:
		return c.setBundle(now, ev)
	case ListRead:
		if c.applyList(now, ev) {
			return c.evaluateAll(now)
		}
	case ListUnchanged:
		c.list.advance(now, ev.At)
		return c.evaluateAll(now)
	case AgentStatus:
		if e := c.endpoints[ev.Endpoint]; e != nil && e.applyStatus(now, ev) {
			return c.evaluate(now, e, nil)
		}
	case Unresponsive:
		if e := c.endpoints[ev.Endpoint]; e != nil {
			e.unresponsiveAt = now
			return c.evaluate(now, e, nil)
		}
	case ConnectionFailure:
		if e := c.endpoints[ev.Endpoint]; e != nil && e.spec.mayRun(ev.Incarnation) {
			e.recordFailure(now, ev.Kind)
			return c.evaluate(now, e, nil)
		}
	}
	return nil
}

// Tick re-evaluates all endpoints at the given time: the list may have become
// stale, and unresponsive marks may have expired.
func (c *Core) Tick(now time.Time) []Change {
	for _, e := range c.endpoints {
		e.expireUnresponsive(now, c.tuning)
	}
	return c.evaluateAll(now)
}

// Accepts reports whether a status comes from an endpoint of the bundle and not
// from an incarnation that has since been replaced. If it returns false, the load
// report that came with the status must be ignored too.
func (c *Core) Accepts(status AgentStatus) bool {
	e := c.endpoints[status.Endpoint]
	return e != nil && !e.isOutdated(status)
}

// Members returns all endpoints of the bundle, sorted by name.
func (c *Core) Members() []Member {
	members := make([]Member, 0, len(c.endpoints))
	for _, name := range c.endpointNames() {
		members = append(members, c.endpoints[name].member())
	}
	return members
}

func (c *Core) endpointNames() []string { return slices.Sorted(maps.Keys(c.endpoints)) }

// setBundle replaces the set of endpoints. An endpoint whose VM, address and
// incarnation are unchanged keeps everything. Of a changed one only the last state
// and the incarnations are kept; delayed messages from these may still arrive. A
// process that reported leaving stays so while the bundle lacks it or changes it.
func (c *Core) setBundle(now time.Time, b BundleApplied) []Change {
	var changes []Change
	next := make(map[string]*endpointState, len(b.Endpoints))
	for _, spec := range b.Endpoints {
		before := c.endpoints[spec.Endpoint]
		e := before
		if e == nil || e.spec != spec {
			if before != nil {
				c.departing.add(now, before)
			}
			e = newEndpointState(spec, now, before)
			e.listStatus, e.listChangedAt = c.list.status(spec.VM), now
			c.departing.restore(now, e)
		}
		if before != nil && !before.spec.mayRun(spec.Incarnation) {
			e.resetForNewProcess()
			changes = append(changes, Change{Endpoint: spec.Endpoint, From: before.state, To: e.state, Reason: ReasonRestarted})
		}
		next[spec.Endpoint] = e
	}
	for name, e := range c.endpoints {
		if next[name] == nil {
			c.departing.add(now, e)
			changes = append(changes, Change{Endpoint: name, From: e.state, To: Gone, Reason: ReasonBundle})
		}
	}
	c.endpoints = next
	return sortByEndpoint(append(changes, c.evaluateAll(now)...))
}

// evaluateAll sorts only the changes, not the endpoints: it runs several times a
// second and rarely finds a change.
func (c *Core) evaluateAll(now time.Time) []Change {
	var changes []Change
	for _, e := range c.endpoints {
		changes = c.evaluate(now, e, changes)
	}
	return sortByEndpoint(changes)
}

func sortByEndpoint(changes []Change) []Change {
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return changes
}

// evaluate recomputes an endpoint's state and appends a Change if it differs.
func (c *Core) evaluate(now time.Time, e *endpointState, changes []Change) []Change {
	state, reason := e.evaluate(c.list.stale(now, c.tuning.ListStaleAfter), c.tuning)
	if state == e.state && reason == e.reason {
		return changes
	}
	from := e.state
	e.state, e.reason, e.since = state, reason, now
	if state == from {
		return changes
	}
	e.probe.start(now, state, c.tuning)
	change := Change{Endpoint: e.spec.Endpoint, From: from, To: state, Reason: reason}
	if state == Live {
		change.PossiblyRestarted, e.possiblyRestarted = e.possiblyRestarted, false
	}
	return append(changes, change)
}
