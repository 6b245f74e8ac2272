package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// HasFailingEndpoints reports whether endpoints fail a share of the requests that they have read in the
// runs of a seed: every second block of 4000 seeds.
func HasFailingEndpoints(seed uint64) bool { return seed/4000%2 == 1 }

// Failing defines how an endpoint fails requests that it has read. The zero value fails none.
type Failing struct {
	// Share is the share of requests to fail, from 0 to 1.
	Share float64 `json:"share"`
	// After is the time between reading a request and failing it.
	After time.Duration `json:"after"`
	How   FailHow       `json:"how"`
	// Pause is the time between two parts of an answer without an end; 0 sends at full speed.
	Pause time.Duration `json:"pause,omitempty"`
}

// FailHow is the way in which a request is failed.
type FailHow string

// The ways to fail a request.
const (
	// FailReset resets its connection.
	FailReset FailHow = ""
	// FailClose closes its connection in an orderly way, without an answer.
	FailClose FailHow = "close"
	// FailCut closes its connection in the middle of the answer.
	FailCut FailHow = "cut"
	// FailSilent sends no answer and waits until the caller disconnects.
	FailSilent FailHow = "silent"
	// FailBusy refuses it as not run.
	FailBusy FailHow = "busy"
)

const (
	// meanFailingGap is the mean time between two endpoints that begin to fail. They fail
	// for shortestFailing to longestFailing, so that these times overlap.
	meanFailingGap  = 1200 * time.Millisecond
	shortestFailing = 3 * time.Second
	longestFailing  = 9 * time.Second
	// wholeServiceInterval is N if every N-th of these faults hits all endpoints of a service.
	wholeServiceInterval = 3
)

// failureModes combines early and late failures and different shares. A retry after a late failure
// has less time left than the first attempt.
var failureModes = []Failing{
	{Share: 0.3, After: 10 * time.Millisecond},
	{Share: 0.7, After: 10 * time.Millisecond},
	{Share: 0.5, After: 800 * time.Millisecond},
}

// failing uses its own random source, like growth.
func failing(seed uint64, end time.Duration) []Fault {
	return failures(EndpointFailing, rand.New(rand.NewPCG(seed, 5)), end)
}

// failures draws times in which endpoints fail in the given way.
func failures(kind Kind, rnd *rand.Rand, end time.Duration) []Fault {
	var plan []Fault
	for at := faultFreeStart; at < end; at += time.Duration(rnd.ExpFloat64() * float64(meanFailingGap)) {
		f := Fault{At: at, Kind: kind, Target: rnd.IntN(1 << 16), Duration: shortestFailing + randomDuration(rnd, longestFailing-shortestFailing)}
		f.Duration = min(f.Duration, end-at)
		plan = append(plan, f)
	}
	return plan
}

// failEndpoints has an endpoint, or sometimes all endpoints of its service, fail a share of
// their requests for a while, in one of the given ways. If two such faults hit the same endpoint,
// the later one applies until either of them ends.
func (r *run) failEndpoints(ctx context.Context, f Fault, modes []Failing) {
	failing := r.pickFailing(f.Target)
	if len(failing) == 0 {
		return
	}
	mode := modes[f.Target%len(modes)]
	from := time.Now()
	var open sync.WaitGroup
	for _, e := range failing {
		open.Go(func() {
			r.setFailing(ctx, e, mode)
			sleepUntil(ctx, from.Add(f.Duration))
			r.setFailing(ctx, e, Failing{})
		})
	}
	open.Wait()
}

// pickFailing returns the endpoints that a fault hits.
func (r *run) pickFailing(target int) []*endpointProc {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.endpoints) == 0 {
		return nil
	}
	one := r.endpoints[target%len(r.endpoints)]
	if target/len(failureModes)%wholeServiceInterval != 0 {
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

// setFailing sets how an endpoint fails requests. It fails if the endpoint has ended or is
// paused.
func (r *run) setFailing(ctx context.Context, e *endpointProc, mode Failing) {
	if err := r.wire.Fail(ctx, e.listenAddr, mode); err != nil {
		fmt.Fprintln(r.opts.Progress, "endpoint", e.endpoint.Name, "can't set its failures:", err)
	}
}
