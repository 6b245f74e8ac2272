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
	// maxRecords bounds the requests of which something is known: an endpoint that ends
	// takes at most some hundred with it. Some 200 bytes each.
	maxRecords = 1024
)

// Verdict says what to do with a request.
type Verdict struct {
	// Held says that it must not be sent to an endpoint, After that time at the earliest.
	Held       bool
	RetryAfter time.Duration
	// LossCount is how many endpoints ended under it lately, as far as is kept.
	LossCount int
	// Trial says that it is let through to see whether it is harmless now.
	Trial bool
}

// Event is a change of what is done with a request.
type Event struct {
	Identity Identity
	// Held says that it is held back from now on, else that it is no longer.
	Held bool
	// Endpoints are those that ended under it.
	Endpoints []string
	// Own says that what this router itself has seen changed it.
	Own bool
}

// Config is what a Table needs.
type Config struct {
	// Router names this router, so that not all let a request through at once.
	Router string
	// Clock tells times; nil is clock.Boot, so that what others are told is right after the
	// VM was suspended.
	Clock clock.Clock
	// OnEvent takes each change; nil for nobody. It must not wait.
	OnEvent func(Event)
}

// Table knows requests under which endpoints ended, and holds back those under which too
// many did. It is safe for concurrent use. It is one shard: it is empty but for the minutes
// after an endpoint was lost.
type Table struct {
	cfg     Config
	size    atomic.Int64
	mu      sync.Mutex
	records map[Identity]*record
}

// NewTable returns a table that knows nothing.
func NewTable(cfg Config) *Table {
	if cfg.Clock == nil {
		cfg.Clock = clock.Boot
	}
	return &Table{cfg: cfg, records: make(map[Identity]*record)}
}

// Empty says that nothing is known of any request, so that none needs to be identified.
func (t *Table) Empty() bool { return t.size.Load() == 0 }

// Ask says what to do with a request that is about to be sent to an endpoint.
func (t *Table) Ask(id Identity) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Clock()
	r := t.lookup(id, now)
	if r == nil || !r.poisonous() {
		return Verdict{}
	}
	until := r.heldUntil(t.staggerFraction(id))
	if now.Before(until) {
		return Verdict{Held: true, RetryAfter: until.Sub(now), LossCount: len(r.losses)}
	}
	r.addTrial(now)
	r.changedAt = now
	return Verdict{LossCount: len(r.losses), Trial: true}
}

// lookup is the record of a request; nil if there is none, or one that counts no longer.
// t.mu is held.
func (t *Table) lookup(id Identity, now time.Time) *record {
	r := t.records[id]
	if r == nil || !r.expired(now) {
		return r
	}
	delete(t.records, id)
	t.size.Store(int64(len(t.records)))
	return nil
}

// staggerFraction is where in the stagger this router lets a request through, from [0, 1).
func (t *Table) staggerFraction(id Identity) float64 {
	return float64(xxhash.Sum64String(t.cfg.Router+id.String())) / math.MaxUint64
}

// Lost notes that an endpoint ended while it ran a request.
func (t *Table) Lost(id Identity, l Loss) {
	l.learnedAt = t.cfg.Clock()
	t.update(id, true, true, func(r *record) bool { return r.addLoss(l) })
}

// Survived notes that an endpoint answered what was sent to it at a moment. Endpoints that
// reset connections and live on would have any request that comes often taken for the cause.
func (t *Table) Survived(endpoint string, sent time.Time) {
	if t.Empty() {
		return
	}
	for _, id := range t.requestsLostAt(endpoint) {
		t.update(id, false, true, func(r *record) bool { return r.confirmSurvivor(endpoint, sent, t.cfg.Clock()) })
	}
}

// requestsLostAt lists the requests that an endpoint broke off.
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

// Completed notes that a request was answered just now.
func (t *Table) Completed(id Identity) {
	now := t.cfg.Clock()
	t.update(id, false, true, func(r *record) bool { return r.addCompletion(now) })
}

// update has do update the record of a request, and tells of what that changes. A request
// of which nothing is known gets a record if create is set. own says that this router has seen
// it itself.
func (t *Table) update(id Identity, create, local bool, mutate func(*record) (changed bool)) {
	event, changed := t.apply(id, create, mutate)
	event.Own = local
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
	wasHeld, endpoints := r.poisonous(), endpointNames(r.losses)
	if mutate(r) {
		r.changedAt = now
	}
	held := r.poisonous()
	if held {
		endpoints = endpointNames(r.losses)
	}
	return Event{Identity: id, Held: held, Endpoints: endpoints}, held != wasHeld
}

func endpointNames(losses []Loss) []string {
	names := make([]string, len(losses))
	for i, l := range losses {
		names[i] = l.Endpoint
	}
	return names
}

// add adds a record, in the place of one that is outdated or matters least. t.mu is held.
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

// evictLeast drops the record with the fewest losses, of these the oldest. t.mu is held.
func (t *Table) evictLeast() {
	var least Identity
	var leastRecord *record
	for id, r := range t.records {
		if leastRecord == nil || cmp.Or(cmp.Compare(len(r.losses), len(leastRecord.losses)), r.latestActivity().Compare(leastRecord.latestActivity())) < 0 {
			least, leastRecord = id, r
		}
	}
	delete(t.records, least)
}

// Held is how many requests are held back.
func (t *Table) Held() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, r := range t.records {
		if r.poisonous() {
			n++
		}
	}
	return n
}

// sortedByPriority lists the identities whose records fit, those that matter most first: by losses,
// then those lost before an answer began, as a request that crashes engines mostly is, and
// of these the latest news. t.mu is held.
func (t *Table) sortedByPriority(include func(*record) bool) []Identity {
	var ids []Identity
	for id, r := range t.records {
		if include(r) {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b Identity) int {
		x, y := t.records[a], t.records[b]
		return cmp.Or(
			cmp.Compare(len(y.losses), len(x.losses)), cmp.Compare(y.earlyLosses(), x.earlyLosses()),
			y.changedAt.Compare(x.changedAt), cmp.Compare(a, b),
		)
	})
	return ids
}
