package poison

import (
	"slices"
	"time"
)

// maxWords bounds the requests in one word, some 120 bytes each. With 64, words took 7.6 KB
// and 0.3 ms at both ends together: a reader that answers 33 routers four times a second
// would send 1 MB a second while endpoints crash.
const maxWords = 32

// Word is what a router tells others of a request. Times are given as how long ago, in
// milliseconds, as clocks differ.
type Word struct {
	Identity Identity   `json:"identity"`
	Losses   []LossWord `json:"losses,omitempty"`
	// Survivors are endpoints that broke it off and lived on.
	Survivors []string `json:"survivors,omitempty"`
	// CompletedAgo and TriedAgo are nil if that never happened.
	CompletedAgo *int64 `json:"completed_ago_ms,omitempty"`
	TriedAgo     *int64 `json:"tried_ago_ms,omitempty"`
}

// LossWord is a Loss in a Word.
type LossWord struct {
	Endpoint string `json:"endpoint"`
	SentAgo  int64  `json:"sent_ago_ms"`
	LostAgo  int64  `json:"lost_ago_ms"`
	Early    bool   `json:"early,omitempty"`
}

// Words is what a router tells another one of all requests.
type Words struct {
	// Sum is over the requests that are held back: where two routers differ in it they
	// tell each other all of them.
	Sum   uint64 `json:"digest,omitempty"`
	Words []Word `json:"words,omitempty"`
}

// Digest is what a router says to be told no more than news.
func (w Words) Digest() uint64 { return w.Sum }

// Tell is what is to be told to a router that said this digest: what was news here within
// a while, and all requests that are held back or no longer if it knows others.
func (t *Table) Tell(theirs uint64, within time.Duration) Words {
	if t.Empty() {
		return Words{}
	}
	now := t.cfg.Clock()
	t.mu.Lock()
	defer t.mu.Unlock()
	w := Words{Sum: t.digest()}
	all := w.Sum != theirs
	ids := t.sorted(func(r *record) bool {
		return now.Sub(r.changed) < within || all && (r.poisonous() || !r.completed.IsZero() || len(r.survivors) > 0)
	})
	for _, id := range ids[:min(len(ids), maxWords)] {
		w.Words = append(w.Words, t.records[id].word(id, now))
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

func (r *record) word(id Identity, now time.Time) Word {
	w := Word{Identity: id, Survivors: slices.Clone(r.survivors), CompletedAgo: millisAgo(now, r.completed), TriedAgo: millisAgo(now, r.tried)}
	for _, l := range r.losses {
		w.Losses = append(w.Losses, LossWord{
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
func (t *Table) Hear(said time.Time, words Words) {
	now := t.cfg.Clock()
	for _, w := range words.Words {
		t.change(w.Identity, true, false, func(r *record) bool { return r.hear(said, now, w) })
	}
}

// hear takes in a word. What both knew may be some milliseconds off and is no news.
func (r *record) hear(said, now time.Time, w Word) bool {
	news := false
	ago := func(millis int64) time.Time { return said.Add(-time.Duration(max(0, millis)) * time.Millisecond) }
	if w.CompletedAgo != nil && isLater(ago(*w.CompletedAgo), r.completed) {
		news = r.complete(ago(*w.CompletedAgo)) || news
	}
	if w.TriedAgo != nil && isLater(ago(*w.TriedAgo), r.tried) {
		news = r.try(ago(*w.TriedAgo)) || news
	}
	for _, endpoint := range w.Survivors {
		news = r.livedOn(endpoint, now) || news
	}
	for _, l := range w.Losses {
		news = r.lose(Loss{Endpoint: l.Endpoint, Sent: ago(l.SentAgo), At: ago(l.LostAgo), Early: l.Early, known: now}) || news
	}
	return news
}

// onWay is how far a time that went from router to router may be off: the time of a call.
const onWay = 300 * time.Millisecond

// isLater says whether a time that was told is another one than is known, and later.
func isLater(told, known time.Time) bool { return told.Sub(known) > onWay }
