package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"
)

// HasCrashRequests reports whether a caller repeats a crash request in the runs of a seed: the upper
// 16 of each 32 seeds. That request crashes every endpoint that runs it, and is always the
// same one, sent to any router.
func HasCrashRequests(seed uint64) bool { return seed/16%2 == 1 }

// HasCrashParts reports whether the crash requests of a seed differ in all but one part of their
// prompts, and other requests share the other parts: every second block of 64000 seeds.
func HasCrashParts(seed uint64) bool { return seed/64000%2 == 1 }

const (
	// meanCrashRequestGap is the mean time between two crash requests, and meanCrashPartGap
	// between two that have a part in common.
	meanCrashRequestGap = 500 * time.Millisecond
	meanCrashPartGap    = 150 * time.Millisecond
	// crashRequestID is the prefix of the IDs of crash requests.
	crashRequestID = "deadly-"
	// CrashDelay is the time after which an endpoint that runs one crashes. It leaves time
	// to write the endpoint's record.
	CrashDelay = 50 * time.Millisecond
	// maxRunsInQuarantine is the number of crash requests that may still reach endpoints after
	// Bounds.CrashesBeforeQuarantine.
	maxRunsInQuarantine = 3
	// replacementDelay is the time from a crash to the start of the replacement.
	replacementDelay = 4 * time.Second
)

// sendCrashRequests sends crash requests until ctx ends.
func (c *caller) sendCrashRequests(ctx context.Context) {
	route := c.soak.routes[slices.IndexFunc(c.soak.routes, func(r Route) bool { return r.Stream && !r.Repeatable })]
	route.Crashing = true
	route.Prompt = promptOf(c.soak.opts.Seed, true)
	gap := meanCrashRequestGap
	if route.Prompt == PromptCrashing {
		gap = meanCrashPartGap
	}
	for n := 0; sleepUntil(ctx, time.Now().Add(time.Duration(c.rnd.ExpFloat64()*float64(gap)))); n++ {
		c.router = c.rnd.IntN(len(c.soak.routers))
		c.soak.record(c.call(route, fmt.Sprint(crashRequestID, n), permanentKey, permanentTeam))
	}
}

// promptOf returns the kind of prompt of a seed's requests.
func promptOf(seed uint64, crashing bool) PromptKind {
	switch {
	case HasCrashParts(seed) && crashing:
		return PromptCrashing
	case HasCrashParts(seed):
		return PromptSound
	case HasStalls(seed) && !crashing:
		return PromptShort
	}
	return PromptNone
}

// startCrashRequests sends crash requests until ctx ends, if the seed has them. wait waits until all
// crashed endpoints are replaced.
func (r *run) startCrashRequests(ctx context.Context) (wait func()) {
	if !HasCrashRequests(r.opts.Seed) && !HasCrashParts(r.opts.Seed) {
		return func() {}
	}
	c := &caller{
		soak: r, rnd: rand.New(rand.NewPCG(r.opts.Seed, 1<<32)),
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
	r.crashes.Go(func() { c.sendCrashRequests(ctx) })
	return r.crashes.Wait
}

// crash handles an endpoint that is crashing, and starts a replacement later.
func (r *run) crash(ctx context.Context, e *endpointProc) {
	from := time.Now()
	e.process.ExpectEnd()
	r.mu.Lock()
	name := e.endpoint.Name
	r.observed.EndpointFaults[name] = append(r.observed.EndpointFaults[name], Span{From: from, To: openEnd})
	wasServing := slices.Contains(r.endpoints, e)
	r.endpoints = slices.DeleteFunc(r.endpoints, func(other *endpointProc) bool { return other == e })
	r.mu.Unlock()
	<-e.process.done
	if !wasServing {
		return // the fault that removed it replaces it
	}
	sleepUntil(ctx, from.Add(listTimeout))
	r.wire.Unlist(name)
	sleepUntil(ctx, from.Add(replacementDelay))
	r.replace(ctx, e)
}

// crashRequests checks how often routers sent the crash request to endpoints.
func (c *checker) crashRequests() {
	var runs []Execution
	routers := make(map[string]int)
	for _, call := range c.observed.Calls {
		if call.Crashing {
			runs = append(runs, c.runs[call.ID]...)
			routers[call.ID] = call.Router
		}
	}
	slices.SortFunc(runs, func(a, b Execution) int { return a.Begin.Compare(b.Begin) })
	crashes := c.bounds.CrashesBeforeQuarantine
	if len(runs) <= crashes {
		return
	}
	known := runs[crashes-1].Begin.Add(c.bounds.FaultMargin + c.bounds.Slack)
	late := 0
	for _, r := range runs[crashes:] {
		if r.Begin.After(known) && c.wasRunning(routers[r.ID], r.Begin) {
			late++
		}
	}
	if late > maxRunsInQuarantine {
		c.add(PromiseQuarantine, runs[0].ID, "%d more crash requests reached endpoints after the first %d crashes; %d in total", late, crashes, len(runs))
	}
}

// wasRunning reports whether a router's process was running for all of Bounds.FaultMargin before
// a time. Faults between it and the store or endpoints are ignored, since they don't affect its
// exchange with other routers.
func (c *checker) wasRunning(router int, at time.Time) bool {
	touches := func(s Span) bool { return s.touches(at.Add(-c.bounds.FaultMargin), at) }
	return !slices.ContainsFunc(c.observed.Down[router], touches)
}
