package soak

import (
	"context"
	"time"
)

const (
	// ColdFor is the time for which an endpoint is cold after its start. coldRate is its
	// rate limit meanwhile over all routers, in requests per second; callers send more.
	ColdFor  = 3 * time.Second
	coldRate = 5.0
)

// configuredColdRate returns 0 in seeds without cold endpoints.
func (r *run) configuredColdRate() float64 {
	if HasEvacuations(r.opts.Seed) {
		return coldRate
	}
	return 0
}

// recordStart records the failure domain of an endpoint that starts. In seeds with cold
// endpoints it also makes an endpoint cold that starts during the run.
func (r *run) recordStart(e *Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observed.Domains[e.Name] = e.FailureDomain
	r.endLimit(e.Name)
	if !HasEvacuations(r.opts.Seed) || len(r.routers) == 0 {
		return
	}
	e.Cold = ColdFor
	r.observed.Cold[e.Name] = append(r.observed.Cold[e.Name], Span{From: e.StartedAt, To: e.StartedAt.Add(ColdFor)})
}

// evacuate evacuates a failure domain for a while. If two such faults overlap, the second
// one is ignored.
func (r *run) evacuate(ctx context.Context, f Fault) {
	domain := domainOf(f.Target)
	r.mu.Lock()
	if r.evacuating[domain] {
		r.mu.Unlock()
		return
	}
	r.evacuating[domain] = true
	r.mu.Unlock()
	r.wire.Evacuate(domain, true)
	from := time.Now()
	sleepUntil(ctx, from.Add(f.Duration))
	to := time.Now()
	r.wire.Evacuate(domain, false)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evacuating[domain] = false
	r.observed.Evacuated[domain] = append(r.observed.Evacuated[domain], Span{From: from, To: to})
}
