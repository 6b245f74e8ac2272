package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

// HasRateLimits reports whether endpoints state rate limits in the runs of a seed: every second
// block of 2000 seeds, half of them with evacuations as well.
func HasRateLimits(seed uint64) bool { return seed/2000%2 == 1 }

const (
	// meanLimitGap is the mean time between two endpoints that begin to state a limit. They
	// state it for shortestLimit to longestLimit, so that these times overlap.
	meanLimitGap  = 1500 * time.Millisecond
	shortestLimit = 5 * time.Second
	longestLimit  = 12 * time.Second
)

// statedLimits are the limits that endpoints state, in requests per second, including 0 and
// less than one.
var statedLimits = []float64{0, 0.4, 1, 2}

// rateLimits uses its own random source, like growth.
func rateLimits(seed uint64, end time.Duration) []Fault {
	rnd := rand.New(rand.NewPCG(seed, 4))
	var plan []Fault
	for at := faultFreeStart; at < end; at += time.Duration(rnd.ExpFloat64() * float64(meanLimitGap)) {
		f := Fault{At: at, Kind: EndpointLimit, Target: rnd.IntN(1 << 16), Duration: shortestLimit + randomDuration(rnd, longestLimit-shortestLimit)}
		f.Duration = min(f.Duration, end-at)
		plan = append(plan, f)
	}
	return plan
}

// LimitSpan is a time span in which an endpoint states a rate limit.
type LimitSpan struct {
	Span
	PerSecond float64
}

// limitEndpoint has an endpoint state a rate limit for a while, unless it already does.
func (r *run) limitEndpoint(ctx context.Context, f Fault) {
	r.mu.Lock()
	if len(r.endpoints) == 0 {
		r.mu.Unlock()
		return
	}
	e := r.endpoints[f.Target%len(r.endpoints)]
	name, address := e.endpoint.Name, e.listenAddr
	known := r.observed.RateLimited[name]
	if n := len(known); n > 0 && known[n-1].To == openEnd {
		r.mu.Unlock()
		return
	}
	perSecond := statedLimits[f.Target/len(r.endpoints)%len(statedLimits)]
	r.observed.RateLimited[name] = append(known, LimitSpan{Span: Span{From: time.Now(), To: openEnd}, PerSecond: perSecond})
	r.mu.Unlock()
	// An endpoint that has ended or is paused states no limit.
	if err := r.wire.SetLimit(ctx, address, perSecond); err != nil {
		fmt.Fprintln(r.opts.Progress, "endpoint", name, "can't set its rate limit:", err)
	} else {
		sleepUntil(ctx, time.Now().Add(f.Duration))
	}
	r.mu.Lock()
	r.endLimit(name)
	r.mu.Unlock()
	if err := r.wire.SetLimit(ctx, address, -1); err != nil {
		fmt.Fprintln(r.opts.Progress, "endpoint", name, "can't clear its rate limit:", err)
	}
}

// endLimit records that an endpoint states no limit from now on, also when another process
// starts under its name. The caller must hold r.mu.
func (r *run) endLimit(name string) {
	limited := r.observed.RateLimited[name]
	if n := len(limited); n > 0 && limited[n-1].To == openEnd {
		limited[n-1].To = time.Now()
	}
}

// limits checks the number of requests that endpoints got in each window in which they stated
// a rate limit. It ignores requests whose router or endpoint had a fault, see undisturbed.
func (c *checker) limits() {
	calls := c.callsByID()
	runs := make(map[string][]Execution)
	for _, r := range c.observed.Executions {
		if call, known := calls[r.ID]; known && c.undisturbed(call, r) {
			runs[r.Endpoint] = append(runs[r.Endpoint], r)
		}
	}
	for endpoint, limited := range c.observed.RateLimited {
		for _, l := range limited {
			span := Span{From: l.From.Add(c.bounds.LimitWithin), To: l.To}
			allowed := int(c.bounds.LimitExcess*l.PerSecond*c.bounds.LimitWindow.Seconds()) + c.bounds.LimitSlack
			if in := busiestWindow(runs[endpoint], span, c.bounds.LimitWindow); len(in) > allowed {
				c.add(PromiseLimit, "", "%s began %d requests in %s while it stated a limit of %g a second, over %d: %s",
					endpoint, len(in), c.bounds.LimitWindow, l.PerSecond, allowed, formatStarts(in))
			}
		}
	}
}
