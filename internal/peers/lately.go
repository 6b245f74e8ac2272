package peers

import (
	"sync"
	"time"
)

// latelyFor is for how long what a reader works out from all endpoints serves for all questions:
// a fifth of the time between two questions of a router. Worked out for each it costs as many
// looks at all endpoints as there are questions, hundreds a second.
const latelyFor = 50 * time.Millisecond

// lately holds a value that is worked out anew once it is older than latelyFor. It is safe for
// concurrent use; what it returns is shared and stays as it is.
type lately[V any] struct {
	mu    sync.Mutex
	value V
	at    time.Time
}

// get returns the value and how old it is.
func (l *lately[V]) get(now time.Time, work func() V) (V, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if age := now.Sub(l.at); !l.at.IsZero() && age >= 0 && age < latelyFor {
		return l.value, age
	}
	l.value, l.at = work(), now
	return l.value, 0
}
