package balance

import (
	"time"

	"coveferry/internal/load"
)

// Sent records that a request was sent to an endpoint. Each call must be followed by one of Done.
func (p *Pool) Sent(now time.Time, endpoint string) {
	sh := p.shard(endpoint)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.state(endpoint).recordSent(now)
}

// Report records a load report of an endpoint. A report with an older Seq than the last one is
// ignored.
func (p *Pool) Report(now time.Time, endpoint string, r load.Report) {
	sh := p.shard(endpoint)
	sh.mu.Lock()
	st := sh.state(endpoint)
	changed := st.recordReport(now, r, p.cfg.SeqHold)
	estimate := st.pace.At(now)
	sh.mu.Unlock()
	p.notifyPace(changed, endpoint, estimate)
	p.detectOutliers(now, false)
}

// Done records the outcome of a request. firstToken is the time from sending to the first token,
// 0 if there was none.
func (p *Pool) Done(now time.Time, endpoint string, res Result, firstToken time.Duration) {
	sh := p.shard(endpoint)
	sh.mu.Lock()
	st := sh.state(endpoint)
	st.recordDone(now, res, firstToken, p.cfg.FirstTokenSmoothing)
	failing := res == ResultFailed && st.health.failureShare > p.cfg.Outlier.FailureShare
	sh.mu.Unlock()
	p.detectOutliers(now, failing)
}

// SetLeaving records whether membership lists an endpoint as leaving. A leaving endpoint isn't
// chosen, whatever older reports say, until membership lists it as returned (false) or Forget is
// called.
func (p *Pool) SetLeaving(endpoint string, leaving bool) {
	sh := p.shard(endpoint)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.state(endpoint).leaving = leaving
}

// Usable reports whether an endpoint may be sent new requests and is neither suspect, avoided nor
// backing off.
func (p *Pool) Usable(now time.Time, endpoint string) bool {
	sh := p.shard(endpoint)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	st, known := sh.states[endpoint]
	return known && !st.leaving && !st.rateState.suspect && !now.Before(st.avoidUntil) && st.backoff.allows(now, 0)
}

// InService reports whether an endpoint is neither leaving nor suspect. It may be at its rate limit
// or backing off.
func (p *Pool) InService(endpoint string) bool {
	sh := p.shard(endpoint)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	st, known := sh.states[endpoint]
	return !known || !st.leaving && !st.rateState.suspect
}

// RespondedSince reports whether any part of a response has come from an endpoint since the given time.
func (p *Pool) RespondedSince(since time.Time, endpoint string) bool {
	sh := p.shard(endpoint)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	st, known := sh.states[endpoint]
	return known && st.lastResponseAt.After(since)
}

// Inflight returns the number of this router's requests at an endpoint.
func (p *Pool) Inflight(endpoint string) int {
	sh := p.shard(endpoint)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if st := sh.states[endpoint]; st != nil {
		return st.inflight
	}
	return 0
}

// AcceptsWork reports whether an endpoint is known and neither leaving nor backing off.
func (p *Pool) AcceptsWork(now time.Time, endpoint string) bool {
	sh := p.shard(endpoint)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	st, known := sh.states[endpoint]
	return known && !st.leaving && st.backoff.allows(now, 0)
}

// Restart records that the process of an endpoint was replaced by another one. The new process
// inherits no cached parts, running requests, load or failures. Peer reports about the old
// process may still arrive for a while and are ignored.
func (p *Pool) Restart(now time.Time, endpoint string) {
	sh := p.shard(endpoint)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.states[endpoint] = &state{restartedAt: now}
}

// Forget drops the state of an endpoint that is gone.
func (p *Pool) Forget(endpoint string) {
	sh := p.shard(endpoint)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	delete(sh.states, endpoint)
}
