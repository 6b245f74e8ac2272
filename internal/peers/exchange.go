package peers

import (
	"sync/atomic"
	"time"

	"coveferry/internal/balance"
	"coveferry/internal/clock"
	"coveferry/internal/poison"
)

// update is one router's message to another about a kind of shared state.
type update interface {
	// Digest is a hash of the sender's whole state. Where two routers' digests differ they send
	// each other everything, otherwise only recent changes.
	Digest() uint64
}

// sharedState is state that all routers exchange.
type sharedState[U update] interface {
	// UpdateFor returns the update for a router whose digest is theirs: the changes of the
	// given period, or everything if the digests differ.
	UpdateFor(theirs uint64, window time.Duration) U
	Apply(sentAt time.Time, u U)
}

// exchange synchronizes one kind of state between routers. Updates travel with each poll of a
// reader, each hello, and the replies to both, so that they reach all routers within two seconds.
// It is safe for concurrent use.
type exchange[U update] struct {
	state atomic.Pointer[sharedState[U]]
	// digest is that of the peer that replied last.
	digest atomic.Uint64
}

// setState sets the state to exchange; until then all updates are empty.
func (t *exchange[U]) setState(state sharedState[U]) { t.state.Store(&state) }

// request returns the update to send with a request.
func (t *exchange[U]) request(window time.Duration) U { return t.updateFor(t.digest.Load(), window) }

// updateFor returns the update for a router with the given digest.
func (t *exchange[U]) updateFor(peerDigest uint64, window time.Duration) (u U) {
	if state := t.state.Load(); state != nil {
		u = (*state).UpdateFor(peerDigest, window)
	}
	return u
}

// apply merges an update that was sent at the given time.
func (t *exchange[U]) apply(sentAt time.Time, u U) {
	if state := t.state.Load(); state != nil {
		(*state).Apply(sentAt, u)
	}
}

// applyReply merges the update in the reply to a request that was sent at the given time.
func (t *exchange[U]) applyReply(sent time.Time, u U) {
	t.digest.Store(u.Digest())
	t.apply(sent, u)
}

// serve merges the update of a request and returns the update for the reply.
func (t *exchange[U]) serve(now time.Time, u U, window time.Duration) U {
	t.apply(now, u)
	return t.updateFor(u.Digest(), window)
}

// SharePoison has this router exchange with others which requests have crashed endpoints.
func (s *Source) SharePoison(table *poison.Table) { s.poison.setState(table) }

// Limits holds the rate limits that endpoints have stated. See balance.Pool.
type Limits interface {
	LimitsForPeer(now time.Time, theirs uint64, window time.Duration) balance.LimitSummaries
	ApplyPeerLimits(now, sentAt time.Time, summaries []balance.LimitSummary)
}

// ShareLimits has this router exchange with others the rate limits that endpoints have stated.
func (s *Source) ShareLimits(limits Limits) { s.limits.setState(limitState{limits, s.cfg.Clock}) }

// limitState adapts Limits to sharedState. It converts to the request clock, which doesn't count
// the time for which the VM was suspended.
type limitState struct {
	limits Limits
	clock  clock.Clock
}

func (l limitState) UpdateFor(theirs uint64, window time.Duration) balance.LimitSummaries {
	return l.limits.LimitsForPeer(time.Now(), theirs, window)
}

func (l limitState) Apply(sentAt time.Time, u balance.LimitSummaries) {
	now := time.Now()
	l.limits.ApplyPeerLimits(now, now.Add(-l.clock().Sub(sentAt)), u.Limits)
}
