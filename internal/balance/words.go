package balance

import (
	"cmp"
	"slices"
	"time"
)

// LoadWord is what one router tells another of the load of an endpoint.
type LoadWord struct {
	Endpoint string `json:"e"`
	Running  int    `json:"r"`
	Queued   int    `json:"q"`
	// AgeMillis is how long ago the endpoint reported it, at the least.
	AgeMillis int64 `json:"a"`
}

// LoadWords lists the newest reports that are not older than maxAge, at most so
// many; with own only those that this router received itself.
func (p *Pool) LoadWords(now time.Time, maxAge time.Duration, most int, own bool) []LoadWord {
	var words []LoadWord
	for i := range p.shards {
		words = p.shards[i].words(words, now, maxAge, own)
	}
	slices.SortFunc(words, func(a, b LoadWord) int {
		return cmp.Or(cmp.Compare(a.AgeMillis, b.AgeMillis), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	return words[:min(most, len(words))]
}

func (sh *shard) words(words []LoadWord, now time.Time, maxAge time.Duration, own bool) []LoadWord {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for name, st := range sh.states {
		age := now.Sub(st.reportedAt)
		if st.reportedAt.IsZero() || age > maxAge || own && st.heard {
			continue
		}
		words = append(words, LoadWord{
			Endpoint: name, Running: st.load.TotalRunning(), Queued: st.load.TotalQueued(),
			AgeMillis: age.Milliseconds(),
		})
	}
	return words
}

// HearLoads takes in what other routers said at a moment. Of endpoints that this
// router doesn't know, or knows newer reports of, it learns nothing.
func (p *Pool) HearLoads(said time.Time, words []LoadWord) {
	for _, w := range words {
		sh := p.shard(w.Endpoint)
		sh.mu.Lock()
		if st, ok := sh.states[w.Endpoint]; ok {
			st.hear(said.Add(-time.Duration(w.AgeMillis)*time.Millisecond), w)
		}
		sh.mu.Unlock()
	}
}

// hear takes in a report that another router received at a moment.
func (st *state) hear(at time.Time, w LoadWord) {
	if !at.After(st.reportedAt) || at.Before(st.restartedAt) {
		return
	}
	st.load.Running, st.load.Queued = [len(st.load.Running)]int{}, [len(st.load.Queued)]int{}
	st.load.Running[0], st.load.Queued[0] = w.Running, w.Queued
	st.reportedAt, st.heard = at, true
	st.forgetSends(at)
}

// maxSends bounds the requests that are remembered since the last report.
const maxSends = 64

// noteSend remembers a request that the last report lacks.
func (st *state) noteSend(now time.Time) {
	if len(st.sends) < maxSends {
		st.sends = append(st.sends, now)
	}
}

// forgetSends forgets the requests that a report of a moment counts.
func (st *state) forgetSends(at time.Time) {
	after := slices.IndexFunc(st.sends, func(sent time.Time) bool { return sent.After(at) })
	if after < 0 {
		after = len(st.sends)
	}
	st.sends = slices.Delete(st.sends, 0, after)
}
