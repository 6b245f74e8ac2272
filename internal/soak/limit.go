package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

// LimitingOf says whether in a seed endpoints name limits: every second two thousand of seeds,
// half of them with evacuations as well.
func LimitingOf(seed uint64) bool { return seed/2000%2 == 1 }

const (
	// meanLimitGap is the mean time between two endpoints that begin to name a limit, which
	// thereby overlap; they do so for shortestLimit to longestLimit.
	meanLimitGap  = 1500 * time.Millisecond
	shortestLimit = 5 * time.Second
	longestLimit  = 12 * time.Second
)

// soakLimits are what endpoints name, in requests a second: less than one, and none at all.
var soakLimits = []float64{0, 0.4, 1, 2}

// limiting has random numbers of its own, as growth.
func limiting(seed uint64, end time.Duration) []Fault {
	rnd := rand.New(rand.NewPCG(seed, 4))
	var plan []Fault
	for at := calmStart; at < end; at += time.Duration(rnd.ExpFloat64() * float64(meanLimitGap)) {
		f := Fault{At: at, Kind: EndpointLimit, Target: rnd.IntN(1 << 16), For: shortestLimit + upTo(rnd, longestLimit-shortestLimit)}
		f.For = min(f.For, end-at)
		plan = append(plan, f)
	}
	return plan
}

// Limited is a time for which an endpoint names a limit.
type Limited struct {
	Span
	PerSecond float64
}

// limitEndpoint has an endpoint name a limit for a while, unless it names one already.
func (r *run) limitEndpoint(ctx context.Context, f Fault) {
	r.mu.Lock()
	if len(r.endpoints) == 0 {
		r.mu.Unlock()
		return
	}
	e := r.endpoints[f.Target%len(r.endpoints)]
	name, address := e.endpoint.Name, e.listens
	known := r.seen.Limited[name]
	if n := len(known); n > 0 && known[n-1].To == openEnd {
		r.mu.Unlock()
		return
	}
	perSecond := soakLimits[f.Target/len(r.endpoints)%len(soakLimits)]
	r.seen.Limited[name] = append(known, Limited{Span: Span{From: time.Now(), To: openEnd}, PerSecond: perSecond})
	r.mu.Unlock()
	// One that is gone or stands still names nothing.
	if err := r.wire.NameLimit(ctx, address, perSecond); err != nil {
		fmt.Fprintln(r.opts.Progress, "endpoint", name, "names no limit:", err)
	} else {
		sleepUntil(ctx, time.Now().Add(f.For))
	}
	r.mu.Lock()
	r.endLimit(name)
	r.mu.Unlock()
	if err := r.wire.NameLimit(ctx, address, -1); err != nil {
		fmt.Fprintln(r.opts.Progress, "endpoint", name, "goes on naming a limit:", err)
	}
}

// endLimit notes that an endpoint names no limit from now on; another process under its name
// doesn't. r.mu is held.
func (r *run) endLimit(name string) {
	limited := r.seen.Limited[name]
	if n := len(limited); n > 0 && limited[n-1].To == openEnd {
		limited[n-1].To = time.Now()
	}
}

// limits counts what endpoints got in each window in which they named a limit, from routers
// and at endpoints that weren't harmed.
func (c *checker) limits() {
	calls := make(map[string]Call, len(c.seen.Calls))
	for _, call := range c.seen.Calls {
		calls[call.ID] = call
	}
	runs := make(map[string][]Execution)
	for _, r := range c.seen.Runs {
		if call, known := calls[r.ID]; known && c.inTouch(call, r) {
			runs[r.Endpoint] = append(runs[r.Endpoint], r)
		}
	}
	for endpoint, limited := range c.seen.Limited {
		for _, l := range limited {
			span := Span{From: l.From.Add(c.bounds.LimitWithin), To: l.To}
			most := int(c.bounds.LimitExcess*l.PerSecond*c.bounds.LimitWindow.Seconds()) + c.bounds.LimitSlack
			if in := busiest(runs[endpoint], span, c.bounds.LimitWindow); len(in) > most {
				c.add(PromiseLimit, "", "%s began %d requests in %s while it named a limit of %g a second, over %d: %s",
					endpoint, len(in), c.bounds.LimitWindow, l.PerSecond, most, beginsOf(in))
			}
		}
	}
}
