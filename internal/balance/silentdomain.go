package balance

import (
	"slices"
	"sync"
	"time"
)

const (
	// leastSilentEndpoints is how many endpoints of a failure domain must be silent for it to
	// be: one may have ended alone.
	leastSilentEndpoints = 2
	// leastLostEndpoints is how many must be for those to be taken for lost at which requests are
	// open: two may be slow at once.
	leastLostEndpoints = 3
	// mostInSilentDomains is the part of a group's endpoints that may count as silent with their
	// failure domains where several of each are: as long as the rest answers it doesn't
	// matter whether it is this router that is cut off from them.
	mostInSilentDomains = 0.75
	// domainTold is for how long nothing must have been heard of a failure domain where
	// others found its endpoints silent: two of their tellings of load.
	domainTold = 500 * time.Millisecond
	// domainHold is how long a failure domain is avoided by one look: until the next one, with
	// some slack.
	domainHold = 2 * SilenceTick
	// steadyLook is the longest time between two looks of a router that runs. One that stood
	// still has unread answers of some endpoints and has read those of others.
	steadyLook = leastSilence
)

// quietDomain is what a router knows of the endpoints of a group in one failure domain. It finds
// out sooner than at each endpoint alone that all have fallen silent, and before a request is
// sent to each of them.
type quietDomain struct {
	name      string
	members   int // that may get work
	open      []quietEndpoint
	found     int       // that somebody found silent
	heardAt   time.Time // of any of them, by this router or by others
	tellsLoad bool
}

// quietEndpoint is one at which requests are open and nothing was heard since a moment.
type quietEndpoint struct {
	name  string
	since time.Time
	found bool // somebody found it silent
}

// domainWatch is what is kept from one look for silent failure domains to the next.
type domainWatch struct {
	mu     sync.Mutex
	last   time.Time // the look before
	steady time.Time // looks have come without a long pause since
	silent map[groupDomain]bool
	// lost are endpoints of the silent ones that nothing was heard of for SilenceLimit
	// though requests are open there.
	lost []string
}

// groupDomain names the endpoints of a group in one failure domain.
type groupDomain struct{ group, domain string }

// SilentDomain is a failure domain of which a router hears nothing any more, or hears again.
type SilentDomain struct {
	Group, FailureDomain string
	Endpoints            int // of the group there
	Silent               bool
}

// look notes a look and says whether the router has run without a long pause for a while.
func (w *domainWatch) look(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now.Sub(w.last) > steadyLook {
		w.steady = now
	}
	w.last = now
	return now.Sub(w.steady) >= steadyLook
}

// note notes which failure domains are silent and which endpoints are lost, and returns the
// domains that weren't silent before and those that no longer are.
func (w *domainWatch) note(silent map[groupDomain]int, lost []string) []SilentDomain {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lost = lost
	var events []SilentDomain
	for k, endpoints := range silent {
		if !w.silent[k] {
			events = append(events, SilentDomain{k.group, k.domain, endpoints, true})
		}
	}
	for k := range w.silent {
		if _, still := silent[k]; !still {
			events = append(events, SilentDomain{Group: k.group, FailureDomain: k.domain})
		}
	}
	w.silent = make(map[groupDomain]bool, len(silent))
	for k := range silent {
		w.silent[k] = true
	}
	return events
}

// Lost lists the endpoints that are taken for lost by the last look: their whole failure domain
// is silent, several of them long enough, and nothing has come for a second though requests are
// open there. A slow endpoint isn't: a run must not go on elsewhere while its endpoint still works
// on it.
func (p *Pool) Lost() []string {
	p.domains.mu.Lock()
	defer p.domains.mu.Unlock()
	return p.domains.lost
}

// SilentDomains is how many groups of endpoints this router avoids, each in one failure domain
// of which it hears nothing.
func (p *Pool) SilentDomains() int {
	p.domains.mu.Lock()
	defer p.domains.mu.Unlock()
	return len(p.domains.silent)
}

// domain returns the state of a failure domain, of which there are few.
func (g *peerGroupState) domain(name string) *quietDomain {
	for _, d := range g.domains {
		if d.name == name {
			return d
		}
	}
	d := &quietDomain{name: name}
	g.domains = append(g.domains, d)
	return d
}

// note adds an endpoint of the failure domain, whose shard is locked.
func (d *quietDomain) note(now time.Time, name string, st *state) {
	d.heardAt = maxTime(d.heardAt, maxTime(st.heardAt, st.reportedAt))
	if st.leaving {
		return
	}
	d.members++
	d.tellsLoad = d.tellsLoad || !st.reportedAt.IsZero()
	found := st.isSilent(now) || now.Sub(st.toldAt) <= silentFor
	if found {
		d.found++
	}
	if st.inflight > 0 {
		d.open = append(d.open, quietEndpoint{name, st.quietSince, found})
	}
}

// lost lists the endpoints of a silent failure domain of which nothing has come for
// SilenceLimit though requests are open there, where enough others are as silent.
func (d *quietDomain) lost(now time.Time) []string {
	var names []string
	silent := d.found
	for _, e := range d.open {
		if now.Sub(e.since) < SilenceLimit {
			continue
		}
		names = append(names, e.name)
		if !e.found {
			silent++
		}
	}
	if silent < leastLostEndpoints {
		return nil
	}
	return names
}

// quiet is for how long nothing has come of so many endpoints with open requests, nor of any
// other one; 0 if there are no such endpoints.
func (d *quietDomain) quiet(now time.Time, endpoints int) time.Duration {
	if len(d.open) < endpoints {
		return 0
	}
	slices.SortFunc(d.open, func(a, b quietEndpoint) int { return a.since.Compare(b.since) })
	return max(0, now.Sub(maxTime(d.heardAt, d.open[endpoints-1].since)))
}

// isSilent says whether the failure domain is, by so many endpoints there and what is usual for
// the group's domains.
func (d *quietDomain) isSilent(now time.Time, e *engineSpeeds, endpoints int) bool {
	if d.found >= endpoints && now.Sub(d.heardAt) >= domainTold {
		return true
	}
	if !d.tellsLoad {
		return d.quiet(now, endpoints) > SilenceLimit // a queue that grows looks like a silence
	}
	usual, known := e.usualDomainQuiet()
	return known && d.quiet(now, endpoints) > usual
}

// silentDomains has the endpoints of failure domains avoided that have fallen silent as a whole,
// and returns those of them at which requests of this router are open.
func (p *Pool) silentDomains(now time.Time, groups map[string]*peerGroupState) []string {
	steady := p.domains.look(now)
	silent := make(map[groupDomain]int)
	var open, lost []string
	for group, g := range groups {
		for _, d := range g.silentDomains(now, steady) {
			silent[groupDomain{group, d.name}] = d.members
			p.avoidAll(now.Add(domainHold), group, d.name)
			lost = append(lost, d.lost(now)...)
			for _, e := range d.open {
				open = append(open, e.name)
			}
		}
	}
	for _, event := range p.domains.note(silent, lost) {
		if p.cfg.OnSilentDomain != nil {
			p.cfg.OnSilentDomain(event)
		}
	}
	return open
}

// silentDomains lists the failure domains of the group that are silent, and learns from the
// others what is usual. Where nothing was heard of the rest, or too many endpoints would be
// silent, it may be this router that is cut off, or slow.
func (g *peerGroupState) silentDomains(now time.Time, steady bool) []*quietDomain {
	var silent, certain []*quietDomain
	var restHeard time.Time
	for _, d := range g.domains {
		if d.name == "" || !d.isSilent(now, g.engines, leastSilentEndpoints) {
			restHeard = maxTime(restHeard, d.heardAt)
			g.engines.sawDomainQuiet(d.quiet(now, leastSilentEndpoints))
			continue
		}
		silent = append(silent, d)
		if d.isSilent(now, g.engines, leastLostEndpoints) {
			certain = append(certain, d)
		}
	}
	switch {
	case !steady || now.Sub(restHeard) > leastSilence:
		return nil
	case g.part(silent) <= mostSilent:
		return silent
	case g.part(certain) <= mostInSilentDomains:
		return certain
	}
	return nil
}

// part is the part of the group's endpoints that some of its failure domains have.
func (g *peerGroupState) part(domains []*quietDomain) float64 {
	endpoints := 0
	for _, d := range domains {
		endpoints += d.members
	}
	return float64(endpoints) / float64(g.endpoints)
}

// avoidAll has the endpoints of a group in a failure domain avoided until a moment.
func (p *Pool) avoidAll(until time.Time, group, domain string) {
	for i := range p.shards {
		sh := &p.shards[i]
		sh.mu.Lock()
		for _, st := range sh.states {
			if st.group == group && st.domain == domain && !st.leaving {
				st.avoidUntil = maxTime(st.avoidUntil, until)
			}
		}
		sh.mu.Unlock()
	}
}

// usualDomainQuiet is the silence beyond which a failure domain isn't like the others; false
// while too little is known of them.
func (e *engineSpeeds) usualDomainQuiet() (time.Duration, bool) {
	if e == nil {
		return 0, false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.domainQuiet.unusual()
}

// sawDomainQuiet takes for how long nothing was heard of a failure domain with open requests.
func (e *engineSpeeds) sawDomainQuiet(quiet time.Duration) {
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.domainQuiet.add(quiet.Seconds(), quietQuantile)
}

// unusual is the silence that isn't usual any more; false while too little is known.
func (m *quantile) unusual() (time.Duration, bool) {
	if m.samples < leastSamples {
		return 0, false
	}
	return max(leastSilence, seconds(quietFactor*m.value)), true
}
