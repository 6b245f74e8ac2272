package poison

import (
	"slices"
	"time"
)

// maxEntries bounds the requests in one word, some 120 bytes each. With 64, words took 7.6 KB
// and 0.3 ms at both ends together: a reader that answers 33 routers four times a second
// would send 1 MB a second while endpoints crash.
const maxEntries = 32

// Entry is what a router tells others of a request. Times are given as how long ago, in
// milliseconds, as clocks differ.
type Entry struct {
	Identity Identity    `json:"identity"`
	Losses   []LossEntry `json:"losses,omitempty"`
	// Survivors are endpoints that broke it off and lived on.
	Survivors []string `json:"survivors,omitempty"`
	// CompletedAgo and TriedAgo are nil if that never happened.
	CompletedAgo *int64 `json:"completed_ago_ms,omitempty"`
	TriedAgo     *int64 `json:"tried_ago_ms,omitempty"`
}

// LossEntry is a Loss in a Word.
type LossEntry struct {
	Endpoint string `json:"endpoint"`
	SentAgo  int64  `json:"sent_ago_ms"`
	LostAgo  int64  `json:"lost_ago_ms"`
	Early    bool   `json:"early,omitempty"`
}

// Words is what a router tells another one of all requests.
type Words struct {
	// Sum is over the requests that are held back: where two routers differ in it they
	// tell each other all of them.
	Sum   uint64  `json:"digest,omitempty"`
	Words []Entry `json:"words,omitempty"`
}

// Digest is what a router says to be told no more than news.
func (w Words) Digest() uint64 { return w.Sum }

// Tell is what is to be told to a router that said this digest: what was news here within
// a while, and all requests that are held back or no longer if it knows others.
func (t *Table) Tell(peerDigest uint64, maxAge time.Duration) Words {
	if t.Empty() {
		return Words{}
	}
	now := t.cfg.Clock()
	t.mu.Lock()
	defer t.mu.Unlock()
	w := Words{Sum: t.digest()}
	all := w.Sum != peerDigest
	ids := t.sortedByPriority(func(r *record) bool {
		return now.Sub(r.changedAt) < maxAge || all && (r.poisonous() || !r.completedAt.IsZero() || len(r.survivors) > 0)
	})
	for _, id := range ids[:min(len(ids), maxEntries)] {
		w.Words = append(w.Words, t.records[id].entry(id, now))
	}
	return w
}

// digest is over the requests that are held back. t.mu is held.
func (t *Table) digest() uint64 {
	var sum uint64
	for id, r := range t.records {
		if r.poisonous() {
			sum ^= uint64(id)
		}
	}
	return sum
}

func (r *record) entry(id Identity, now time.Time) Entry {
	w := Entry{Identity: id, Survivors: slices.Clone(r.survivors), CompletedAgo: millisAgo(now, r.completedAt), TriedAgo: millisAgo(now, r.triedAt)}
	for _, l := range r.losses {
		w.Losses = append(w.Losses, LossEntry{
			Endpoint: l.Endpoint, SentAgo: now.Sub(l.Sent).Milliseconds(), LostAgo: now.Sub(l.At).Milliseconds(), Early: l.Early,
		})
	}
	return w
}

func millisAgo(now, at time.Time) *int64 {
	if at.IsZero() {
		return nil
	}
	ago := now.Sub(at).Milliseconds()
	return &ago
}

// Hear takes in what another router told at a moment by this table's clock.
func (t *Table) Hear(sentAt time.Time, words Words) {
	now := t.cfg.Clock()
	for _, w := range words.Words {
		t.update(w.Identity, true, false, func(r *record) bool { return r.merge(sentAt, now, w) })
	}
}

// merge takes in a word. What both knew may be some milliseconds off and is no news.
func (r *record) merge(sentAt, now time.Time, w Entry) bool {
	changed := false
	ago := func(millis int64) time.Time { return sentAt.Add(-time.Duration(max(0, millis)) * time.Millisecond) }
	if w.CompletedAgo != nil && isLater(ago(*w.CompletedAgo), r.completedAt) {
		changed = r.addCompletion(ago(*w.CompletedAgo)) || changed
	}
	if w.TriedAgo != nil && isLater(ago(*w.TriedAgo), r.triedAt) {
		changed = r.addTrial(ago(*w.TriedAgo)) || changed
	}
	for _, endpoint := range w.Survivors {
		changed = r.addSurvivor(endpoint, now) || changed
	}
	for _, l := range w.Losses {
		changed = r.addLoss(Loss{Endpoint: l.Endpoint, Sent: ago(l.SentAgo), At: ago(l.LostAgo), Early: l.Early, learnedAt: now}) || changed
	}
	return changed
}

// maxClockError is how far a time that went from router to router may be off: the time of a call.
const maxClockError = 300 * time.Millisecond

// isLater says whether a time that was told is another one than is known, and later.
func isLater(received, recorded time.Time) bool { return received.Sub(recorded) > maxClockError }
