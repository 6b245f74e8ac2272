package server

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// idlePollInterval is how often a server that stops looks whether it has become quiet.
const idlePollInterval = 50 * time.Millisecond

// requestTracker counts the requests that are open. It is safe for concurrent use.
type requestTracker struct {
	mu   sync.Mutex
	open int
	// idleSince is when the last request ended.
	idleSince time.Time
}

func (t *requestTracker) add(by int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.open += by
	t.idleSince = time.Now()
}

// idleFor is how long no request has been open; 0 while one is.
func (t *requestTracker) idleFor() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.open > 0 {
		return 0
	}
	return time.Since(t.idleSince)
}

// track counts the requests that next serves.
func (t *requestTracker) track(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		t.add(1)
		defer t.add(-1)
		next.ServeHTTP(w, r)
	})
}

// waitIdle waits until no request has been open for so long, or ctx ends.
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
