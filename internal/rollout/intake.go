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
	// Push sends the active version to the peer, which is behind.
	Push
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
	held Summary
	// inProgress is the version that is being transferred, started at
	// startedAt.
	inProgress uint64
	startedAt  time.Time
	// ignoredUntil is set for peers that failed to prove an offer.
	ignoredUntil map[ID]time.Time
}

func (i *transferState) evaluate(now time.Time, from ID, offered Summary, t Tuning) Decision {
	switch {
	case offered.Version < i.held.Version:
		return Decision{Action: Push}
	case offered == i.held:
		return Decision{}
	case offered.Version == i.held.Version:
		return Decision{Action: Conflict}
	case now.Before(i.ignoredUntil[from]):
		return Decision{}
	}
	if left := i.startedAt.Add(t.TransferWait).Sub(now); i.inProgress >= offered.Version && left > 0 {
		return Decision{Action: Wait, Wait: left}
	}
	return Decision{Action: Pull}
}

func (i *transferState) begin(now time.Time, version uint64) {
	i.inProgress, i.startedAt = version, now
}

// end records the end of a transfer. Offers of a peer that didn't prove its
// claim are ignored for a while.
func (i *transferState) end(now time.Time, from ID, version uint64, proved bool, t Tuning) {
	if i.inProgress == version {
		i.inProgress = 0
	}
	if !proved {
		i.ignoredUntil[from] = now.Add(t.IgnorePeerFor)
	}
}
