package peers

import (
	"context"
	"slices"
	"time"

	"coveferry/internal/follow"
)

const (
	// startFor is for how long a router that has just started, and that no caller waits for,
	// asks other routers for everything before it asks the source: some seeds start later
	// than those that greet them, and a fleet before the operator's first configuration.
	startFor = 2 * time.Second
	// readersStartFor is the same for one that reads for its failure domain, as far as it
	// knows: where no seed has been told anything by then there may be nothing yet.
	readersStartFor = 400 * time.Millisecond
	// startEvery is the time between two of its questions.
	startEvery = 50 * time.Millisecond
	// knownAfter is how long after its start a router has heard of all that started with it:
	// each has greeted a seed twice by then.
	knownAfter = 2 * helloEvery
	// helloAtStart is the time between two words to other routers in that time, until all
	// seeds have answered.
	helloAtStart = 200 * time.Millisecond
)

// readFromPeers has a router that knows nothing read everything from another one; ok is false
// if none told it. If each that starts read the source for itself, a fleet that starts would ask
// for as many configurations and lists as it has routers. Who reads for a failure domain has it
// from a seed, all others have it from who reads for theirs, so that no router has to tell
// everything to more than those of its own domain, and a seed to a few of each other. Seeds
// themselves don't wait, nor does a router to which callers have come.
func (s *Source) readFromPeers(ctx context.Context) (r follow.Reading, ok bool) {
	if !s.hasSeeds() || slices.Contains(s.cfg.Seeds, s.cfg.Self.Address) {
		return follow.Reading{}, false
	}
	begun := time.Now()
	for time.Since(begun) < s.startingFor(time.Now()) {
		for _, peer := range s.startFrom(time.Now()) {
			word, err := s.readPages(ctx, peer)
			if err == nil {
				s.cfg.Log.Info().Str("router", peer.VM).Dur("after", time.Since(begun)).Msg("another router told everything")
				return word.Reading, true
			}
		}
		if !s.rest(ctx, startEvery) {
			break
		}
	}
	s.cfg.Log.Info().Dur("after", time.Since(begun)).Int("routers", s.members.byName(time.Now())).
		Msg("no other router told everything: the source is read")
	return follow.Reading{}, false
}

// rest waits for so long; it returns false at once where that isn't to be waited for.
func (s *Source) rest(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
	case <-s.hurried:
	}
	return false
}

// Hurry has a router that knows nothing yet read the source for itself: a caller waits for it.
func (s *Source) Hurry() { s.hurry.Do(func() { close(s.hurried) }) }

// greetsOften says whether a router has just started and not all seeds have answered it.
func (s *Source) greetsOften(now time.Time) bool {
	if s.greetingFor(now) >= startFor {
		return false
	}
	seeds := slices.DeleteFunc(slices.Clone(s.cfg.Seeds), func(seed string) bool { return seed == s.cfg.Self.Address })
	return len(s.members.at(now, seeds)) < len(seeds)
}

// startingFor is for how long this router asks others.
func (s *Source) startingFor(now time.Time) time.Duration {
	if s.members.byName(now) > 0 && s.members.isReader(now) {
		return readersStartFor
	}
	return startFor
}

// startFrom are the routers of which one that knows nothing asks everything.
func (s *Source) startFrom(now time.Time) []Member {
	if !s.members.isReader(now) {
		return slices.DeleteFunc(s.members.readers(now, s.cfg.Self.FailureDomain), func(m Member) bool { return m == s.cfg.Self })
	}
	return s.members.inTurn(s.members.at(now, s.cfg.Seeds))
}

// isFirst says once that this router has never asked for everything.
func (s *Source) isFirst() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := !s.hasRead
	s.hasRead = true
	return first
}

// isReader says whether this router asks the source for others. One that has just started, and
// has heard whom others know only from such as have too, knows few of those that start with it:
// it would take itself for a reader until it greets them again.
func (s *Source) isReader(now time.Time) bool {
	return s.members.isReader(now) && !s.knowsFew(now) || s.isNewSeed(now)
}

// knowsFew says whether this router may not have heard of all of its failure domain, though it
// has seeds to ask meanwhile.
func (s *Source) knowsFew(now time.Time) bool {
	return s.isNew(now) && !s.members.hasHeardFromOld() && len(s.members.at(now, s.cfg.Seeds)) > 0
}

// isNewSeed says whether this router is a seed that has just started: those that start with it
// ask it, and which of them read isn't known yet.
func (s *Source) isNewSeed(now time.Time) bool {
	return s.isNew(now) && slices.Contains(s.cfg.Seeds, s.cfg.Self.Address)
}

// isNew says whether this router may not have heard of all that started with it.
func (s *Source) isNew(now time.Time) bool { return s.greetingFor(now) < knownAfter }
