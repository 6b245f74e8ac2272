package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"coveferry/internal/request"
)

// ErrUnreachable ends an attempt at an endpoint that is presumed down and to which no connection can be
// established, although none broke. The run resumes from its KV cache copy.
var ErrUnreachable = errors.New("the endpoint can't be reached; resuming the run from its copy")

// copiedRuns holds, by endpoint, the attempts whose callers have received part of the
// response and whose KV cache has a copy elsewhere. It is safe for concurrent use.
type copiedRuns struct {
	mu         sync.Mutex
	byEndpoint map[string]map[*copiedRun]bool
}

// copiedRun is an attempt with a KV cache copy at another endpoint.
type copiedRun struct {
	copyEndpoint string
	cancel       context.CancelCauseFunc
}

// track adds the attempt at its first event. The returned function removes it.
func (c *copiedRuns) track(r *request.Request, cancel context.CancelCauseFunc) (untrack func()) {
	run := &copiedRun{copyEndpoint: r.CopyTo.Name, cancel: cancel}
	endpoint, onEvent := r.Endpoint.Name, r.OnEvent
	tracked := false
	r.OnEvent = func(now time.Time) {
		onEvent(now)
		if !tracked {
			tracked = true
			c.add(endpoint, run)
		}
	}
	return func() { c.remove(endpoint, run) }
}

func (c *copiedRuns) add(endpoint string, run *copiedRun) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byEndpoint == nil {
		c.byEndpoint = make(map[string]map[*copiedRun]bool)
	}
	if c.byEndpoint[endpoint] == nil {
		c.byEndpoint[endpoint] = make(map[*copiedRun]bool)
	}
	c.byEndpoint[endpoint][run] = true
}

func (c *copiedRuns) remove(endpoint string, run *copiedRun) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.byEndpoint[endpoint], run)
	if len(c.byEndpoint[endpoint]) == 0 {
		delete(c.byEndpoint, endpoint)
	}
}

// HasCopiedRuns reports whether an endpoint has runs that have a copy elsewhere.
func (f *Filter) HasCopiedRuns(endpoint string) bool {
	f.copiedRuns.mu.Lock()
	defer f.copiedRuns.mu.Unlock()
	return len(f.copiedRuns.byEndpoint[endpoint]) > 0
}

// CancelCopiedRuns cancels the attempts at an endpoint that can't be reached, so that
// their runs resume from KV cache copies. It cancels only those whose copy is at an
// endpoint in use. Other attempts keep waiting: the endpoint may recover, and a request
// that may run only once can't be retried elsewhere. It returns the number of canceled
// attempts.
func (f *Filter) CancelCopiedRuns(endpoint string, inUse func(endpoint string) bool) int {
	f.copiedRuns.mu.Lock()
	defer f.copiedRuns.mu.Unlock()
	canceled := 0
	for run := range f.copiedRuns.byEndpoint[endpoint] {
		if inUse(run.copyEndpoint) {
			run.cancel(ErrUnreachable)
			canceled++
		}
	}
	return canceled
}
