package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"
)

// DeadlyOf says whether in a seed one caller sends the same request again and again, to any
// router, that ends each endpoint that runs it: the seeds from 16 of 32.
func DeadlyOf(seed uint64) bool { return seed/16%2 == 1 }

const (
	// meanDeadlyGap is the mean time between two of these requests.
	meanDeadlyGap = 500 * time.Millisecond
	// deadlyID begins the ids of these requests.
	deadlyID = "deadly-"
	// DeadlyGrace is how long an endpoint lives that runs one, so that it can tell.
	DeadlyGrace = 50 * time.Millisecond
	// deadlyFrom is how many endpoints may end under the request before routers must know
	// it, and deadlyMore how many requests may reach endpoints then.
	deadlyFrom, deadlyMore = 3, 3
	// comeBackAfter is how long after its end an endpoint's successor starts.
	comeBackAfter = 4 * time.Second
)

// runDeadly sends the request until ctx ends.
func (c *caller) runDeadly(ctx context.Context) {
	route := c.soak.routes[slices.IndexFunc(c.soak.routes, func(r Route) bool { return r.Stream && !r.Repeatable })]
	route.Deadly = true
	for n := 0; sleepUntil(ctx, time.Now().Add(time.Duration(c.rnd.ExpFloat64()*float64(meanDeadlyGap)))); n++ {
		c.router = c.rnd.IntN(len(c.soak.routers))
		c.soak.record(c.call(route, fmt.Sprint(deadlyID, n), steadyKey, steadyTeam))
	}
}

// startDeadly has the request sent until ctx ends, if the seed has it. The function that it
// returns waits until all that it ended has come back.
func (r *run) startDeadly(ctx context.Context) (wait func()) {
	if !DeadlyOf(r.opts.Seed) {
		return func() {}
	}
	c := &caller{
		soak: r, rnd: rand.New(rand.NewPCG(r.opts.Seed, 1<<32)),
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
	r.crashes.Go(func() { c.runDeadly(ctx) })
	return r.crashes.Wait
}

// crash has an endpoint gone that is ending by itself, and another start later.
func (r *run) crash(ctx context.Context, e *endpointProc) {
	from := time.Now()
	e.process.ExpectEnd()
	r.mu.Lock()
	name := e.endpoint.Name
	r.seen.EndpointHarmed[name] = append(r.seen.EndpointHarmed[name], Span{From: from, To: openEnd})
	served := slices.Contains(r.endpoints, e)
	r.endpoints = slices.DeleteFunc(r.endpoints, func(other *endpointProc) bool { return other == e })
	r.mu.Unlock()
	<-e.process.done
	if !served {
		return // the fault that has taken it out replaces it
	}
	sleepUntil(ctx, from.Add(lapse))
	r.wire.Unlist(name)
	sleepUntil(ctx, from.Add(comeBackAfter))
	r.replace(ctx, e)
}

// deadly judges how often the request that ends endpoints was sent on.
func (c *checker) deadly() {
	var runs []Execution
	routers := make(map[string]int)
	for _, call := range c.seen.Calls {
		if call.Deadly {
			runs = append(runs, c.runs[call.ID]...)
			routers[call.ID] = call.Router
		}
	}
	slices.SortFunc(runs, func(a, b Execution) int { return a.Begin.Compare(b.Begin) })
	if len(runs) <= deadlyFrom {
		return
	}
	known := runs[deadlyFrom-1].Begin.Add(c.bounds.Contact + c.bounds.Slack)
	more := 0
	for _, r := range runs[deadlyFrom:] {
		if r.Begin.After(known) && c.calm(routers[r.ID], r.Begin) {
			more++
		}
	}
	if more > deadlyMore {
		c.add(PromiseDeadly, runs[0].ID, "%d more reached endpoints after %d had ended under it; %d in all", more, deadlyFrom, len(runs))
	}
}

// calm says that a router's process ran for a while before a moment. What harms its ways to
// the store or to endpoints doesn't keep it from hearing of others.
func (c *checker) calm(router int, at time.Time) bool {
	touches := func(s Span) bool { return s.touches(at.Add(-c.bounds.Contact), at) }
	return !slices.ContainsFunc(c.seen.Down[router], touches)
}
