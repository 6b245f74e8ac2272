package balance

import (
	"slices"
	"time"

	"coveferry/internal/age"
)

const (
	// UnresponsiveTimeout is the time without any response data, over all open requests at an
	// endpoint, after which the endpoint is health-checked regardless of the other endpoints. It is
	// longer than an idle engine needs to prefill the longest prompts, and a third of the time after
	// which the endpoint list drops an endpoint that has stopped reporting.
	UnresponsiveTimeout = time.Second
	// UnresponsiveCheckInterval is the interval between two checks for unresponsive endpoints.
	UnresponsiveCheckInterval = 100 * time.Millisecond
	// minResponseGap is the shortest response gap that counts. Network pauses, and pauses
	// of routers that have a small part of a core, are shorter.
	minResponseGap = 250 * time.Millisecond
	// responseGapQuantile and responseGapFactor set which response gap is unusual: one above
	// responseGapFactor times this quantile of the group's gaps. A response gap is the time
	// without response data from an endpoint that has open requests.
	responseGapQuantile = 0.98
	responseGapFactor   = 6
	// maxUnresponsiveShare is the largest share of a group's endpoints that may count as
	// unresponsive before UnresponsiveTimeout. Where more stop responding, load is the likelier
	// cause: growing queues affect all endpoints.
	maxUnresponsiveShare = 0.5
	// minUnresponsiveReporters is how many other routers must report an endpoint unresponsive
	// for this router to avoid it, if the endpoint sends no load reports: a single router may
	// itself be cut off. If it sends load reports, a newer one refutes the other routers.
	minUnresponsiveReporters = 2
	// unresponsiveReportTTL is how long a peer's report that an endpoint is unresponsive is
	// valid: two report intervals and some slack.
	unresponsiveReportTTL = 750 * time.Millisecond
)

// activeEndpoint is an endpoint with open requests of this router.
type activeEndpoint struct {
	name, group string
	responseGap time.Duration
	unusual     bool // responseGap is longer than usual in its group
}

// groupState is what a router knows of all endpoints of a group together.
type groupState struct {
	endpoints      int       // that accept new requests
	unusual        int       // that have open requests and an unusual response gap
	lastResponseAt time.Time // of any of them
	speeds         *engineSpeeds
	domains        []*domainState
}

// CheckUnresponsive lists the endpoints that have open requests of this router and sent no response
// data for longer than limit, or for longer than is usual in their group. An endpoint that is only
// busy still responds to other requests. Gaps aren't compared if no endpoint of the group responded
// in the meantime, since this router may then be slow or cut off. CheckUnresponsive also avoids
// unresponsive failure domains, reports their changes to Config.OnDomainEvent, lists their
// endpoints with open requests too and marks all endpoints listed for reports to peers.
func (p *Pool) CheckUnresponsive(now time.Time, limit time.Duration) []string {
	var active []activeEndpoint
	groups := make(map[string]*groupState)
	for i := range p.shards {
		active = p.shards[i].addActive(active, groups, now)
	}
	unresponsive := p.checkDomains(now, groups)
	for _, e := range active {
		g := groups[e.group]
		withinShare := float64(g.unusual) <= maxUnresponsiveShare*float64(g.endpoints)
		groupResponded := g.lastResponseAt.After(now.Add(minResponseGap - e.responseGap))
		if e.responseGap > limit || e.unusual && withinShare && groupResponded {
			unresponsive = append(unresponsive, e.name)
		}
	}
	slices.Sort(unresponsive)
	unresponsive = slices.Compact(unresponsive)
	p.markUnresponsive(now, unresponsive)
	return unresponsive
}

// addActive appends the shard's endpoints with open requests to list, and adds all of its
// endpoints to the state of their groups.
func (sh *shard) addActive(list []activeEndpoint, groups map[string]*groupState, now time.Time) []activeEndpoint {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for name, st := range sh.states {
		g := groups[st.group]
		if g == nil {
			g = &groupState{speeds: st.speeds}
			groups[st.group] = g
		}
		if !st.leaving {
			g.endpoints++
		}
		g.lastResponseAt = maxTime(g.lastResponseAt, st.lastResponseAt)
		g.domain(st.domain).add(now, name, st)
		if st.inflight == 0 {
			continue
		}
		gap := now.Sub(st.waitingSince)
		usual, known := st.speeds.responseGapLimit()
		// Without load reports a growing queue can't be told from an unresponsive endpoint.
		unusual := known && gap > usual && !st.reportedAt.IsZero()
		if unusual {
			g.unusual++
		}
		list = append(list, activeEndpoint{name: name, group: st.group, responseGap: gap, unusual: unusual})
	}
	return list
}

// countInGroup counts the endpoints of a group that accept new requests, and those of them that
// are suspect: connections to them fail or they are unresponsive.
func (p *Pool) countInGroup(group string) (all, suspect int) {
	for i := range p.shards {
		sh := &p.shards[i]
		sh.mu.Lock()
		for _, st := range sh.states {
			if st.group != group || st.leaving {
				continue
			}
			all++
			if st.rateState.suspect {
				suspect++
			}
		}
		sh.mu.Unlock()
	}
	return all, suspect
}

// markUnresponsive records the endpoints that this router found unresponsive, to report them to
// its peers.
func (p *Pool) markUnresponsive(now time.Time, unresponsive []string) {
	for _, name := range unresponsive {
		sh := p.shard(name)
		sh.mu.Lock()
		if st, known := sh.states[name]; known {
			st.foundUnresponsiveAt = now
		}
		sh.mu.Unlock()
	}
}

// isUnresponsive reports whether this router found the endpoint unresponsive and got no response
// since. The finding holds while the endpoint is suspect, or for two check intervals.
func (st *state) isUnresponsive(now time.Time) bool {
	return !st.foundUnresponsiveAt.IsZero() && (st.rateState.suspect || now.Sub(st.foundUnresponsiveAt) <= 2*UnresponsiveCheckInterval) && st.foundUnresponsiveAt.After(st.lastResponseAt)
}

// rejectsPeerReport reports whether a peer's report that the endpoint is unresponsive isn't
// accepted: too few routers found it so, if the endpoint sends no load reports, or it has responded
// or reported its load since.
func (st *state) rejectsPeerReport(now time.Time, w FailureSummary) bool {
	since, dated := age.FromMillis(w.UnresponsiveMillis).Before(now)
	if !dated {
		return true
	}
	if st.reportedAt.IsZero() && w.Unresponsive < minUnresponsiveReporters {
		return true
	}
	return st.lastResponseAt.After(since) || st.reportedAt.After(since)
}

// responseGapLimit is the response gap above which an endpoint's gap is unusual in its group; false
// while there are too few samples.
func (e *engineSpeeds) responseGapLimit() (time.Duration, bool) {
	if e == nil {
		return 0, false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.responseGap.gapLimit()
}

// recordResponseGap records a response gap of an endpoint with open requests.
func (e *engineSpeeds) recordResponseGap(gap time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.responseGap.add(gap.Seconds(), responseGapQuantile)
}
