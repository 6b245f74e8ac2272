package balance

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"coveferry/internal/age"
)

// maxPeerLimits bounds the limits in one message to a peer. One takes some 60 bytes: 2 KB are added
// to each request to a peer while many endpoints begin to state a limit at once.
const maxPeerLimits = 32

// LimitSummary is a router's summary of an endpoint's limit.
type LimitSummary struct {
	Endpoint string `json:"e"`
	// PerSecond is nil if the endpoint no longer states a limit.
	PerSecond *float64 `json:"l,omitempty"`
	// AgeMillis is how long ago the endpoint stated it.
	AgeMillis int64 `json:"a"`
}

// LimitSummaries is what a router reports to a peer about the limits of all endpoints.
type LimitSummaries struct {
	// NameDigest is a digest of the names of the endpoints that state a limit. Two routers whose
	// digests differ report all limits to each other.
	NameDigest uint64         `json:"d,omitempty"`
	Limits     []LimitSummary `json:"w,omitempty"`
}

// Digest is what a router sends so that its peer reports only changes if both digests agree.
func (s LimitSummaries) Digest() uint64 { return s.NameDigest }

// LimitsForPeer returns the limits to report to a peer whose digest is theirs: those changed within
// the given time, and the others too if the digests differ.
func (p *Pool) LimitsForPeer(now time.Time, theirs uint64, within time.Duration) LimitSummaries {
	if !p.limits.seen.Load() {
		return LimitSummaries{}
	}
	report := LimitSummaries{NameDigest: p.limitDigest()}
	var changed, rest []LimitSummary
	for i := range p.shards {
		changed, rest = p.shards[i].appendLimits(changed, rest, now, within)
	}
	report.Limits = p.nextBatch(changed, maxPeerLimits)
	if report.NameDigest != theirs {
		report.Limits = append(report.Limits, p.nextBatch(rest, maxPeerLimits-len(report.Limits))...)
	}
	return report
}

// nextBatch returns up to size of the limits, others at each call if there are more.
func (p *Pool) nextBatch(limits []LimitSummary, size int) []LimitSummary {
	slices.SortFunc(limits, func(a, b LimitSummary) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	if len(limits) <= size {
		return limits
	}
	first := int(p.limits.rotation.Add(uint64(size)) % uint64(len(limits)))
	return slices.Concat(limits[first:], limits[:first])[:size]
}

// limitDigest is a hash of the names of the endpoints that state a limit, whatever its value: a
// limit that changes with each response would make all routers report all limits to each other.
func (p *Pool) limitDigest() uint64 {
	var sum uint64
	for i := range p.shards {
		sum ^= p.shards[i].limitDigest()
	}
	return sum
}

func (sh *shard) limitDigest() uint64 {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	var sum uint64
	for name, st := range sh.states {
		if st.rateState.limit.active {
			sum ^= xxhash.Sum64String(name)
		}
	}
	return sum
}

// appendLimits appends the limits that changed within the given time to changed, the others to rest.
func (sh *shard) appendLimits(changed, rest []LimitSummary, now time.Time, within time.Duration) (_, _ []LimitSummary) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for name, st := range sh.states {
		l := &st.rateState.limit
		switch {
		case l.statedAt.IsZero():
		case now.Sub(l.changedAt) < within:
			changed = append(changed, l.summary(name, now))
		default:
			rest = append(rest, l.summary(name, now))
		}
	}
	return changed, rest
}

func (l *limit) summary(endpoint string, now time.Time) LimitSummary {
	s := LimitSummary{Endpoint: endpoint, AgeMillis: age.MillisSince(l.statedAt, now)}
	if l.active {
		perSecond := l.perSecond
		s.PerSecond = &perSecond
	}
	return s
}

// ApplyPeerLimits applies the limits that a peer sent at sentAt. Endpoints that this router doesn't
// know are skipped.
func (p *Pool) ApplyPeerLimits(now, sentAt time.Time, limits []LimitSummary) {
	for _, s := range limits {
		if at, dated := age.FromMillis(s.AgeMillis).Before(sentAt); dated {
			p.applyPeerLimit(now, at, s)
		}
	}
}

func (p *Pool) applyPeerLimit(now, at time.Time, s LimitSummary) {
	sh := p.shard(s.Endpoint)
	sh.mu.Lock()
	st, known := sh.states[s.Endpoint]
	changed := known && !at.Before(st.restartedAt) && st.rateState.limit.applyPeer(now, at, s)
	sh.mu.Unlock()
	if !changed {
		return
	}
	event := LimitEvent{Endpoint: s.Endpoint, Limited: s.PerSecond != nil, FromPeer: true}
	if event.Limited {
		event.PerSecond = *s.PerSecond
	}
	p.notifyLimit(event)
}

// timestampTolerance bounds the error of a time that one router sends to another as an age, since
// the age doesn't include the duration of the call.
const timestampTolerance = 300 * time.Millisecond

// applyPeer applies a limit that, by another router's report, the endpoint stated at the given time.
// If it equals the known one, it must be newer by more than timestampTolerance: otherwise the delay
// of each report would make the statement look newer than it is.
func (l *limit) applyPeer(now, at time.Time, s LimitSummary) (changed bool) {
	stated, perSecond := s.PerSecond != nil, 0.0
	if stated {
		perSecond = *s.PerSecond
	}
	after := l.statedAt
	if stated == l.active && perSecond == l.perSecond {
		after = after.Add(timestampTolerance)
	}
	if !at.After(after) || !(perSecond >= 0) || l.statedAt.IsZero() && !stated {
		return false
	}
	return l.set(now, at, stated, perSecond)
}
