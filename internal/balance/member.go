package balance

import "time"

// SetSuspect notes that connections to an endpoint fail. A suspect endpoint is
// chosen only where all candidates are shed: the failure may be the router's own.
func (p *Pool) SetSuspect(endpoint string, suspect bool) {
	sh := p.shard(endpoint)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.state(endpoint).bound.suspect = suspect
}

// MostUnsure says whether this router's connections to more than half of the endpoints fail that
// an endpoint is compared with: it was cut off itself.
func (p *Pool) MostUnsure(endpoint string) bool {
	all, unsure := p.countInGroup(p.groupOf(endpoint))
	return 2*unsure > all
}

// Return notes that an endpoint which was leaving, suspect or gone is used
// again. Its weight grows from little over the time that outliers take. The
// last report stays, so that an older one can't follow it.
func (p *Pool) Return(now time.Time, endpoint string) {
	sh := p.shard(endpoint)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	st := sh.state(endpoint)
	st.leaving, st.bound.suspect = false, false
	if st.health.until.Before(now) {
		// What failed before still counts: a health check may be good where
		// requests fail.
		st.health = health{until: now, times: st.health.times, failures: st.health.failures}
	}
}
