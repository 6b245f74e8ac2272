package rollout

import "time"

// Action is what to do about a version that a peer has.
type Action int

const (
	// NoAction ignores the offer.
	NoAction Action = iota
	// Pull fetches the peer's version.
	Pull
	// Wait evaluates the offer again after Decision.Wait, as a transfer is in
	// progress.
	Wait
	// PeerBehind: the peer has a lower version. Its link offers it the active
	// one; the caller does nothing.
	PeerBehind
	// Conflict: the peer has different content under the same version.
	Conflict
)

// Decision is an action and its parameter.
type Decision struct {
	Action Action
	// Wait is how long to wait; it is set for the action Wait.
	Wait time.Duration
}

// transferState decides which offers to accept.
type transferState struct {
	active Summary
	// inProgress is the version that is being transferred, started at
	// startedAt.
	inProgress uint64
	startedAt  time.Time
	// ignoredUntil is set for peers that failed to prove an offer.
	ignoredUntil map[ID]time.Time
}

func (s *transferState) evaluate(now time.Time, from ID, offered Summary, t Tuning) Decision {
	switch {
	case offered.Version < s.active.Version:
		return Decision{Action: PeerBehind}
	case offered == s.active:
		return Decision{}
	case offered.Version == s.active.Version:
		return Decision{Action: Conflict}
	case now.Before(s.ignoredUntil[from]):
		return Decision{}
	}
	if left := s.startedAt.Add(t.TransferWait).Sub(now); s.inProgress >= offered.Version && left > 0 {
		return Decision{Action: Wait, Wait: left}
	}
	return Decision{Action: Pull}
}

func (s *transferState) begin(now time.Time, version uint64) {
	s.inProgress, s.startedAt = version, now
}

// end records the end of a transfer. Offers of a peer that didn't prove its
// claim are ignored for a while.
func (s *transferState) end(now time.Time, from ID, version uint64, proved bool, t Tuning) {
	if s.inProgress == version {
		s.inProgress = 0
	}
	if !proved {
		s.ignoredUntil[from] = now.Add(t.IgnorePeerFor)
	}
}
