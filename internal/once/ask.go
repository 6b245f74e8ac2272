package once

import (
	"slices"
	"strings"
	"time"
)

// ListQuery asks a peer which list it holds for a target. It also tells the peer about the
// sender.
type ListQuery struct {
	Target string `json:"target"`
	From   Member `json:"from"`
	List   string `json:"list"`
	// Version is the version of the sender's bundle.
	Version uint64 `json:"version"`
}

// ListReply is the answer to a ListQuery.
type ListReply struct {
	// List is the digest of the peer's list; empty if its bundle has no such target.
	List string `json:"list"`
	// FormerMembers lists endpoints that the peer has not yet seen to hold its list.
	FormerMembers []Member `json:"formers,omitempty"`
}

// OutgoingQuery is a ListQuery to be sent to a peer.
type OutgoingQuery struct {
	ListQuery
	To Member
	// SentAt is when the query was created, by the sender's clock.
	SentAt time.Time
}

// PendingQueries returns the queries to send now, to all peers that have not yet agreed. Call
// it after each Tick.
func (k *KeyRegistry) PendingQueries(now time.Time) []OutgoingQuery {
	now = k.advance(now)
	var out []OutgoingQuery
	for target, t := range k.targets {
		if t.claimed() || now.Sub(t.lastQueried) < k.cfg.QueryInterval {
			continue
		}
		t.lastQueried = now
		out = append(out, k.targetQueries(now, target, t)...)
	}
	return out
}

func (k *KeyRegistry) targetQueries(now time.Time, target string, t *targetState) []OutgoingQuery {
	self, _ := t.list().find(k.cfg.Self) // always present: targets are kept only while Self is a member
	query := ListQuery{Target: target, From: self, List: t.list().Digest(), Version: k.version}
	var out []OutgoingQuery
	for _, m := range k.unconfirmedMembers(t) {
		out = append(out, OutgoingQuery{ListQuery: query, To: m, SentAt: now})
	}
	return out
}

// unconfirmedMembers returns the endpoints that have not yet agreed on the list in force.
func (k *KeyRegistry) unconfirmedMembers(t *targetState) []Member {
	var out []Member
	for _, m := range t.list().members {
		if k.needsAgreement(t, m) {
			out = append(out, m)
		}
	}
	return append(out, k.unconfirmedFormerMembers(t)...)
}

// unconfirmedFormerMembers returns, sorted, the endpoints that are not on the list in force and
// may still use an earlier one.
func (k *KeyRegistry) unconfirmedFormerMembers(t *targetState) []Member {
	var out []Member
	for _, f := range t.formerMembers {
		if k.needsAgreement(t, f.member) {
			out = append(out, f.member)
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(a.id(), b.id()) })
	return out
}

// needsAgreement reports whether a claim still requires the endpoint's agreement.
func (k *KeyRegistry) needsAgreement(t *targetState, m Member) bool {
	return m.id() != k.cfg.Self.id() && !t.agreed[m.id()]
}

// HandleQuery answers a peer's query. A peer that is not on the list here and holds another
// list is recorded as a former member, which must agree before this agent claims the list. If
// the peer's list differs, this agent claims nothing until it holds at least the peer's
// version.
func (k *KeyRegistry) HandleQuery(now time.Time, q ListQuery) ListReply {
	now = k.advance(now)
	list, exists := k.lists[q.Target]
	if !exists {
		return ListReply{}
	}
	reply := ListReply{List: list.Digest()}
	t := k.targets[q.Target]
	if t == nil {
		return reply
	}
	k.addFormerMember(now, t, q.From, q.List)
	if q.List != reply.List {
		t.newestVersion = max(t.newestVersion, q.Version)
	}
	for _, m := range k.unconfirmedFormerMembers(t) {
		if m.id() != q.From.id() {
			reply.FormerMembers = append(reply.FormerMembers, m)
		}
	}
	return reply
}

// HandleReply processes a peer's reply. Late replies are ignored, because the peer may have
// forgotten the query since.
func (k *KeyRegistry) HandleReply(now time.Time, q OutgoingQuery, r ListReply) {
	now = k.advance(now)
	t := k.targets[q.Target]
	if t == nil || t.list().Digest() != q.List || now.Sub(q.SentAt) > k.cfg.ReplyTimeout {
		return
	}
	k.addFormerMember(now, t, q.To, r.List)
	if r.List == q.List {
		t.agreed[q.To.id()] = true
	}
	for _, m := range r.FormerMembers {
		if _, known := t.formerMembers[m.id()]; !known {
			k.addFormerMember(now, t, m, "")
		}
	}
}

// addFormerMember adds an endpoint to the former members, whose agreement is required, unless
// it is a member here or holds the same list. An empty digest means an unknown list.
func (k *KeyRegistry) addFormerMember(now time.Time, t *targetState, m Member, list string) {
	if m.id() == k.cfg.Self.id() || t.list().has(m) {
		return
	}
	if list == t.list().Digest() {
		return
	}
	t.formerMembers[m.id()] = formerMember{member: m, lastSeen: now}
}

// RecordGone records that, according to the platform's list of VMs, an endpoint's VM no longer
// runs. This applies to the lists in force now, so call it again after SetView.
func (k *KeyRegistry) RecordGone(m Member) {
	for _, t := range k.targets {
		t.agreed[m.id()] = true
	}
}

// PendingMembers returns the endpoints whose agreement is missing, so that the caller can check
// whether their VMs still run.
func (k *KeyRegistry) PendingMembers() []Member {
	var out []Member
	for _, t := range k.targets {
		if !t.claimed() {
			out = append(out, k.unconfirmedMembers(t)...)
		}
	}
	return out
}

// claimAgreedLists claims each list that no other agent contradicts any more: SettleTime is
// over, no peer has reported a newer version, and all whose agreement is required have given it
// (see allAgreed).
func (k *KeyRegistry) claimAgreedLists(now time.Time) {
	for _, t := range k.targets {
		if t.claimed() || k.version < t.newestVersion || now.Before(t.settledAt) || !k.allAgreed(now, t) {
			continue
		}
		t.periods[len(t.periods)-1].claimedAt = now
		clear(t.formerMembers)
	}
}

// allAgreed reports whether all members and former members have agreed. A former member that was
// last seen SettleTime ago or longer is not waited for.
func (k *KeyRegistry) allAgreed(now time.Time, t *targetState) bool {
	for _, m := range t.list().members {
		if k.needsAgreement(t, m) {
			return false
		}
	}
	for _, f := range t.formerMembers {
		if k.needsAgreement(t, f.member) && now.Sub(f.lastSeen) < k.cfg.SettleTime {
			return false
		}
	}
	return true
}
