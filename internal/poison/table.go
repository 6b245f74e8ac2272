package poison

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"coveferry/internal/clock"
)

const (
	// maxRecords limits the number of records, at about 200 bytes each. Losing an endpoint
	// adds a few hundred at most.
	maxRecords = 1024
	// purgeInterval is the minimum time between two searches for expired records: the loss of
	// one endpoint may add hundreds of records.
	purgeInterval = time.Second
)

// Verdict says how to handle a request.
type Verdict struct {
	// Refused reports that the request is quarantined and must not be sent before
	// RetryAfter has passed.
	Refused    bool
	RetryAfter time.Duration
	// Trial reports that the quarantined request is let through to find out whether it is
	// harmless by now.
	Trial bool
	// Evidence is why the request is refused or a trial.
	Evidence Evidence
}

// Evidence is what is known against a request.
type Evidence struct {
	Identity Identity
	// Part is the ID of the part of its prompt that crashes endpoints; 0 if that is known of
	// the whole request only.
	Part uint64
	// LossCount is the number of recent losses on record. Reported is how many of them other
	// routers observed, and LatestAgo how long ago the latest was.
	LossCount, Reported int
	LatestAgo           time.Duration
	// Endpoints are the lost ones.
	Endpoints []string
}

// Event is the start or end of a request's quarantine, or of all requests with a part.
type Event struct {
	Identity Identity
	// Part is the ID of the part; 0 for a whole request.
	Part uint64
	// Quarantined reports whether the quarantine starts, as opposed to ends.
	Quarantined bool
	// Endpoints are those lost to the request.
	Endpoints []string
	// Local reports that an observation of this router caused the event.
	Local bool
}

// Config configures a Table.
type Config struct {
	// Router names this router. Trials are staggered by it, so that not all routers let a
	// request through at the same time.
	Router string
	// FleetSize returns the number of routers that share their tables, to space their trials;
	// nil means few.
	FleetSize func() int
	// Clock returns the current time; nil means clock.Boot, whose times stay correct for
	// other routers after the VM was suspended.
	Clock clock.Clock
	// OnEvent receives each event; nil means nobody. It must not block.
	OnEvent func(Event)
}

// Table records the endpoints lost to each request, and quarantines requests with too many
// losses. It is safe for concurrent use. One mutex is enough, since the table is empty
// except for the minutes after an endpoint was lost.
type Table struct {
	cfg     Config
	size    atomic.Int64
	mu      sync.Mutex
	records map[Identity]*record
	// completedAt is when a request to a service last completed at this router.
	completedAt map[string]time.Time
	completions completions
	survivors   survivors
	purgedAt    time.Time
}

// NewTable returns an empty table.
func NewTable(cfg Config) *Table {
	if cfg.Clock == nil {
		cfg.Clock = clock.Boot
	}
	return &Table{cfg: cfg, records: make(map[Identity]*record), completedAt: make(map[string]time.Time)}
}

// Empty reports whether the table has no records, in which case the contents of requests need
// not be identified.
func (t *Table) Empty() bool { return t.size.Load() == 0 }

// Check returns how to handle a request that is about to be sent to an endpoint. If it
// lets a quarantined request through, it records that as a trial.
func (t *Table) Check(req Request) Verdict { return t.check(req, true) }

// CheckBeforeWaiting is Check for a request that is checked again before it is sent: it records no
// trial, and its verdict is never Trial.
func (t *Table) CheckBeforeWaiting(req Request) Verdict { return t.check(req, false) }

func (t *Table) check(req Request, sends bool) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Clock()
	quarantined := t.quarantinedOf(req, now)
	if len(quarantined) == 0 {
		return Verdict{}
	}
	latest := slices.MaxFunc(quarantined, func(a, b hold) int { return a.until.Compare(b.until) })
	evidence := latest.record.evidence(latest.identity, now)
	if now.Before(latest.until) {
		latest.record.refusals++
		return Verdict{Refused: true, RetryAfter: latest.until.Sub(now), Evidence: evidence}
	}
	if !sends {
		return Verdict{}
	}
	for _, h := range quarantined {
		h.record.addTrial(now)
		h.record.changedAt = now
	}
	return Verdict{Trial: true, Evidence: evidence}
}

// lookup returns the record of a request, or nil if there is none or it has expired. t.mu
// is held.
func (t *Table) lookup(id Identity, now time.Time) *record {
	r := t.records[id]
	if r == nil || !r.expired(now) {
		return r
	}
	delete(t.records, id)
	t.size.Store(int64(len(t.records)))
	return nil
}

// RecordLoss records that an endpoint was lost while it ran a request. Endpoints that break
// connections by themselves don't count.
func (t *Table) RecordLoss(req Request, l Loss) {
	l.learnedAt = t.cfg.Clock()
	if !t.lossCounts(l) {
		return
	}
	for _, s := range req.suspects() {
		if s.part != 0 && l.Streamed >= crashDelay {
			continue
		}
		t.update(s, true, true, func(r *record) bool { return r.addLoss(l) })
	}
}

// RecordCompletion records that a request just got a response.
func (t *Table) RecordCompletion(req Request) {
	now := t.cfg.Clock()
	suspects := req.suspects()
	t.rememberCompletion(req.Service, suspects, now)
	if t.Empty() {
		return
	}
	for _, s := range suspects {
		t.update(s, false, true, func(r *record) bool { return r.addCompletion(now) })
	}
}

// rememberCompletion records a completion for losses that other routers have yet to report.
func (t *Table) rememberCompletion(service string, suspects []suspect, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.completedAt[service] = now
	for _, s := range suspects {
		if s.part != 0 {
			t.completions.add(s.identity, now)
		}
	}
}

// update applies mutate to the record of a suspect, and reports an event if that starts or
// ends a quarantine. If there is no record, one is added if create is set. local is set
// for this router's own observations.
func (t *Table) update(s suspect, create, local bool, mutate func(*record) (changed bool)) {
	event, changed := t.apply(s, create, mutate)
	event.Local = local
	if changed && t.cfg.OnEvent != nil {
		t.cfg.OnEvent(event)
	}
}

func (t *Table) apply(s suspect, create bool, mutate func(*record) (changed bool)) (e Event, changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Clock()
	r := t.lookup(s.identity, now)
	if r == nil && !create {
		return Event{}, false
	}
	if r == nil {
		r = &record{part: s.part, completedAt: t.completions.latest(s.identity)}
		t.add(s.identity, r, now)
	}
	wasQuarantined, endpoints := r.quarantined(), endpointNames(r.losses)
	if mutate(r) {
		r.changedAt = now
	}
	quarantined := r.quarantined()
	if quarantined {
		endpoints = endpointNames(r.losses)
	}
	return Event{Identity: s.identity, Part: r.part, Quarantined: quarantined, Endpoints: endpoints}, quarantined != wasQuarantined
}

func endpointNames(losses []Loss) []string {
	names := make([]string, len(losses))
	for i, l := range losses {
		names[i] = l.Endpoint
	}
	return names
}

// add adds a record. It removes expired ones, and if the table is full also the least
// important one. t.mu is held.
func (t *Table) add(id Identity, r *record, now time.Time) {
	if now.Sub(t.purgedAt) >= purgeInterval {
		t.purgedAt = now
		maps.DeleteFunc(t.records, func(_ Identity, r *record) bool { return r.expired(now) })
	}
	if len(t.records) >= maxRecords {
		t.evictLeast()
	}
	t.records[id] = r
	t.size.Store(int64(len(t.records)))
}

// evictLeast removes the least important record. t.mu is held.
func (t *Table) evictLeast() {
	var least Identity
	found := false
	for id := range t.records {
		if !found || t.compareImportance(id, least) > 0 {
			least, found = id, true
		}
	}
	delete(t.records, least)
}

// compareImportance orders identities by importance, the most important first: by number of
// losses that they have or have cleared, then by early losses, which a request that crashes
// engines mostly causes, then by the latest change. t.mu is held.
func (t *Table) compareImportance(a, b Identity) int {
	x, y := t.records[a], t.records[b]
	return cmp.Or(
		cmp.Compare(y.weight(), x.weight()), cmp.Compare(y.earlyLosses(), x.earlyLosses()),
		y.changedAt.Compare(x.changedAt), cmp.Compare(a, b),
	)
}

// Counts are the numbers of quarantined requests, and of parts whose requests are.
type Counts struct{ Requests, Parts int }

// QuarantinedCounts returns what is quarantined.
func (t *Table) QuarantinedCounts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	var c Counts
	for _, r := range t.records {
		switch {
		case !r.quarantined():
		case r.part != 0:
			c.Parts++
		default:
			c.Requests++
		}
	}
	return c
}

// sortedByPriority returns the identities whose records are included, the most important
// first. t.mu is held.
func (t *Table) sortedByPriority(include func(*record) bool) []Identity {
	var ids []Identity
	for id, r := range t.records {
		if include(r) {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, t.compareImportance)
	return ids
}
