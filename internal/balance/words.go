package balance

import (
	"cmp"
	"slices"
	"time"
)

// LoadWord is a router's summary of an endpoint's load.
type LoadWord struct {
	Endpoint string `json:"e"`
	Running  int    `json:"r"`
	Queued   int    `json:"q"`
	// AgeMillis is the age of the endpoint's load report, a lower bound.
	AgeMillis int64 `json:"a"`
}

// LoadWords lists the newest load reports that are no older than maxAge, up to limit. With
// ownOnly it leaves out those received from peers.
func (p *Pool) LoadWords(now time.Time, maxAge time.Duration, limit int, ownOnly bool) []LoadWord {
	var loads []LoadWord
	for i := range p.shards {
		loads = p.shards[i].appendLoads(loads, now, maxAge, ownOnly)
	}
	slices.SortFunc(loads, func(a, b LoadWord) int {
		return cmp.Or(cmp.Compare(a.AgeMillis, b.AgeMillis), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	return loads[:min(limit, len(loads))]
}

func (sh *shard) appendLoads(loads []LoadWord, now time.Time, maxAge time.Duration, ownOnly bool) []LoadWord {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for name, st := range sh.states {
		age := now.Sub(st.reportedAt)
		if st.reportedAt.IsZero() || age > maxAge || ownOnly && st.heard {
			continue
		}
		loads = append(loads, LoadWord{
			Endpoint: name, Running: st.load.TotalRunning(), Queued: st.load.TotalQueued(),
			AgeMillis: age.Milliseconds(),
		})
	}
	return loads
}

// HearLoads merges the loads that a peer sent at sentAt. Endpoints that this router doesn't know,
// or has newer reports of, are skipped.
func (p *Pool) HearLoads(sentAt time.Time, loads []LoadWord) {
	for _, w := range loads {
		sh := p.shard(w.Endpoint)
		sh.mu.Lock()
		if st, ok := sh.states[w.Endpoint]; ok {
			st.applyPeerLoad(sentAt.Add(-time.Duration(w.AgeMillis)*time.Millisecond), w)
		}
		sh.mu.Unlock()
	}
}

// applyPeerLoad applies a load report that another router received at the given time.
func (st *state) applyPeerLoad(at time.Time, w LoadWord) {
	if !at.After(st.reportedAt) || at.Before(st.restartedAt) {
		return
	}
	st.load.Running, st.load.Queued = [len(st.load.Running)]int{}, [len(st.load.Queued)]int{}
	st.load.Running[0], st.load.Queued[0] = w.Running, w.Queued
	st.reportedAt, st.heard = at, true
	st.dropSendsUntil(at)
}

// maxTrackedSends bounds the send times kept since the last load report.
const maxTrackedSends = 64

// noteSend records a request that the last load report doesn't include.
func (st *state) noteSend(now time.Time) {
	if len(st.sends) < maxTrackedSends {
		st.sends = append(st.sends, now)
	}
}

// dropSendsUntil drops the send times that a load report of the given time includes.
func (st *state) dropSendsUntil(at time.Time) {
	after := slices.IndexFunc(st.sends, func(sent time.Time) bool { return sent.After(at) })
	if after < 0 {
		after = len(st.sends)
	}
	st.sends = slices.Delete(st.sends, 0, after)
}
