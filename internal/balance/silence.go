package balance

import (
	"slices"
	"time"
)

const (
	// SilenceLimit is the silence, over all open requests at an endpoint, after which it is
	// asked for its health, whatever its peers do: longer than the longest prompts take to be
	// read where nothing else runs, and a third of the time in which the list drops an
	// endpoint that has gone dark.
	SilenceLimit = time.Second
	// SilenceTick is the time between two looks for endpoints that fell silent.
	SilenceTick = 100 * time.Millisecond
	// leastSilence is the least silence that counts: below it lie pauses of the network and
	// of routers with a small part of a core.
	leastSilence = 250 * time.Millisecond
	// quietQuantile of the times for which peers are heard nothing of while they have requests
	// is what is usual, and quietFactor times that isn't.
	quietQuantile = 0.98
	quietFactor   = 6
	// mostSilent is the part of a group's endpoints that may count as silent before the limit:
	// a queue that grows is spread over all, a silence isn't.
	mostSilent = 0.5
	// silentWitnesses is how many other routers must find an endpoint silent for it to be
	// avoided here where it tells no load: one alone may be cut off itself. Where it does,
	// a report since contradicts them.
	silentWitnesses = 2
	// silentFor is how long their word counts, two tellings and some slack.
	silentFor = 750 * time.Millisecond
)

// openEndpoint is an endpoint at which requests of this router are open.
type openEndpoint struct {
	name, group string
	quiet       time.Duration // nothing was heard for so long
	early       bool          // that is more than is usual for its peers
}

// peerGroupState is what a router knows of the endpoints of a group together.
type peerGroupState struct {
	endpoints int       // that may get work
	early     int       // at which requests are open and it is more quiet than usual
	heardAt   time.Time // of any of them
	engines   *engineSpeeds
	domains   []*quietDomain
}

// Silent lists the endpoints that have open requests of this router and from which nothing
// was heard for so long, or for longer than is usual for their peers. A busy endpoint goes on
// with others. Where nothing was heard of any peer meanwhile it may be this router that is
// slow or cut off.
func (p *Pool) Silent(now time.Time, limit time.Duration) []string {
	var open []openEndpoint
	groups := make(map[string]*peerGroupState)
	for i := range p.shards {
		open = p.shards[i].open(open, groups, now)
	}
	silent := p.silentDomains(now, groups)
	for _, e := range open {
		g := groups[e.group]
		few := float64(g.early) <= mostSilent*float64(g.endpoints)
		peersHeard := g.heardAt.After(now.Add(leastSilence - e.quiet))
		if e.quiet > limit || e.early && few && peersHeard {
			silent = append(silent, e.name)
		}
	}
	slices.Sort(silent)
	silent = slices.Compact(silent)
	p.noteSilent(now, silent)
	return silent
}

// open adds the endpoints at which requests are open, and what is known of all by group.
func (sh *shard) open(list []openEndpoint, groups map[string]*peerGroupState, now time.Time) []openEndpoint {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for name, st := range sh.states {
		g := groups[st.group]
		if g == nil {
			g = &peerGroupState{engines: st.engines}
			groups[st.group] = g
		}
		if !st.leaving {
			g.endpoints++
		}
		g.heardAt = maxTime(g.heardAt, st.heardAt)
		g.domain(st.domain).note(now, name, st)
		if st.inflight == 0 {
			continue
		}
		quiet := now.Sub(st.quietSince)
		usual, known := st.engines.usualQuiet()
		// Where no load is told a queue that grows looks like a silence.
		early := known && quiet > usual && !st.reportedAt.IsZero()
		if early {
			g.early++
		}
		list = append(list, openEndpoint{name: name, group: st.group, quiet: quiet, early: early})
	}
	return list
}

// countInGroup is how many endpoints of a group there are that may get work, and how many of them
// connections fail to or are silent.
func (p *Pool) countInGroup(group string) (all, unsure int) {
	for i := range p.shards {
		sh := &p.shards[i]
		sh.mu.Lock()
		for _, st := range sh.states {
			if st.group != group || st.leaving {
				continue
			}
			all++
			if st.bound.suspect {
				unsure++
			}
		}
		sh.mu.Unlock()
	}
	return all, unsure
}

// noteSilent notes which endpoints this router finds silent, to tell others.
func (p *Pool) noteSilent(now time.Time, silent []string) {
	for _, name := range silent {
		sh := p.shard(name)
		sh.mu.Lock()
		if st, known := sh.states[name]; known {
			st.silentAt = now
		}
		sh.mu.Unlock()
	}
}

// isSilent says whether this router finds the endpoint silent: it did just now, or hasn't
// heard of it since.
func (st *state) isSilent(now time.Time) bool {
	return !st.silentAt.IsZero() && (st.bound.suspect || now.Sub(st.silentAt) <= 2*SilenceTick) && st.silentAt.After(st.heardAt)
}

// contradicts says whether somebody has heard of the endpoint since others have found it
// silent, or too few others did.
func (st *state) contradicts(now time.Time, w FailureWord) bool {
	since := now.Add(-time.Duration(w.SilentMillis) * time.Millisecond)
	if st.reportedAt.IsZero() && w.Silent < silentWitnesses {
		return true
	}
	return st.heardAt.After(since) || st.reportedAt.After(since)
}

// usualQuiet is the silence beyond which an endpoint isn't like its peers; false while too
// little is known of them.
func (e *engineSpeeds) usualQuiet() (time.Duration, bool) {
	if e == nil {
		return 0, false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.quiet.unusual()
}

// sawQuiet takes for how long an endpoint with open requests was heard nothing of.
func (e *engineSpeeds) sawQuiet(quiet time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.quiet.add(quiet.Seconds(), quietQuantile)
}
