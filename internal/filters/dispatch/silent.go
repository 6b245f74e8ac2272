package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"coveferry/internal/request"
)

// errSilent is the end of an attempt at an endpoint that is taken for lost, though no connection
// broke: its run goes on from its copy.
var errSilent = errors.New("the endpoint has fallen silent; the run goes on from its copy")

// copiedRuns are the attempts of which callers hold a part and whose runs have copies, by their
// endpoints. It is safe for concurrent use.
type copiedRuns struct {
	mu sync.Mutex
	at map[string]map[*copiedRun]bool
}

// copiedRun is an attempt whose run has a copy at another endpoint.
type copiedRun struct {
	copyAt string
	end    context.CancelCauseFunc
}

// follow notes the attempt from its first event on, until the function that it returns is called.
func (c *copiedRuns) follow(r *request.Request, end context.CancelCauseFunc) (forget func()) {
	run := &copiedRun{copyAt: r.Copy.Name, end: end}
	endpoint, heard := r.Endpoint.Name, r.HeardEvent
	noted := false
	r.HeardEvent = func(now time.Time) {
		heard(now)
		if !noted {
			noted = true
			c.add(endpoint, run)
		}
	}
	return func() { c.remove(endpoint, run) }
}

func (c *copiedRuns) add(endpoint string, run *copiedRun) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.at == nil {
		c.at = make(map[string]map[*copiedRun]bool)
	}
	if c.at[endpoint] == nil {
		c.at[endpoint] = make(map[*copiedRun]bool)
	}
	c.at[endpoint][run] = true
}

func (c *copiedRuns) remove(endpoint string, run *copiedRun) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.at[endpoint], run)
	if len(c.at[endpoint]) == 0 {
		delete(c.at, endpoint)
	}
}

// LeaveSilent ends the attempts at an endpoint that is taken for lost, so that their runs go on
// from their copies, where those lie at endpoints that are in use. Other attempts wait on: the
// endpoint may be back, and what may run only once can't be tried elsewhere. It returns how many
// it ended.
func (f *Filter) LeaveSilent(endpoint string, inUse func(endpoint string) bool) int {
	f.copied.mu.Lock()
	defer f.copied.mu.Unlock()
	left := 0
	for run := range f.copied.at[endpoint] {
		if inUse(run.copyAt) {
			run.end(errSilent)
			left++
		}
	}
	return left
}
