package server

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// idlePollInterval is how often a stopping server checks whether it is idle.
const idlePollInterval = 50 * time.Millisecond

// requestTracker counts open requests. It is safe for concurrent use.
type requestTracker struct {
	mu   sync.Mutex
	open int
	// lastChange is when a request last started or ended.
	lastChange time.Time
}

func (t *requestTracker) add(by int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.open += by
	t.lastChange = time.Now()
}

// idleFor returns how long no request has been open; 0 while one is.
func (t *requestTracker) idleFor() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.open > 0 {
		return 0
	}
	return time.Since(t.lastChange)
}

// track returns a handler that counts the requests of next.
func (t *requestTracker) track(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		t.add(1)
		defer t.add(-1)
		next.ServeHTTP(w, r)
	})
}

// waitIdle waits until no request has been open for the given time, or ctx ends.
func (t *requestTracker) waitIdle(ctx context.Context, idle time.Duration) {
	ticker := time.NewTicker(idlePollInterval)
	defer ticker.Stop()
	for t.idleFor() < idle {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}
