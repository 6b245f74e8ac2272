package main

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"

	"coveferry/platform/platformtest"
)

// storeGate serves the store to the routers, or turns them away with 503 while the operator and
// the replicas are served.
type storeGate struct {
	store   *platformtest.Store
	mu      sync.Mutex
	closed  bool
	changed chan struct{}
}

// turnAway sets whether the routers are turned away. It cuts the watches that wait.
func (g *storeGate) turnAway(closed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = closed
	close(g.changed)
	g.changed = make(chan struct{})
}

// use serves another store from now on.
func (g *storeGate) use(s *platformtest.Store) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.store = s
}

func (g *storeGate) state() (store *platformtest.Store, closed bool, changed <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.store, g.closed, g.changed
}

// ServeHTTP implements http.Handler.
func (g *storeGate) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	store, closed, changed := g.state()
	if !closed {
		ctx, cancel := context.WithCancel(req.Context())
		go func() {
			select {
			case <-changed:
				cancel()
			case <-ctx.Done():
			}
		}()
		answer := httptest.NewRecorder()
		store.ServeHTTP(answer, req.WithContext(ctx))
		cancel()
		if _, closed, _ = g.state(); !closed {
			for name, values := range answer.Header() {
				w.Header()[name] = values
			}
			w.WriteHeader(answer.Code)
			_, _ = w.Write(answer.Body.Bytes())
			return
		}
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}
