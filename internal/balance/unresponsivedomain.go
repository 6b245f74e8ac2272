package balance

import (
	"slices"
	"sync"
	"time"
)

const (
	// minUnresponsiveEndpoints is how many endpoints of a failure domain must be unresponsive
	// for the domain to be: a single process may have ended by itself.
	minUnresponsiveEndpoints = 2
	// minPresumedDown is how many endpoints of a failure domain must be unresponsive for those
	// with open requests to be presumed down: two may be slow at the same time.
	minPresumedDown = 3
	// maxUnresponsiveDomainShare is the largest share of a group's endpoints in unresponsive
	// failure domains, where at least minPresumedDown endpoints of each are unresponsive.
	// While the remaining endpoints respond, avoiding the others is right even if it is this
	// router that is cut off from them.
	maxUnresponsiveDomainShare = 0.75
	// minReportedDomainGap is how long no endpoint of a failure domain may have responded to or
	// reported to any router, where its endpoints were found unresponsive one by one: two
	// intervals of the peers' load reports.
	minReportedDomainGap = 500 * time.Millisecond
	// domainAvoidFor is how long one check has a failure domain avoided: until the next check,
	// with some slack.
	domainAvoidFor = 2 * UnresponsiveCheckInterval
	// maxCheckGap is the longest interval between two checks of a router that runs steadily.
	// After a longer pause it has read the responses of some endpoints and not yet of others.
	maxCheckGap = minResponseGap
)

// domainState is what a router knows of the endpoints of a group in one failure domain. It shows
// that all of them are unresponsive earlier than each endpoint's own state does, and before a
// request has been sent to each of them.
type domainState struct {
	name           string
	endpoints      int // that accept new requests
	active         []domainEndpoint
	unresponsive   int       // endpoints that this router or its peers found unresponsive
	lastResponseAt time.Time // of any of them, a load report to this router or a peer included
	reportsLoad    bool
}

// domainEndpoint is an endpoint with open requests.
type domainEndpoint struct {
	name         string
	waitingSince time.Time // of the last response data, or of the first open request
	unresponsive bool      // by this router or its peers
}

// domainMonitor is the state kept between two checks for unresponsive failure domains.
type domainMonitor struct {
	mu           sync.Mutex
	lastCheck    time.Time
	steadySince  time.Time // no long pause between checks since
	unresponsive map[groupDomain]bool
	// presumedDown are endpoints of unresponsive domains that have open requests and sent no
	// response data for UnresponsiveTimeout.
	presumedDown []string
}

// groupDomain names the endpoints of a group in one failure domain.
type groupDomain struct{ group, domain string }

// DomainEvent is the event that a failure domain became unresponsive, or responds again.
type DomainEvent struct {
	Group, FailureDomain string
	Endpoints            int // of the group in the failure domain
	Unresponsive         bool
}

// recordCheck records a check and reports whether the checks have come without a long pause for at
// least maxCheckGap.
func (w *domainMonitor) recordCheck(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now.Sub(w.lastCheck) > maxCheckGap {
		w.steadySince = now
	}
	w.lastCheck = now
	return now.Sub(w.steadySince) >= maxCheckGap
}

// update stores the unresponsive domains and the endpoints presumed down, and returns an event for
// each domain that became unresponsive or responds again.
func (w *domainMonitor) update(unresponsive map[groupDomain]int, presumedDown []string) []DomainEvent {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.presumedDown = presumedDown
	var events []DomainEvent
	for k, endpoints := range unresponsive {
		if !w.unresponsive[k] {
			events = append(events, DomainEvent{k.group, k.domain, endpoints, true})
		}
	}
	for k := range w.unresponsive {
		if _, found := unresponsive[k]; !found {
			events = append(events, DomainEvent{Group: k.group, FailureDomain: k.domain})
		}
	}
	w.unresponsive = make(map[groupDomain]bool, len(unresponsive))
	for k := range unresponsive {
		w.unresponsive[k] = true
	}
	return events
}

// PresumedDown lists the endpoints that the last check presumed down: they sent nothing for
// UnresponsiveTimeout while requests were open, and their failure domain is unresponsive, with at
// least minPresumedDown such endpoints. An endpoint that is only slow must not be listed, since a
// run must not be resumed elsewhere while its endpoint still works on it.
func (p *Pool) PresumedDown() []string {
	p.domains.mu.Lock()
	defer p.domains.mu.Unlock()
	return p.domains.presumedDown
}

// UnresponsiveDomainCount counts the failure domains, per group of endpoints, that this router
// avoids as unresponsive.
func (p *Pool) UnresponsiveDomainCount() int {
	p.domains.mu.Lock()
	defer p.domains.mu.Unlock()
	return len(p.domains.unresponsive)
}

// domain returns the state of a failure domain and adds it if needed. There are few, so that a
// linear search will do.
func (g *groupState) domain(name string) *domainState {
	for _, d := range g.domains {
		if d.name == name {
			return d
		}
	}
	d := &domainState{name: name}
	g.domains = append(g.domains, d)
	return d
}

// add adds an endpoint to its failure domain. The caller holds the lock of its shard.
func (d *domainState) add(now time.Time, name string, st *state) {
	d.lastResponseAt = maxTime(d.lastResponseAt, maxTime(st.lastResponseAt, st.reportedAt))
	if st.leaving {
		return
	}
	d.endpoints++
	d.reportsLoad = d.reportsLoad || !st.reportedAt.IsZero()
	unresponsive := st.isUnresponsive(now) || now.Sub(st.peersFoundUnresponsiveAt) <= unresponsiveReportTTL
	if unresponsive {
		d.unresponsive++
	}
	if st.inflight > 0 {
		d.active = append(d.active, domainEndpoint{name, st.waitingSince, unresponsive})
	}
}

// presumedDown lists the endpoints with open requests that sent no response data for
// UnresponsiveTimeout; none if fewer than minPresumedDown of the failure domain are unresponsive.
func (d *domainState) presumedDown(now time.Time) []string {
	var names []string
	unresponsive := d.unresponsive
	for _, e := range d.active {
		if now.Sub(e.waitingSince) < UnresponsiveTimeout {
			continue
		}
		names = append(names, e.name)
		if !e.unresponsive {
			unresponsive++
		}
	}
	if unresponsive < minPresumedDown {
		return nil
	}
	return names
}

// responseGap is how long the given number of endpoints with open requests, and all other endpoints
// of the failure domain, have sent nothing; 0 if fewer endpoints have open requests.
func (d *domainState) responseGap(now time.Time, endpoints int) time.Duration {
	if len(d.active) < endpoints {
		return 0
	}
	slices.SortFunc(d.active, func(a, b domainEndpoint) int { return a.waitingSince.Compare(b.waitingSince) })
	return max(0, now.Sub(maxTime(d.lastResponseAt, d.active[endpoints-1].waitingSince)))
}

// isUnresponsive reports whether the failure domain is unresponsive: the given number of endpoints
// was found so, or their response gap is unusual among the group's domains.
func (d *domainState) isUnresponsive(now time.Time, e *engineSpeeds, endpoints int) bool {
	if d.unresponsive >= endpoints && now.Sub(d.lastResponseAt) >= minReportedDomainGap {
		return true
	}
	if !d.reportsLoad {
		return d.responseGap(now, endpoints) > UnresponsiveTimeout // shorter gaps may be growing queues
	}
	limit, known := e.domainGapLimit()
	return known && d.responseGap(now, endpoints) > limit
}

// checkDomains avoids the endpoints of failure domains that are unresponsive as a whole, and returns
// those of them with open requests of this router.
func (p *Pool) checkDomains(now time.Time, groups map[string]*groupState) []string {
	steady := p.domains.recordCheck(now)
	unresponsive := make(map[groupDomain]int)
	var active, presumedDown []string
	for group, g := range groups {
		for _, d := range g.unresponsiveDomains(now, steady) {
			unresponsive[groupDomain{group, d.name}] = d.endpoints
			p.avoidDomain(now.Add(domainAvoidFor), group, d.name)
			presumedDown = append(presumedDown, d.presumedDown(now)...)
			for _, e := range d.active {
				active = append(active, e.name)
			}
		}
	}
	for _, event := range p.domains.update(unresponsive, presumedDown) {
		if p.cfg.OnDomainEvent != nil {
			p.cfg.OnDomainEvent(event)
		}
	}
	return active
}

// unresponsiveDomains lists the unresponsive failure domains of the group and records the response
// gaps of the others. It returns none if the others don't respond either, or if too many endpoints
// would be unresponsive: this router may then be slow or cut off. steady says that checks have come
// without a long pause.
func (g *groupState) unresponsiveDomains(now time.Time, steady bool) []*domainState {
	var unresponsive, certain []*domainState
	var othersRespondedAt time.Time
	for _, d := range g.domains {
		if d.name == "" || !d.isUnresponsive(now, g.speeds, minUnresponsiveEndpoints) {
			othersRespondedAt = maxTime(othersRespondedAt, d.lastResponseAt)
			g.speeds.recordDomainGap(d.responseGap(now, minUnresponsiveEndpoints))
			continue
		}
		unresponsive = append(unresponsive, d)
		if d.isUnresponsive(now, g.speeds, minPresumedDown) {
			certain = append(certain, d)
		}
	}
	switch {
	case !steady || now.Sub(othersRespondedAt) > minResponseGap:
		return nil
	case g.endpointShare(unresponsive) <= maxUnresponsiveShare:
		return unresponsive
	case g.endpointShare(certain) <= maxUnresponsiveDomainShare:
		return certain
	}
	return nil
}

// endpointShare is the share of the group's endpoints that are in the given failure domains.
func (g *groupState) endpointShare(domains []*domainState) float64 {
	endpoints := 0
	for _, d := range domains {
		endpoints += d.endpoints
	}
	return float64(endpoints) / float64(g.endpoints)
}

// avoidDomain avoids the endpoints of a group in a failure domain until the given time.
func (p *Pool) avoidDomain(until time.Time, group, domain string) {
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

// domainGapLimit is the response gap above which a failure domain's gap is unusual; false while
// there are too few samples.
func (e *engineSpeeds) domainGapLimit() (time.Duration, bool) {
	if e == nil {
		return 0, false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.domainResponseGap.gapLimit()
}

// recordDomainGap records a response gap of a failure domain.
func (e *engineSpeeds) recordDomainGap(gap time.Duration) {
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.domainResponseGap.add(gap.Seconds(), responseGapQuantile)
}

// gapLimit is the response gap above which a gap is unusual; false while there are too few samples.
func (m *quantile) gapLimit() (time.Duration, bool) {
	if m.samples < minSamples {
		return 0, false
	}
	return max(minResponseGap, seconds(responseGapFactor*m.value)), true
}
