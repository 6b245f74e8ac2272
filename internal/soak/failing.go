package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
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
