package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"coveferry/internal/request"
)

// errEndpointSilent is the end of an attempt at an endpoint that is taken for lost, though no connection
// broke: its run goes on from its copy.
var errEndpointSilent = errors.New("the endpoint has fallen silent; the run goes on from its copy")

// copiedRuns are the attempts of which callers hold a part and whose runs have copies, by their
// endpoints. It is safe for concurrent use.
type copiedRuns struct {
	mu         sync.Mutex
	byEndpoint map[string]map[*copiedRun]bool
}

// copiedRun is an attempt whose run has a copy at another endpoint.
type copiedRun struct {
	copyEndpoint string
	cancel       context.CancelCauseFunc
}

// track notes the attempt from its first event on, until the function that it returns is called.
func (c *copiedRuns) track(r *request.Request, cancel context.CancelCauseFunc) (untrack func()) {
	run := &copiedRun{copyEndpoint: r.Copy.Name, cancel: cancel}
	endpoint, onEvent := r.Endpoint.Name, r.HeardEvent
	tracked := false
	r.HeardEvent = func(now time.Time) {
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

// LeaveSilent ends the attempts at an endpoint that is taken for lost, so that their runs go on
// from their copies, where those lie at endpoints that are in use. Other attempts wait on: the
// endpoint may be back, and what may run only once can't be tried elsewhere. It returns how many
// it ended.
func (f *Filter) LeaveSilent(endpoint string, inUse func(endpoint string) bool) int {
	f.copiedRuns.mu.Lock()
	defer f.copiedRuns.mu.Unlock()
	canceled := 0
	for run := range f.copiedRuns.byEndpoint[endpoint] {
		if inUse(run.copyEndpoint) {
			run.cancel(errEndpointSilent)
			canceled++
		}
	}
	return canceled
}
