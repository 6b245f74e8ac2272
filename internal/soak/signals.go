package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// HasSignals reports whether endpoints ask routers to back off, and leave by their answers alone,
// in the runs of a seed: every second block of 8000 seeds.
func HasSignals(seed uint64) bool { return seed/8000%2 == 1 }

// Signals is what an endpoint says of itself in its answers.
type Signals struct {
	Leaving bool `json:"leaving"`
	// Backoff is for how long each router is to send nothing; 0 serves requests.
	Backoff time.Duration `json:"backoff"`
}

const (
	// meanSignalGap is the mean time between two endpoints that begin to say something. They say
	// it for shortestSignal to longestSignal, so that these times overlap.
	meanSignalGap  = 1500 * time.Millisecond
	shortestSignal = 3 * time.Second
	longestSignal  = 8 * time.Second
)

// backoffsAsked are the times for which endpoints ask routers to back off.
var backoffsAsked = []time.Duration{700 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second}

// signals uses its own random source, like growth.
func signals(seed uint64, end time.Duration) []Fault {
	rnd := rand.New(rand.NewPCG(seed, 6))
	var plan []Fault
	for at := faultFreeStart; at < end; at += time.Duration(rnd.ExpFloat64() * float64(meanSignalGap)) {
		f := Fault{At: at, Kind: EndpointBackoff, Target: rnd.IntN(1 << 16), Duration: shortestSignal + randomDuration(rnd, longestSignal-shortestSignal)}
		if rnd.IntN(3) == 0 {
			f.Kind = EndpointLeaves
		}
		f.Duration = min(f.Duration, end-at)
		plan = append(plan, f)
	}
	return plan
}

// TurnedAway is a request that an endpoint answered with a request to back off.
type TurnedAway struct {
	ID, Endpoint string
	At           time.Time
	For          time.Duration
}

// LeavingAnswer is an answer in which an endpoint said that it leaves.
type LeavingAnswer struct {
	ID, Endpoint string
	At           time.Time
}

// backOff has an endpoint, or sometimes all of its service, turn all requests away for a while and
// ask each router to back off.
func (r *run) backOff(ctx context.Context, f Fault) {
	asked := backoffsAsked[f.Target%len(backoffsAsked)]
	from := time.Now()
	saying := r.pickFailing(f.Target)
	for _, e := range saying {
		r.say(ctx, e, func(s *Signals) { s.Backoff = asked })
	}
	sleepUntil(ctx, from.Add(f.Duration))
	for _, e := range saying {
		r.say(ctx, e, func(s *Signals) { s.Backoff = 0 })
	}
}

// leaveByAnswers has an endpoint say in its answers that it leaves, while its entry in the list
// stays as it is, is written again as ready, or is gone for a while. It then ends and is replaced.
func (r *run) leaveByAnswers(ctx context.Context, f Fault) {
	e := r.removeEndpoint(f.Target)
	if e == nil {
		return
	}
	from := time.Now()
	r.say(ctx, e, func(s *Signals) { s.Leaving = true })
	end := from.Add(f.Duration)
	for time.Now().Before(end) && sleepUntil(ctx, time.Now().Add(heartbeat)) {
		switch f.Target % 3 {
		case 1:
			r.wire.List(e.endpoint)
		case 2:
			r.wire.Unlist(e.endpoint.Name)
			sleepUntil(ctx, time.Now().Add(heartbeat))
			r.wire.List(e.endpoint)
		}
	}
	r.wire.Unlist(e.endpoint.Name)
	r.endAsPlanned(e)
	r.replace(ctx, e)
}

// say changes what an endpoint says; what overlapping faults have it say stays. It fails if the
// endpoint has ended or is paused.
func (r *run) say(ctx context.Context, e *endpointProc, change func(*Signals)) {
	r.mu.Lock()
	change(&e.signals)
	s := e.signals
	r.mu.Unlock()
	if err := r.wire.Say(ctx, e.listenAddr, s); err != nil {
		fmt.Fprintln(r.opts.Progress, "endpoint", e.endpoint.Name, "can't set its signals:", err)
	}
}

// callsByID returns the observed requests by their IDs.
func (c *checker) callsByID() map[string]Call {
	calls := make(map[string]Call, len(c.observed.Calls))
	for _, call := range c.observed.Calls {
		calls[call.ID] = call
	}
	return calls
}

// arrivalKey is an endpoint and the router that sent it a request.
type arrivalKey struct {
	endpoint string
	router   int
}

// arrivals returns the times of all requests at endpoints, run or turned away, by endpoint and
// router.
func (c *checker) arrivals(calls map[string]Call) map[arrivalKey][]time.Time {
	all := make(map[arrivalKey][]time.Time)
	add := func(id, endpoint string, at time.Time) {
		if call, known := calls[id]; known {
			key := arrivalKey{endpoint, call.Router}
			all[key] = append(all[key], at)
		}
	}
	for _, r := range c.observed.Executions {
		add(r.ID, r.Endpoint, r.Begin)
	}
	for _, t := range c.observed.TurnedAway {
		add(t.ID, t.Endpoint, t.At)
	}
	return all
}

// backoffs checks that endpoints got next to nothing from a router that they had asked to back off.
func (c *checker) backoffs() {
	calls := c.callsByID()
	arrivals := c.arrivals(calls)
	for _, t := range c.observed.TurnedAway {
		call, known := calls[t.ID]
		asked := Span{From: t.At, To: t.At.Add(t.For)}
		if !known || c.routerHadFault(call.Router, asked) || touchesAny(c.observed.EndpointFaults[t.Endpoint], asked) {
			continue
		}
		n := 0
		for _, at := range arrivals[arrivalKey{t.Endpoint, call.Router}] {
			if at.After(asked.From.Add(c.bounds.BackoffWithin)) && at.Before(asked.To) {
				n++
			}
		}
		if n > c.bounds.BackoffExcess {
			c.add(PromiseBackoff, t.ID, "%s asked router %d for a backoff of %s at %s and got %d requests from it", t.Endpoint, call.Router, t.For, t.At.Format(timeFormat), n)
		}
	}
}

// leavingAnswers checks that a router sends nothing new to an endpoint that said in an answer to
// that router that it leaves. Only a restart or a pause of the router is an excuse: the list may be
// unavailable or wrong.
func (c *checker) leavingAnswers() {
	if c.bounds.Drain == 0 {
		return
	}
	calls := c.callsByID()
	saidAt := make(map[arrivalKey]time.Time)
	for _, l := range c.observed.LeavingAnswers {
		call, known := calls[l.ID]
		if !known || call.Status == 0 {
			continue // the answer was not passed on
		}
		key := arrivalKey{l.Endpoint, call.Router}
		at := maxTime(l.At, call.End)
		if first, said := saidAt[key]; !said || at.Before(first) {
			saidAt[key] = at
		}
	}
	for _, r := range c.observed.Executions {
		call, known := calls[r.ID]
		at, said := saidAt[arrivalKey{r.Endpoint, call.Router}]
		if !known || !said || call.Sent.Sub(at) <= c.bounds.Drain+c.bounds.Slack {
			continue
		}
		if !touchesAny(c.observed.Down[call.Router], Span{From: at, To: r.Begin}) {
			c.add(PromiseDrain, r.ID, "it was sent %s after %s had told router %d that it leaves, and ran there", call.Sent.Sub(at), r.Endpoint, call.Router)
		}
	}
}

// routerHadFault reports whether a router had a fault or a planned stop in a span.
func (c *checker) routerHadFault(router int, span Span) bool {
	return touchesAny(c.observed.RouterFaults[router], span) || touchesAny(c.observed.Stops[router], span)
}

func touchesAny(spans []Span, span Span) bool {
	return slices.ContainsFunc(spans, func(s Span) bool { return s.touches(span.From, span.To) })
}
