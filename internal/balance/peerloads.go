package balance

import (
	"cmp"
	"math"
	"slices"
	"time"

	"coveferry/internal/age"
	"coveferry/internal/pace"
)

// LoadSummary is a router's summary of an endpoint's load.
type LoadSummary struct {
	Endpoint string `json:"e"`
	Running  int    `json:"r"`
	Queued   int    `json:"q"`
	// WorkPercent is load.Report.WorkPercent, rounded; 0 if unknown.
	WorkPercent int `json:"w,omitempty"`
	// AgeMillis is the age of the endpoint's load report, a lower bound.
	AgeMillis int64 `json:"a"`
}

// RecentLoads lists the newest load reports that are no older than maxAge, up to limit. With
// ownOnly it leaves out those received from peers.
func (p *Pool) RecentLoads(now time.Time, maxAge time.Duration, limit int, ownOnly bool) []LoadSummary {
	var loads []LoadSummary
	for i := range p.shards {
		loads = p.shards[i].appendLoads(loads, now, maxAge, ownOnly)
	}
	slices.SortFunc(loads, func(a, b LoadSummary) int {
		return cmp.Or(cmp.Compare(a.AgeMillis, b.AgeMillis), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	return loads[:min(limit, len(loads))]
}

func (sh *shard) appendLoads(loads []LoadSummary, now time.Time, maxAge time.Duration, ownOnly bool) []LoadSummary {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for name, st := range sh.states {
		if st.reportedAt.IsZero() || now.Sub(st.reportedAt) > maxAge || ownOnly && st.reportFromPeer {
			continue
		}
		loads = append(loads, LoadSummary{
			Endpoint: name, Running: st.load.TotalRunning(), Queued: st.load.TotalQueued(),
			WorkPercent: statedPercent(st.load.WorkPercent), AgeMillis: age.MillisSince(st.reportedAt, now),
		})
	}
	return loads
}

// statedPercent returns the percentage of a report as it is sent to peers; 0 if it can't be a reading.
func statedPercent(percent float64) int {
	if !pace.Valid(percent) {
		return 0
	}
	return int(math.Round(percent))
}

// ApplyPeerLoads merges the loads that a peer sent at sentAt. Endpoints that this router doesn't
// know, or has newer reports of, are skipped.
func (p *Pool) ApplyPeerLoads(sentAt time.Time, loads []LoadSummary) {
	for _, s := range loads {
		sh := p.shard(s.Endpoint)
		sh.mu.Lock()
		at, dated := age.FromMillis(s.AgeMillis).Before(sentAt)
		var changed bool
		var estimate pace.Estimate
		if st, ok := sh.states[s.Endpoint]; ok && dated {
			changed, estimate = st.applyPeerLoad(sentAt, at, s), st.pace.At(sentAt)
		}
		sh.mu.Unlock()
		p.notifyPace(changed, s.Endpoint, estimate)
	}
}

// applyPeerLoad applies a load report that another router received at the given time and sent at
// sentAt, and reports whether it changed the class of the endpoint's pace.
func (st *state) applyPeerLoad(sentAt, at time.Time, s LoadSummary) (paceChanged bool) {
	if at.Before(st.restartedAt) {
		return false
	}
	paceChanged = st.pace.AddFromPeer(sentAt, at, float64(s.WorkPercent)) // also if it is older: each shows another moment
	if !at.After(st.reportedAt) {
		return paceChanged
	}
	st.load.Running, st.load.Queued = [len(st.load.Running)]int{}, [len(st.load.Queued)]int{}
	st.load.Running[0], st.load.Queued[0] = s.Running, s.Queued
	if percent := float64(s.WorkPercent); pace.Valid(percent) {
		st.load.WorkPercent = percent // absent in messages of the previous version
	}
	st.reportedAt, st.reportFromPeer = at, true
	st.dropSendsUntil(at)
	return paceChanged
}

// maxTrackedSends bounds the send times kept since the last load report.
const maxTrackedSends = 64

// recordSend records a request that the last load report doesn't include.
func (st *state) recordSend(now time.Time) {
	if len(st.unreportedSends) < maxTrackedSends {
		st.unreportedSends = append(st.unreportedSends, now)
	}
}

// dropSendsUntil drops the send times that a load report of the given time includes.
func (st *state) dropSendsUntil(at time.Time) {
	after := slices.IndexFunc(st.unreportedSends, func(sent time.Time) bool { return sent.After(at) })
	if after < 0 {
		after = len(st.unreportedSends)
	}
	st.unreportedSends = slices.Delete(st.unreportedSends, 0, after)
}
