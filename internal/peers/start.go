package peers

import (
	"context"
	"slices"
	"time"

	"coveferry/internal/follow"
)

const (
	// defaultPeerReadTimeout is how long a starting router, while no caller waits for it, tries to
	// read from peers before it reads the origin: some seeds start later than the routers that
	// announce themselves to them, and a fleet may start before the operator's first configuration.
	defaultPeerReadTimeout = 2 * time.Second
	// readerPeerReadTimeout is the peer read timeout of a router that considers itself a reader:
	// if no seed has any state by then, there may be none yet.
	readerPeerReadTimeout = 400 * time.Millisecond
	// peerReadInterval is the pause between two attempts.
	peerReadInterval = 50 * time.Millisecond
	// discoveryTime is how long after its start a router knows all that started with it: each
	// has sent two hellos to a seed by then.
	discoveryTime = 2 * helloInterval
	// startHelloInterval is the time between two hellos after the start, until all seeds have
	// answered.
	startHelloInterval = 200 * time.Millisecond
)

// readFromPeers reads everything from a peer on start; ok is false if none had it. If each router
// read the origin on start, the start of a fleet would cause as many reads of the configuration
// and the list as it has routers. Readers read from a seed, and all others from their readers, so
// a router serves only those of its own domain, and a seed also a few of each other. Seeds
// themselves skip this, and so does a router for which callers wait.
func (s *Source) readFromPeers(ctx context.Context) (r follow.Reading, ok bool) {
	if !s.hasSeeds() || slices.Contains(s.cfg.Seeds, s.cfg.Self.Address) {
		return follow.Reading{}, false
	}
	start := time.Now()
	for time.Since(start) < s.peerReadTimeout(time.Now()) {
		for _, peer := range s.peersForFullRead(time.Now()) {
			reading, err := s.readPages(ctx, peer)
			if err == nil {
				s.cfg.Log.Info().Str("router", peer.VM).Dur("after", time.Since(start)).Msg("read everything from another router")
				return reading.Reading, true
			}
		}
		if !s.sleep(ctx, peerReadInterval) {
			break
		}
	}
	s.cfg.Log.Info().Dur("after", time.Since(start)).Int("routers", s.members.countSeen(time.Now())).
		Msg("no other router had anything to read; reading the origin")
	return follow.Reading{}, false
}

// sleep waits for d; it returns false early if ctx ends or SkipPeerWait was called.
func (s *Source) sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
	case <-s.skipPeers:
	}
	return false
}

// SkipPeerWait has a router that has no state yet read the origin at once, as a caller waits.
func (s *Source) SkipPeerWait() { s.skipPeersOnce.Do(func() { close(s.skipPeers) }) }

// usesStartHelloInterval reports whether this router is starting and lacks answers of some seeds.
func (s *Source) usesStartHelloInterval(now time.Time) bool {
	if s.announcingFor(now) >= defaultPeerReadTimeout {
		return false
	}
	seeds := slices.DeleteFunc(slices.Clone(s.cfg.Seeds), func(seed string) bool { return seed == s.cfg.Self.Address })
	return len(s.members.atAddresses(now, seeds)) < len(seeds)
}

// peerReadTimeout returns how long this router tries to read from peers on start.
func (s *Source) peerReadTimeout(now time.Time) time.Duration {
	if s.members.countSeen(now) > 0 && s.members.isReader(now) {
		return readerPeerReadTimeout
	}
	return defaultPeerReadTimeout
}

// peersForFullRead lists the routers from which a starting router reads everything.
func (s *Source) peersForFullRead(now time.Time) []Member {
	if !s.members.isReader(now) {
		return slices.DeleteFunc(s.members.readers(now, s.cfg.Self.FailureDomain), func(m Member) bool { return m == s.cfg.Self })
	}
	return s.members.rotated(s.members.atAddresses(now, s.cfg.Seeds))
}

// isFirstRead returns true on its first call only.
func (s *Source) isFirstRead() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := !s.startedFirstRead
	s.startedFirstRead = true
	return first
}

// actsAsReader reports whether this router calls the origin for others. A starting router that got
// its members only from other starting routers knows few of those that start with it, and would
// consider itself a reader until its next hello.
func (s *Source) actsAsReader(now time.Time) bool {
	return s.members.isReader(now) && !s.hasPartialMembership(now) || s.isStartingSeed(now)
}

// hasPartialMembership reports whether this router may not know all of its failure domain yet,
// and knows seeds to query instead.
func (s *Source) hasPartialMembership(now time.Time) bool {
	return s.isStarting(now) && !s.members.hasEstablishedPeer() && len(s.members.atAddresses(now, s.cfg.Seeds)) > 0
}

// isStartingSeed reports whether this router is a seed that has just started: those that start
// with it query it, and the readers among them aren't known yet.
func (s *Source) isStartingSeed(now time.Time) bool {
	return s.isStarting(now) && slices.Contains(s.cfg.Seeds, s.cfg.Self.Address)
}

// isStarting reports whether this router may not yet know all that started with it.
func (s *Source) isStarting(now time.Time) bool { return s.announcingFor(now) < discoveryTime }
