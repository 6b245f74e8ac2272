package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// probeSchedule holds when an endpoint is probed next. The zero value means never.
type probeSchedule struct {
	next     time.Time
	interval time.Duration
}

// start schedules the probes of an endpoint that isn't live. A leaving endpoint is
// probed later: it is known to answer, and only its next incarnation matters.
func (s *probeSchedule) start(now time.Time, state State, t Tuning) {
	switch state {
	case Live:
		*s = probeSchedule{}
	case Leaving:
		*s = probeSchedule{next: now.Add(t.ProbeLeavingDelay), interval: t.ProbeLeavingDelay}
	default:
		*s = probeSchedule{next: now.Add(t.ProbeMin), interval: t.ProbeMin}
	}
}

// advance doubles the interval. The jitter shortens the wait by up to a quarter,
// depending on the endpoint's name and the seed, so that the probes of one endpoint
// by different routers spread out.
func (s *probeSchedule) advance(now time.Time, endpoint string, longest time.Duration, t Tuning) {
	s.interval = min(2*s.interval, longest)
	const parts = 1024
	part := (xxhash.Sum64String(endpoint) ^ t.Seed*0x9e3779b97f4a7c15 ^ uint64(s.interval)) % parts
	s.next = now.Add(s.interval - s.interval/4*time.Duration(part)/parts)
}

// maxProbeInterval returns the longest time between two probes. It is shorter for an
// unresponsive endpoint, which may recover at any time: only a probe detects this, and only
// routers with requests in flight at it send these probes.
func (e *endpointState) maxProbeInterval(t Tuning) time.Duration {
	if !e.unresponsiveAt.IsZero() {
		return t.ProbeMaxUnresponsive
	}
	return t.ProbeMax
}

// Probes returns the endpoints to probe now, at most Tuning.ProbeBatch of them, the
// longest overdue first.
func (c *Core) Probes(now time.Time) []string {
	var due []*endpointState
	for _, e := range c.endpoints {
		if !e.probe.next.IsZero() && !now.Before(e.probe.next) {
			due = append(due, e)
		}
	}
	slices.SortFunc(due, func(a, b *endpointState) int {
		return cmp.Or(a.probe.next.Compare(b.probe.next), cmp.Compare(a.spec.Endpoint, b.spec.Endpoint))
	})
	due = due[:min(len(due), c.tuning.ProbeBatch)]
	names := make([]string, len(due))
	for i, e := range due {
		names[i] = e.spec.Endpoint
		e.probe.advance(now, e.spec.Endpoint, e.maxProbeInterval(c.tuning), c.tuning)
	}
	return names
}
