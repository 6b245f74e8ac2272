package poison

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// separationHold is the hold time of a part that another one may explain: the time in which
	// routers learn of completions that clear it.
	separationHold = time.Second
	// outageHold is the hold time of a part while no other requests to the service complete, so
	// that a trial costs no one else.
	outageHold = 10 * time.Second
	// maxSeparations is the number of failed trials up to which a part is tried without another
	// one that was in all requests that lost endpoints.
	maxSeparations = 2
	// minRefusals is the number of refused requests after which a part may be in all requests
	// to a service.
	minRefusals = 3
	// staggerDivisor sets the stagger of trials: routers spread their start over the hold
	// time divided by it, so that the others learn the outcome of the first trial.
	staggerDivisor = 4
	// trialSpacing is the minimum mean time between the starts of two routers' trials: the
	// time in which the others learn the outcome of a trial.
	trialSpacing = time.Second
	// separationSpacing is shorter, since such trials mostly succeed.
	separationSpacing = 250 * time.Millisecond
)

// hold is how long a quarantined suspect of a request is held.
type hold struct {
	identity Identity
	record   *record
	until    time.Time
}

// quarantinedOf returns the holds of a request's quarantined suspects. t.mu is held.
func (t *Table) quarantinedOf(req Request, now time.Time) []hold {
	var holds []hold
	suspects := req.suspects()
	for _, s := range suspects {
		r := t.lookup(s.identity, now)
		if r == nil || !r.quarantined() {
			continue
		}
		holds = append(holds, hold{s.identity, r, t.heldUntil(s.identity, r, suspects, req.Service)})
	}
	return holds
}

// heldUntil returns when this router may try a request with the given suspects again, as far as
// one of them is concerned. t.mu is held.
func (t *Table) heldUntil(id Identity, r *record, suspects []suspect, service string) time.Time {
	duration, spacing := r.holdDuration(), trialSpacing
	switch {
	case r.part == 0:
	case t.separable(r, suspects):
		duration, spacing = separationHold, separationSpacing
	case r.completedBeforeLosses():
		duration = initialHold
	case t.stopsService(r, service):
		duration = outageHold
	}
	return r.latestActivity().Add(duration + t.stagger(id, duration, spacing))
}

// stagger returns by how much this router's trials are later than those of the first one.
func (t *Table) stagger(id Identity, hold, spacing time.Duration) time.Duration {
	spread := hold / staggerDivisor
	if t.cfg.FleetSize != nil {
		spread = max(spread, time.Duration(t.cfg.FleetSize())*spacing)
	}
	position := float64(xxhash.Sum64String(t.cfg.Router+id.String())) / math.MaxUint64
	return time.Duration(position * float64(spread))
}

// separable reports whether another quarantined part, which the request doesn't have,
// explains all losses of a part. Whether the part is harmless by itself shows soon. t.mu is
// held.
func (t *Table) separable(r *record, suspects []suspect) bool {
	if r.failedTrials >= maxSeparations {
		return false
	}
	for id, other := range t.records {
		if other.part != 0 && other.explains(r) && !slices.Contains(suspects, suspect{id, other.part}) {
			return true
		}
	}
	return false
}

// explains reports whether the record has all losses of another one.
func (r *record) explains(other *record) bool {
	if r == other || !r.quarantined() {
		return false
	}
	return !slices.ContainsFunc(other.losses, func(l Loss) bool { return !r.hasLossAt(l.Endpoint) })
}

// stopsService reports whether holding a part has stopped all requests to a service. Its
// endpoints may have crashed for another reason, and be back. t.mu is held.
func (t *Table) stopsService(r *record, service string) bool {
	return r.refusals >= minRefusals && !t.completedAt[service].After(r.losses[len(r.losses)-1].At)
}

// completedBeforeLosses reports whether requests with a part completed before its losses,
// which then are more likely to have had other causes, and no trial has failed.
func (r *record) completedBeforeLosses() bool {
	return !r.completedAt.IsZero() && r.failedTrials == 0
}

// evidence returns what the record knows against its suspect.
func (r *record) evidence(id Identity, now time.Time) Evidence {
	e := Evidence{Identity: id, Part: r.part, LossCount: len(r.losses), Endpoints: endpointNames(r.losses)}
	for _, l := range r.losses {
		if l.reported {
			e.Reported++
		}
		e.LatestAgo = now.Sub(l.At)
	}
	return e
}
