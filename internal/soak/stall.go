package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"
)

// HasStalls reports whether endpoints stand still while their connections break, some notice late that a
// caller has left, and runs are copied to other endpoints, in the runs of a seed: every second block of
// 8192000 seeds.
func HasStalls(seed uint64) bool { return seed/8192000%2 == 1 }

// EndpointsStall pauses endpoints of a failure domain and resets their connections meanwhile. Only seeds
// with stalls have it.
const EndpointsStall Kind = "endpoints_stall"

const (
	// meanStallGap is the mean time between two stalls. They last for shortestStall to longestStall, and
	// half of them hit all endpoints of a failure domain but the two that are left of a service.
	meanStallGap  = 2 * time.Second
	shortestStall = 300 * time.Millisecond
	longestStall  = 3 * time.Second
	// lingerTime is how long streams of every third endpoint run on after their callers have left.
	lingerTime     = 700 * time.Millisecond
	lingeringShare = 3
	// maxOverlap is for how long a stream may run at two endpoints.
	maxOverlap = 400 * time.Millisecond
)

// stalls uses its own random source, like growth.
func stalls(seed uint64, end time.Duration) []Fault {
	rnd := rand.New(rand.NewPCG(seed, 13))
	var plan []Fault
	for at := faultFreeStart; at < end; at += time.Duration(rnd.ExpFloat64() * float64(meanStallGap)) {
		f := Fault{At: at, Kind: EndpointsStall, Target: rnd.IntN(1 << 16)}
		f.Duration = min(shortestStall+randomDuration(rnd, longestStall-shortestStall), end-at)
		plan = append(plan, f)
	}
	return plan
}

// stall pauses one endpoint or those of a failure domain. Some of their connections are reset meanwhile.
func (r *run) stall(ctx context.Context, f Fault) {
	stalled := r.removeForStall(f.Target)
	from := time.Now()
	for _, e := range stalled {
		r.beginEndpointFault(e, from)
		e.process.Signal(syscall.SIGSTOP)
	}
	sleepUntil(ctx, from.Add(f.Duration/4))
	if f.Target%4 < 3 { // else the connections stay open
		for _, e := range stalled {
			e.proxy.SetFault(NetFaultReset)
			e.proxy.SetFault(NetFaultNone)
		}
	}
	sleepUntil(ctx, from.Add(f.Duration))
	for _, e := range stalled {
		e.process.Signal(syscall.SIGCONT)
		r.putBack(ctx, e)
	}
}

// removeForStall removes the endpoints of a stall from the serving ones and returns them.
func (r *run) removeForStall(target int) []*endpointProc {
	first := r.removeEndpoint(target)
	if first == nil {
		return nil
	}
	stalled := []*endpointProc{first}
	if target%2 == 0 {
		return stalled
	}
	for {
		r.mu.Lock()
		i := slices.IndexFunc(r.endpoints, func(e *endpointProc) bool {
			return e.endpoint.FailureDomain == first.endpoint.FailureDomain && e.endpoint.Service == first.endpoint.Service
		})
		r.mu.Unlock()
		if i < 0 {
			return stalled
		}
		e := r.removeEndpoint(i)
		if e == nil {
			return stalled
		}
		stalled = append(stalled, e)
	}
}

// lingerOf returns for how long the streams of the endpoint that was started as the given one run on.
func lingerOf(seed uint64, started int) time.Duration {
	if HasStalls(seed) && started%lingeringShare == 0 {
		return lingerTime
	}
	return 0
}

// overlaps checks that no stream went on at another endpoint while it still ran at the one before. A
// run whose endpoint was killed has no end.
func (c *checker) overlaps() {
	for _, call := range c.observed.Calls {
		runs := c.runs[call.ID]
		if !call.Stream || len(runs) < 2 {
			continue
		}
		runs = slices.SortedFunc(slices.Values(runs), func(a, b Execution) int { return a.Begin.Compare(b.Begin) })
		for i, next := range runs[1:] {
			before := runs[i]
			if overlap := before.End.Sub(next.Begin); !before.End.IsZero() && overlap > maxOverlap {
				c.add(PromiseOneRun, call.ID, "it ran at %s for %s after it had gone on at %s", before.Endpoint, overlap, next.Endpoint)
			}
		}
	}
}
