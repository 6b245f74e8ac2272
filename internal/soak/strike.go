package soak

import (
	"context"
	"fmt"
	"os"
	"syscall"
	"time"
)

// strike carries a fault out and returns when it has ended.
func (r *run) strike(ctx context.Context, f Fault) {
	router := r.routers[f.Target%len(r.routers)]
	switch f.Kind {
	case RouterKill:
		r.harmRouter(router, func() { r.endRouter(ctx, router, syscall.SIGKILL, f.For) })
	case RouterStop:
		r.stopRouter(ctx, router)
	case RouterPause:
		r.harmRouter(router, func() {
			defer r.down(router)()
			signalFor(ctx, router.current(), syscall.SIGSTOP, syscall.SIGCONT, f.For)
		})
	case RouterReload:
		r.reload(router)
	case StoreWay:
		r.harmRouter(router, func() { harmWay(ctx, router.way, f) })
	case StoreFault:
		r.harmAll(func() {
			r.wire.FailStore(f.Harm)
			sleepUntil(ctx, time.Now().Add(f.For))
			r.wire.FailStore(HarmNone)
		})
	case KeyRevoked:
		r.revoke()
	case Routes:
		r.mu.Lock()
		r.timeout = routeTimeout + time.Duration(f.Target%5)*time.Second
		r.mu.Unlock()
		r.publish()
	case ConfigGrow:
		r.grow(f.Target)
	case EndpointKill, EndpointPause, EndpointDrain, EndpointWay, EndpointRestart:
		r.strikeEndpoint(ctx, f)
	case ListEntry:
		r.writeStrange(ctx, f)
	case Evacuate:
		r.evacuate(ctx, f)
	case EndpointLimit:
		r.limitEndpoint(ctx, f)
	case EndpointFailing:
		r.failEndpoints(ctx, f)
	}
}

func (p *routerProc) current() *Process {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.process
}

// harmRouter notes the time that a harm of a router takes.
func (r *run) harmRouter(p *routerProc, harm func()) {
	from := time.Now()
	r.noteHarm(r.seen.Harmed, p.number, from)
	harm()
	r.endHarm(r.seen.Harmed, p.number, from)
}

func (r *run) harmAll(harm func()) {
	from := time.Now()
	for _, p := range r.routers {
		r.noteHarm(r.seen.Harmed, p.number, from)
	}
	harm()
	for _, p := range r.routers {
		r.endHarm(r.seen.Harmed, p.number, from)
	}
}

// openEnd is the end of a harm that hasn't ended.
var openEnd = time.Unix(1<<40, 0)

func (r *run) noteHarm(of map[int][]Span, router int, from time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	of[router] = append(of[router], Span{From: from, To: openEnd})
}

func (r *run) endHarm(of map[int][]Span, router int, from time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, s := range of[router] {
		if s.From.Equal(from) {
			of[router][i].To = time.Now()
		}
	}
}

// down notes that a router's process doesn't run until the function that it returns is called.
func (r *run) down(p *routerProc) (up func()) {
	from := time.Now()
	r.noteHarm(r.seen.Down, p.number, from)
	return func() { r.endHarm(r.seen.Down, p.number, from) }
}

// endRouter ends a router's process and starts it again after a while. Where two
// faults strike the same router, the second finds the process that runs then.
func (r *run) endRouter(ctx context.Context, p *routerProc, sig syscall.Signal, d time.Duration) {
	process := p.current()
	defer r.down(p)()
	process.Signal(sig)
	process.Signal(syscall.SIGCONT)
	if !process.WaitFor(stopWithin) {
		process.End()
	}
	sleepUntil(ctx, time.Now().Add(d))
	p.starting.Lock()
	defer p.starting.Unlock()
	if p.current() != process || ctx.Err() != nil {
		return // another fault has started it again
	}
	if err := r.startRouter(p); err != nil {
		fmt.Fprintln(r.opts.Progress, err)
	}
}

// stopRouter stops a router as planned. That is no harm until it has ended, and for
// a while after: its callers find it gone.
func (r *run) stopRouter(ctx context.Context, p *routerProc) {
	from := time.Now()
	r.noteHarm(r.seen.Stops, p.number, from)
	r.endRouter(ctx, p, syscall.SIGTERM, 0)
	r.endHarm(r.seen.Stops, p.number, from)
}

// reload changes the settings file in a way that changes nothing else.
func (r *run) reload(p *routerProc) {
	text := r.wire.Settings(p.router) + fmt.Sprintf("new-field=%d\n", time.Now().UnixNano())
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		fmt.Fprintln(r.opts.Progress, err)
		return
	}
	p.current().Signal(syscall.SIGHUP)
}

// revoke takes a key away. The moment is that from which the store has the change.
func (r *run) revoke() {
	if key := r.keys.drop(); key != "" {
		r.publish()
		now := time.Now()
		r.keys.noteRevoked(key, now)
		r.mu.Lock()
		r.seen.Revoked[key] = now
		r.mu.Unlock()
	}
}

// grow changes how many routes nobody asks for, and adds one that callers ask for. The
// moment is that from which the store has the change.
func (r *run) grow(target int) {
	r.mu.Lock()
	r.unused = target % (maxUnused + 1)
	prefix := fmt.Sprintf("/added-%d/", len(r.added))
	r.added = append(r.added, added{route: Route{Name: "added" + prefix, Service: "plain", Prefix: prefix, Repeatable: true}, at: time.Now()})
	r.mu.Unlock()
	r.publish()
}

func harmWay(ctx context.Context, way *Proxy, f Fault) {
	way.Set(f.Harm)
	sleepUntil(ctx, time.Now().Add(f.For))
	way.Set(HarmNone)
}

// strikeEndpoint harms an endpoint that serves. One of each service stays out of it.
func (r *run) strikeEndpoint(ctx context.Context, f Fault) {
	e := r.takeEndpoint(f.Target)
	if e == nil {
		return
	}
	name := e.endpoint.Name
	from := time.Now()
	if f.Kind != EndpointDrain {
		r.mu.Lock()
		r.seen.EndpointHarmed[name] = append(r.seen.EndpointHarmed[name], Span{From: from, To: openEnd})
		r.mu.Unlock()
	}
	switch f.Kind {
	case EndpointKill:
		e.process.End()
		sleepUntil(ctx, from.Add(lapse))
		r.wire.Unlist(name)
		r.replace(ctx, e)
		return
	case EndpointDrain:
		r.drain(ctx, e)
		r.replace(ctx, e)
		return
	case EndpointPause:
		r.pauseEndpoint(ctx, e, f.For)
	case EndpointRestart:
		if !r.restartEndpoint(ctx, e, f.For) {
			return
		}
	default:
		harmWay(ctx, e.way, f)
	}
	if e.process.ended() {
		r.wire.Unlist(name)
		r.replace(ctx, e)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	spans := r.seen.EndpointHarmed[name]
	spans[len(spans)-1].To = time.Now()
	r.endpoints = append(r.endpoints, e)
}

// takeEndpoint takes one out of those that serve; nil if its service would have
// fewer than two left.
func (r *run) takeEndpoint(target int) *endpointProc {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.endpoints) == 0 {
		return nil
	}
	i := target % len(r.endpoints)
	e := r.endpoints[i]
	left := 0
	for _, other := range r.endpoints {
		if other.endpoint.Service == e.endpoint.Service {
			left++
		}
	}
	if left <= 2 {
		return nil
	}
	r.endpoints = append(r.endpoints[:i:i], r.endpoints[i+1:]...)
	return e
}

func (r *run) replace(ctx context.Context, e *endpointProc) {
	if ctx.Err() != nil {
		return
	}
	if err := r.startEndpoint(ctx, e.endpoint.Service, e.endpoint.FailureDomain); err != nil {
		fmt.Fprintln(r.opts.Progress, err)
	}
}

// drain has an endpoint leave as planned: its entry says so, it serves on for a
// while, ends, and its entry goes.
func (r *run) drain(ctx context.Context, e *endpointProc) {
	leaving := e.endpoint
	leaving.Draining = true
	r.wire.List(leaving)
	r.mu.Lock()
	r.seen.Drained[leaving.Name] = time.Now()
	r.mu.Unlock()
	sleepUntil(ctx, time.Now().Add(drainFor))
	r.wire.Unlist(leaving.Name)
	e.process.Signal(syscall.SIGTERM)
	if !e.process.WaitFor(patience) {
		e.process.End()
	}
}

// pauseEndpoint stops an endpoint's process for a while. Its entry lapses if that
// is long, and is back when it wakes.
func (r *run) pauseEndpoint(ctx context.Context, e *endpointProc, d time.Duration) {
	e.process.Signal(syscall.SIGSTOP)
	sleepUntil(ctx, time.Now().Add(min(d, lapse)))
	if d > lapse {
		r.wire.Unlist(e.endpoint.Name)
		sleepUntil(ctx, time.Now().Add(d-lapse))
	}
	e.process.Signal(syscall.SIGCONT)
	if d > lapse {
		r.wire.List(e.endpoint)
	}
}

// restartEndpoint ends an endpoint's process and starts another with its name and address,
// before its entry lapses or after.
func (r *run) restartEndpoint(ctx context.Context, e *endpointProc, d time.Duration) bool {
	e.process.End()
	sleepUntil(ctx, time.Now().Add(min(d, lapse)))
	if d > lapse {
		r.wire.Unlist(e.endpoint.Name)
		sleepUntil(ctx, time.Now().Add(d-lapse))
	}
	if ctx.Err() != nil {
		return false
	}
	if err := r.runEndpoint(ctx, e); err != nil {
		fmt.Fprintln(r.opts.Progress, err)
		return false
	}
	r.wire.List(e.endpoint)
	return true
}

// heartbeat is how soon an endpoint writes its entry again that somebody else wrote over.
const heartbeat = time.Second

// writeStrange writes an entry that names no endpoint to use, half of them over that of an
// endpoint, which has no entry until it writes its own again.
func (r *run) writeStrange(ctx context.Context, f Fault) {
	if f.Target%2 == 0 {
		r.wire.ListStrange(fmt.Sprintf("i-strange-%d", f.Target%7), f.Target)
		return
	}
	e := r.takeEndpoint(f.Target / 2)
	if e == nil {
		return
	}
	r.wire.ListStrange(e.endpoint.Name, f.Target)
	sleepUntil(ctx, time.Now().Add(heartbeat))
	if e.process.ended() {
		r.wire.Unlist(e.endpoint.Name)
		r.replace(ctx, e)
		return
	}
	r.wire.List(e.endpoint)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endpoints = append(r.endpoints, e)
}
