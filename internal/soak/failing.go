package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

// FailingOf says whether in a seed endpoints fail a part of what they have read: every second
// four thousand of seeds.
func FailingOf(seed uint64) bool { return seed/4000%2 == 1 }

// Failing is how an endpoint fails requests that it has read. The zero value fails none.
type Failing struct {
	// Share of the requests is failed, from 0 to 1.
	Share float64 `json:"share"`
	// After is how long after it has read one it fails it.
	After time.Duration `json:"after"`
	How   FailHow       `json:"how"`
}

// FailHow is what becomes of a request that is failed.
type FailHow string

// The ways to fail one.
const (
	// FailReset: its connection is reset.
	FailReset FailHow = ""
	// FailClose: its connection ends in good order, without an answer.
	FailClose FailHow = "close"
	// FailCut: it ends in the middle of the answer.
	FailCut FailHow = "cut"
	// FailSilent: nothing comes, until its caller leaves.
	FailSilent FailHow = "silent"
	// FailBusy: it is refused as not run.
	FailBusy FailHow = "busy"
)

const (
	// meanFailingGap is the mean time between two endpoints that begin to fail, which thereby
	// overlap; they do so for shortestFailing to longestFailing.
	meanFailingGap  = 1200 * time.Millisecond
	shortestFailing = 3 * time.Second
	longestFailing  = 9 * time.Second
	// allFail is of how many such faults one strikes all endpoints of a service.
	allFail = 3
)

// failings are soon and late, some and most: a second try that follows a late one has less
// time left than the first.
var failings = []Failing{
	{Share: 0.3, After: 10 * time.Millisecond},
	{Share: 0.7, After: 10 * time.Millisecond},
	{Share: 0.5, After: 800 * time.Millisecond},
}

// failing has random numbers of its own, as growth.
func failing(seed uint64, end time.Duration) []Fault {
	rnd := rand.New(rand.NewPCG(seed, 5))
	var plan []Fault
	for at := calmStart; at < end; at += time.Duration(rnd.ExpFloat64() * float64(meanFailingGap)) {
		f := Fault{At: at, Kind: EndpointFailing, Target: rnd.IntN(1 << 16), For: shortestFailing + upTo(rnd, longestFailing-shortestFailing)}
		f.For = min(f.For, end-at)
		plan = append(plan, f)
	}
	return plan
}

// failEndpoints has an endpoint, or now and then all of its service, fail a part of their
// requests for a while. Of two faults that strike the same one the later counts, until the
// first of them ends.
func (r *run) failEndpoints(ctx context.Context, f Fault) {
	struck := r.failing(f.Target)
	if len(struck) == 0 {
		return
	}
	how := failings[f.Target%len(failings)]
	from := time.Now()
	var open sync.WaitGroup
	for _, e := range struck {
		open.Go(func() {
			r.tellFailing(ctx, e, how)
			sleepUntil(ctx, from.Add(f.For))
			r.tellFailing(ctx, e, Failing{})
		})
	}
	open.Wait()
}

// failing picks the endpoints that fail.
func (r *run) failing(target int) []*endpointProc {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.endpoints) == 0 {
		return nil
	}
	one := r.endpoints[target%len(r.endpoints)]
	if target/len(failings)%allFail != 0 {
		return []*endpointProc{one}
	}
	var all []*endpointProc
	for _, e := range r.endpoints {
		if e.endpoint.Service == one.endpoint.Service {
			all = append(all, e)
		}
	}
	return all
}

// tellFailing tells an endpoint how to fail. One that is gone or stands still hears nothing.
func (r *run) tellFailing(ctx context.Context, e *endpointProc, how Failing) {
	if err := r.wire.Fail(ctx, e.listens, how); err != nil {
		fmt.Fprintln(r.opts.Progress, "endpoint", e.endpoint.Name, "can't be told how to fail:", err)
	}
}

// hearRouter takes a line of a router's log.
func (r *run) hearRouter(line []byte) {
	var ended struct {
		Message, Request string
		Attempts         json.RawMessage
	}
	if err := json.Unmarshal(line, &ended); err != nil || ended.Message != "request ended" || ended.Request == "" {
		return // of something else
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seen.Told[ended.Request] = AttemptsTold(ended.Attempts)
}

// AttemptsTold is how many attempts at endpoints a router's line on a request tells of.
func AttemptsTold(attempts json.RawMessage) int {
	var told []string
	if err := json.Unmarshal(attempts, &told); err != nil {
		return 0 // it ended before there could be any
	}
	return len(slices.DeleteFunc(told, func(a string) bool { return strings.Contains(a, " at : ") }))
}

// told compares what endpoints got with what routers tell. A router that was killed tells
// nothing of what it had open, and one with much to tell leaves lines out.
func (c *checker) told() {
	for id, attempts := range c.seen.Told {
		if n := len(c.runs[id]); n > attempts {
			c.add(PromiseTold, id, "endpoints got it %d times, its router tells of %d attempts", n, attempts)
		}
	}
}

// repeats counts, in each window, what the endpoints of a service got beyond the first
// arrival of each request. It holds for all routers together, harmed or not. Requests count
// that were sent in the window, half a window before or a window before, whichever are most.
func (c *checker) repeats() {
	sent := make(map[string][]time.Time)
	repeated := make(map[string][]time.Time)
	for _, call := range c.seen.Calls {
		sent[call.Service] = append(sent[call.Service], call.Sent)
		var begins []time.Time
		for _, r := range c.runs[call.ID] {
			begins = append(begins, r.Begin)
		}
		slices.SortFunc(begins, time.Time.Compare)
		if len(begins) > 1 {
			repeated[call.Service] = append(repeated[call.Service], begins[1:]...)
		}
	}
	for service, at := range repeated {
		for _, from := range at {
			n, of := countIn(at, from, c.bounds.RetryWindow), 0
			for _, back := range []time.Duration{0, c.bounds.RetryWindow / 2, c.bounds.RetryWindow} {
				of = max(of, countIn(sent[service], from.Add(-back), c.bounds.RetryWindow))
			}
			if allowed := int(c.bounds.RetryRatio*float64(of)) + c.bounds.RetrySlack; n > allowed {
				c.add(PromiseRetries, "", "%s got %d requests again in %s, for %d sent, over %d", service, n, c.bounds.RetryWindow, of, allowed)
				break
			}
		}
	}
}

// MostPlaces is at how many endpoints a request of a soak's routes may run.
const MostPlaces = 2

// places counts at how many endpoints each request ran.
func (c *checker) places() {
	for id, runs := range c.runs {
		at := make(map[string]bool)
		for _, r := range runs {
			at[r.Endpoint] = true
		}
		if len(at) > MostPlaces {
			c.add(PromisePlaces, id, "it ran at %d endpoints, over %d", len(at), MostPlaces)
		}
	}
}

// countIn is how many of the moments lie in the window that begins at one.
func countIn(at []time.Time, from time.Time, window time.Duration) int {
	n := 0
	for _, t := range at {
		if !t.Before(from) && t.Sub(from) < window {
			n++
		}
	}
	return n
}
