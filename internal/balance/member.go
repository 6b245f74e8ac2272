package balance

import "time"

// SetSuspect sets whether connections to an endpoint fail. A suspect endpoint is chosen only where
// all candidates have no weight, since the failure may be on this router's side.
func (p *Pool) SetSuspect(endpoint string, suspect bool) {
	sh := p.shard(endpoint)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.state(endpoint).rateState.suspect = suspect
}

// MajoritySuspect reports whether more than half of the endpoint's group, itself included, is
// suspect: then it is this router that was cut off.
func (p *Pool) MajoritySuspect(endpoint string) bool {
	all, suspect := p.countInGroup(p.groupOf(endpoint))
	return 2*suspect > all
}

// Return puts an endpoint back into use that was leaving, suspect or gone. Its weight grows as
// after an ejection. The last load report stays, so that an older one can't replace it.
func (p *Pool) Return(now time.Time, endpoint string) {
	sh := p.shard(endpoint)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	st := sh.state(endpoint)
	st.leaving, st.rateState.suspect = false, false
	if st.health.ejectedUntil.Before(now) {
		// The failure share is kept: requests may fail where health checks pass.
		st.health = health{ejectedUntil: now, ejections: st.health.ejections, failureShare: st.health.failureShare}
	}
}
