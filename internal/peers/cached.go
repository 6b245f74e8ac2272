package peers

import (
	"sync"
	"time"
)

// cacheTTL is how long a value that a reader computes from all endpoints serves for all polls: a
// fifth of a router's poll interval. Computed for each poll, it would take hundreds of passes over
// all endpoints a second.
const cacheTTL = 50 * time.Millisecond

// cached holds a value that is recomputed once it is older than cacheTTL. It is safe for
// concurrent use; the returned value is shared and must not be modified.
type cached[V any] struct {
	mu         sync.Mutex
	value      V
	computedAt time.Time
}

// get returns the value and its age.
func (l *cached[V]) get(now time.Time, compute func() V) (V, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if age := now.Sub(l.computedAt); !l.computedAt.IsZero() && age >= 0 && age < cacheTTL {
		return l.value, age
	}
	l.value, l.computedAt = compute(), now
	return l.value, 0
}
