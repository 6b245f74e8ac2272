package placement

import (
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// Limits of the backoff after the engine refused.
const (
	baseBackoff = time.Second
	maxBackoff  = 30 * time.Second
	// maxDoublings prevents an overflow of the shift.
	maxDoublings = 10
)

// updateLoaded stores the engine's list. An engine that lost something has
// restarted, and lost its version and role too.
func (s *State) updateLoaded(names []string) {
	for _, before := range s.Loaded {
		if !slices.Contains(names, before) && !slices.Contains(s.MaybeUnloaded, before) {
			s.reset()
			break
		}
	}
	s.Loaded = names
}

// reset drops what is known of the engine's contents. MaybeUnloaded stays, as
// those unloads may still take effect, and so does NotBefore.
func (s *State) reset() {
	s.Loaded, s.Version, s.Role, s.OutOfMemory = nil, "", "", false
}

// recordDecided records that an order was decided on. A model to unload counts
// as not held from then on.
func (s *State) recordDecided(o Order) {
	if o.Kind == UnloadModel && !slices.Contains(s.MaybeUnloaded, o.Target) {
		s.MaybeUnloaded = append(s.MaybeUnloaded, o.Target)
	}
}

// recordDropped records that an order wasn't carried out and never will be.
func (s *State) recordDropped(o Order) {
	if o.Kind == UnloadModel {
		s.MaybeUnloaded = remove(s.MaybeUnloaded, o.Target)
	}
}

// recordDone records an order that was carried out.
func (s *State) recordDone(o Order) {
	switch o.Kind {
	case LoadModel, LoadAdapter:
		s.MaybeUnloaded = remove(s.MaybeUnloaded, o.Target)
		s.Loaded = append(remove(s.Loaded, o.Target), o.Target)
		s.OutOfMemory = false
	case UnloadModel:
		s.MaybeUnloaded = remove(s.MaybeUnloaded, o.Target)
		s.Loaded = remove(s.Loaded, o.Target)
		s.OutOfMemory = false
	case SetVersion:
		s.Version = o.Target
	case SetRole:
		s.Role = o.Target
	}
}

// recordFailed records an order that ended with an error. failures counts the
// preceding consecutive failures, and random is from [0, 1).
func (s *State) recordFailed(now time.Time, o Order, err error, failures int, random float64) {
	if hadNoEffect(err) {
		s.recordDropped(o)
	}
	s.OutOfMemory = s.OutOfMemory || statusOf(err) == http.StatusInsufficientStorage
	s.NotBefore = now.Add(backoff(err, failures, random))
}

// backoff returns the delay that the engine asked for plus a random part of a
// span that doubles with each failure, so that agents that were refused
// together spread out.
func backoff(err error, failures int, random float64) time.Duration {
	var refused *RefusedError
	var floor time.Duration
	if errors.As(err, &refused) {
		floor = min(refused.RetryAfter, maxBackoff)
	}
	span := min(baseBackoff<<min(failures, maxDoublings), maxBackoff)
	return floor + time.Duration(random*float64(span))
}

func remove(names []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == name })
}
