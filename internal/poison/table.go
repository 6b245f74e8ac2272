package poison

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"coveferry/internal/clock"
)

const (
	// maxRecords limits the number of records, at about 200 bytes each. Losing an endpoint
	// adds a few hundred at most.
	maxRecords = 1024
)

// Verdict says how to handle a request.
type Verdict struct {
	// Refused reports that the request is quarantined and must not be sent before
	// RetryAfter has passed.
	Refused    bool
	RetryAfter time.Duration
	// LossCount is the number of recent losses on record.
	LossCount int
	// Trial reports that the quarantined request is let through to find out whether it is
	// harmless by now.
	Trial bool
}

// Event is the start or end of a request's quarantine.
type Event struct {
	Identity Identity
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
}

// NewTable returns an empty table.
func NewTable(cfg Config) *Table {
	if cfg.Clock == nil {
		cfg.Clock = clock.Boot
	}
	return &Table{cfg: cfg, records: make(map[Identity]*record)}
}

// Empty reports whether the table has no records, in which case requests need not be
// identified.
func (t *Table) Empty() bool { return t.size.Load() == 0 }

// Check returns how to handle a request that is about to be sent to an endpoint. If it
// lets a quarantined request through, it records that as a trial.
func (t *Table) Check(id Identity) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Clock()
	r := t.lookup(id, now)
	if r == nil || !r.quarantined() {
		return Verdict{}
	}
	until := r.heldUntil(t.staggerFraction(id))
	if now.Before(until) {
		return Verdict{Refused: true, RetryAfter: until.Sub(now), LossCount: len(r.losses)}
	}
	r.addTrial(now)
	r.changedAt = now
	return Verdict{LossCount: len(r.losses), Trial: true}
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

// staggerFraction returns this router's position in the stagger of trials, from [0, 1).
func (t *Table) staggerFraction(id Identity) float64 {
	return float64(xxhash.Sum64String(t.cfg.Router+id.String())) / math.MaxUint64
}

// RecordLoss records that an endpoint was lost while it ran a request.
func (t *Table) RecordLoss(id Identity, l Loss) {
	l.learnedAt = t.cfg.Clock()
	t.update(id, true, true, func(r *record) bool { return r.addLoss(l) })
}

// RecordResponse records that an endpoint responded to a request sent at the given time,
// which may prove that it survived a recorded loss. Without this, endpoints that reset
// connections but stay alive would get every frequent request quarantined.
func (t *Table) RecordResponse(endpoint string, sent time.Time) {
	if t.Empty() {
		return
	}
	for _, id := range t.requestsLostAt(endpoint) {
		t.update(id, false, true, func(r *record) bool { return r.confirmSurvivor(endpoint, sent, t.cfg.Clock()) })
	}
}

// requestsLostAt returns the requests with a recorded loss of the endpoint.
func (t *Table) requestsLostAt(endpoint string) []Identity {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ids []Identity
	for id, r := range t.records {
		if r.hasLossAt(endpoint) {
			ids = append(ids, id)
		}
	}
	return ids
}

// RecordCompletion records that a request just got a response.
func (t *Table) RecordCompletion(id Identity) {
	now := t.cfg.Clock()
	t.update(id, false, true, func(r *record) bool { return r.addCompletion(now) })
}

// update applies mutate to the record of a request, and reports an event if that starts or
// ends a quarantine. If there is no record, one is added if create is set. local is set
// for this router's own observations.
func (t *Table) update(id Identity, create, local bool, mutate func(*record) (changed bool)) {
	event, changed := t.apply(id, create, mutate)
	event.Local = local
	if changed && t.cfg.OnEvent != nil {
		t.cfg.OnEvent(event)
	}
}

func (t *Table) apply(id Identity, create bool, mutate func(*record) (changed bool)) (e Event, changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Clock()
	r := t.lookup(id, now)
	if r == nil && !create {
		return Event{}, false
	}
	if r == nil {
		r = &record{}
		t.add(id, r, now)
	}
	wasQuarantined, endpoints := r.quarantined(), endpointNames(r.losses)
	if mutate(r) {
		r.changedAt = now
	}
	quarantined := r.quarantined()
	if quarantined {
		endpoints = endpointNames(r.losses)
	}
	return Event{Identity: id, Quarantined: quarantined, Endpoints: endpoints}, quarantined != wasQuarantined
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
	for oldID, oldRecord := range t.records {
		if oldRecord.expired(now) {
			delete(t.records, oldID)
		}
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
// losses, then by early losses, which a request that crashes engines mostly causes, then by the
// latest change. t.mu is held.
func (t *Table) compareImportance(a, b Identity) int {
	x, y := t.records[a], t.records[b]
	return cmp.Or(
		cmp.Compare(len(y.losses), len(x.losses)), cmp.Compare(y.earlyLosses(), x.earlyLosses()),
		y.changedAt.Compare(x.changedAt), cmp.Compare(a, b),
	)
}

// QuarantinedCount returns the number of quarantined requests.
func (t *Table) QuarantinedCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, r := range t.records {
		if r.quarantined() {
			n++
		}
	}
	return n
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
