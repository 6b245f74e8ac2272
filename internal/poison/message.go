package poison

import (
	"slices"
	"time"

	"coveferry/internal/age"
)

// maxEntries limits the requests in one message, at about 120 bytes each. With 64,
// messages took 7.6 KB and 0.3 ms of CPU at both ends together: a reader that answers 33
// routers four times a second would send 1 MB/s while endpoints crash.
const maxEntries = 32

// Entry is what a router tells other routers about a request. Times are sent as ages in
// milliseconds, since clocks differ.
type Entry struct {
	Identity Identity `json:"identity"`
	// Part is the ID of the part that the requests share; 0 for one request.
	Part   uint64      `json:"part,omitempty"`
	Losses []LossEntry `json:"losses,omitempty"`
	// CompletedAgo and TriedAgo are nil if that never happened.
	CompletedAgo *int64 `json:"completed_ago_ms,omitempty"`
	TriedAgo     *int64 `json:"tried_ago_ms,omitempty"`
}

// LossEntry is a Loss in an Entry.
type LossEntry struct {
	Endpoint string `json:"endpoint"`
	SentAgo  int64  `json:"sent_ago_ms"`
	LostAgo  int64  `json:"lost_ago_ms"`
	Early    bool   `json:"early,omitempty"`
}

// Message is what a router tells another router about all requests.
type Message struct {
	// QuarantineDigest is the digest of the quarantined requests. Two routers whose
	// digests differ send each other all of them.
	QuarantineDigest uint64  `json:"digest,omitempty"`
	Entries          []Entry `json:"words,omitempty"`
	// Survivors are endpoints that break connections by themselves, whatever runs there.
	Survivors []SurvivorEntry `json:"survivors,omitempty"`
}

// Digest returns the digest, which a router sends to receive only changes.
func (m Message) Digest() uint64 { return m.QuarantineDigest }

// UpdateFor returns the message for a router that sent the given digest: all changes not
// older than maxAge, and if the digests differ, also all requests that are quarantined
// or have completed.
func (t *Table) UpdateFor(peerDigest uint64, maxAge time.Duration) Message {
	if t.Empty() {
		return Message{}
	}
	now := t.cfg.Clock()
	t.mu.Lock()
	defer t.mu.Unlock()
	m := Message{QuarantineDigest: t.digest()}
	all := m.QuarantineDigest != peerDigest
	ids := t.sortedByPriority(func(r *record) bool {
		return now.Sub(r.changedAt) < maxAge || all && (r.quarantined() || !r.completedAt.IsZero())
	})
	for _, id := range ids[:min(len(ids), maxEntries)] {
		m.Entries = append(m.Entries, t.records[id].entry(id, now))
	}
	if all {
		maxAge = survivorRetention
	}
	m.Survivors = t.survivors.entries(now, maxAge)
	return m
}

// digest returns the digest of the quarantined requests. t.mu is held.
func (t *Table) digest() uint64 {
	var digest uint64
	for id, r := range t.records {
		if r.quarantined() {
			digest ^= uint64(id)
		}
	}
	return digest
}

func (r *record) entry(id Identity, now time.Time) Entry {
	e := Entry{Identity: id, Part: r.part, CompletedAgo: millisAgo(now, r.completedAt), TriedAgo: millisAgo(now, r.triedAt)}
	for _, l := range r.losses {
		e.Losses = append(e.Losses, LossEntry{
			Endpoint: l.Endpoint, SentAgo: age.MillisSince(l.Sent, now), LostAgo: age.MillisSince(l.At, now), Early: l.Early,
		})
	}
	return e
}

func millisAgo(now, at time.Time) *int64 {
	if at.IsZero() {
		return nil
	}
	ago := age.MillisSince(at, now)
	return &ago
}

// Apply merges a message that another router sent. sentAt is when it was sent, by this
// table's clock.
func (t *Table) Apply(sentAt time.Time, m Message) {
	now := t.cfg.Clock()
	for _, s := range m.Survivors {
		if t.applySurvivor(s, sentAt, now) {
			t.dropLossesAt(s.Endpoint, false)
		}
	}
	for _, e := range m.Entries {
		e = e.dated()
		e.Losses = slices.DeleteFunc(e.Losses, func(l LossEntry) bool { return !t.lossCounts(l.loss(sentAt, now)) })
		t.update(suspect{e.Identity, e.Part}, true, false, func(r *record) bool { return r.merge(sentAt, now, e) })
	}
}

func (t *Table) applySurvivor(s SurvivorEntry, sentAt, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return isDated(s.SurvivedAgo) && t.survivors.confirm(s.Endpoint, ago(sentAt, s.SurvivedAgo), now)
}

// isDated reports whether an age of a message is one that can be.
func isDated(millis int64) bool { return age.FromMillis(millis).Known() }

// dated returns a copy of the entry without what has an age that can't be.
func (e Entry) dated() Entry {
	e.Losses = slices.DeleteFunc(slices.Clone(e.Losses), func(l LossEntry) bool { return !isDated(l.SentAgo) || !isDated(l.LostAgo) })
	if e.CompletedAgo != nil && !isDated(*e.CompletedAgo) {
		e.CompletedAgo = nil
	}
	if e.TriedAgo != nil && !isDated(*e.TriedAgo) {
		e.TriedAgo = nil
	}
	return e
}

// ago returns the time that was the given number of milliseconds before sentAt, for an age that
// isDated.
func ago(sentAt time.Time, millis int64) time.Time {
	at, _ := age.FromMillis(millis).Before(sentAt)
	return at
}

// loss returns the loss that another router told of.
func (l LossEntry) loss(sentAt, now time.Time) Loss {
	return Loss{Endpoint: l.Endpoint, Sent: ago(sentAt, l.SentAgo), At: ago(sentAt, l.LostAgo), Early: l.Early, reported: true, learnedAt: now}
}

// merge merges an entry and reports whether it changed the record. Times that both routers
// know may differ by some milliseconds, which doesn't count as a change.
func (r *record) merge(sentAt, now time.Time, e Entry) bool {
	changed := false
	if e.CompletedAgo != nil && isLater(ago(sentAt, *e.CompletedAgo), r.completedAt) {
		changed = r.addCompletion(ago(sentAt, *e.CompletedAgo)) || changed
	}
	if e.TriedAgo != nil && isLater(ago(sentAt, *e.TriedAgo), r.triedAt) {
		changed = r.addTrial(ago(sentAt, *e.TriedAgo)) || changed
	}
	refuted := 0
	for _, l := range e.Losses {
		loss := l.loss(sentAt, now)
		changed = r.addLoss(loss) || changed
		if !loss.At.After(r.completedAt) {
			refuted++
		}
	}
	if refuted > 0 && (e.CompletedAgo == nil || isLater(r.completedAt, ago(sentAt, *e.CompletedAgo))) {
		// The sender doesn't know of the completion, so this counts as a change to report.
		r.cleared = refuted
		changed = true
	}
	return changed
}

// maxTransitError is the largest error of a time received from another router: at most the
// duration of a call.
const maxTransitError = 300 * time.Millisecond

// isLater reports whether a received time is later than the recorded one by more than
// maxTransitError.
func isLater(received, recorded time.Time) bool { return received.Sub(recorded) > maxTransitError }
