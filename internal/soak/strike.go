package soak

import (
	"context"
	"fmt"
	"os"
	"syscall"
	"time"
)

// inject injects a fault and returns when it has ended.
func (r *run) inject(ctx context.Context, f Fault) {
	router := r.routers[f.Target%len(r.routers)]
	switch f.Kind {
	case RouterKill:
		r.killRouter(ctx, router, f.Duration)
	case RoutersKill:
		r.killRouters(ctx, f)
	case RouterStop:
		r.stopRouter(ctx, router)
	case RouterPause:
		r.recordRouterFault(router, func() {
			defer r.markDown(router)()
			signalFor(ctx, router.current(), syscall.SIGSTOP, syscall.SIGCONT, f.Duration)
		})
	case RouterReload:
		r.reload(router)
	case StoreConn:
		r.recordRouterFault(router, func() { injectProxyFault(ctx, router.storeProxy, f) })
	case StoreFault:
		r.recordAllRoutersFault(func() {
			r.wire.FailStore(f.NetFault)
			sleepUntil(ctx, time.Now().Add(f.Duration))
			r.wire.FailStore(NetFaultNone)
		})
	case StoreReturn:
		r.recordAllRoutersFault(func() { r.returnStore(ctx, f) })
	case KeyRevoked:
		r.revoke()
	case KeyMoved:
		r.moveKey()
	case RouteTimeouts:
		r.mu.Lock()
		r.timeout = routeTimeout + time.Duration(f.Target%5)*time.Second
		r.mu.Unlock()
		r.publish()
	case ConfigGrow:
		r.grow(f.Target)
	case EndpointKill, EndpointPause, EndpointDrain, EndpointConn, EndpointRestart:
		r.injectEndpointFault(ctx, f)
	case EndpointRename:
		r.renameEndpoint(ctx, f)
	case OddEntry:
		r.wire.ListOdd(fmt.Sprintf("i-odd-%d", f.Target%7), f.Target)
	case VersionJoins:
		r.joinVersion(ctx, f)
	case InvalidEntry:
		r.writeInvalidEntry(ctx, f)
	case Evacuate:
		r.evacuate(ctx, f)
	case EndpointLimit:
		r.limitEndpoint(ctx, f)
	case EndpointFailing:
		r.failEndpoints(ctx, f, failureModes)
	case EndpointEndless:
		r.failEndpoints(ctx, f, endlessModes)
	case EndpointDisorder:
		r.failEndpoints(ctx, f, disorderModes)
	case EndpointRefusing:
		r.failEndpoints(ctx, f, refusingModes)
	case EndpointsStall:
		r.stall(ctx, f)
	case EndpointBackoff:
		r.backOff(ctx, f)
	case EndpointLeaves:
		r.leaveByAnswers(ctx, f)
	}
}

func (p *routerProc) current() *Process {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.process
}

// recordRouterFault records the duration of a fault of a router.
func (r *run) recordRouterFault(p *routerProc, inject func()) {
	from := time.Now()
	r.beginSpan(r.observed.RouterFaults, p.number, from)
	inject()
	r.endSpan(r.observed.RouterFaults, p.number, from)
}

func (r *run) recordAllRoutersFault(inject func()) {
	from := time.Now()
	for _, p := range r.routers {
		r.beginSpan(r.observed.RouterFaults, p.number, from)
	}
	inject()
	for _, p := range r.routers {
		r.endSpan(r.observed.RouterFaults, p.number, from)
	}
}

// openEnd is the end of a span that hasn't ended yet.
var openEnd = time.Unix(1<<40, 0)

func (r *run) beginSpan(spans map[int][]Span, router int, from time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	spans[router] = append(spans[router], Span{From: from, To: openEnd})
}

func (r *run) endSpan(spans map[int][]Span, router int, from time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, s := range spans[router] {
		if s.From.Equal(from) {
			spans[router][i].To = time.Now()
		}
	}
}

// markDown records that a router's process is not running until up is called.
func (r *run) markDown(p *routerProc) (up func()) {
	from := time.Now()
	r.beginSpan(r.observed.Down, p.number, from)
	return func() { r.endSpan(r.observed.Down, p.number, from) }
}

// endRouter ends a router's process and restarts it after d. If two faults hit the
// same router, the second affects the process that runs at that time.
func (r *run) endRouter(ctx context.Context, p *routerProc, sig syscall.Signal, d time.Duration) {
	process := p.current()
	defer r.markDown(p)()
	process.Signal(sig)
	process.Signal(syscall.SIGCONT)
	if !process.WaitFor(stopWithin) {
		process.End()
	}
	sleepUntil(ctx, time.Now().Add(d))
	p.starting.Lock()
	defer p.starting.Unlock()
	if p.current() != process || ctx.Err() != nil {
		return // another fault has restarted it
	}
	if err := r.startRouter(p); err != nil {
		fmt.Fprintln(r.opts.Progress, err)
	}
}

// killRouter kills a router's process and restarts it after d.
func (r *run) killRouter(ctx context.Context, p *routerProc, d time.Duration) {
	r.recordRouterFault(p, func() { r.endRouter(ctx, p, syscall.SIGKILL, d) })
}

// stopRouter stops a router as planned. The stop is recorded in Stops and not as a
// fault, so that requests during it are still checked.
func (r *run) stopRouter(ctx context.Context, p *routerProc) {
	from := time.Now()
	r.beginSpan(r.observed.Stops, p.number, from)
	r.endRouter(ctx, p, syscall.SIGTERM, 0)
	r.endSpan(r.observed.Stops, p.number, from)
}

// reload rewrites the settings file with an unknown field, which must have no effect.
func (r *run) reload(p *routerProc) {
	text := r.wire.Settings(p.router) + fmt.Sprintf("new-field=%d\n", time.Now().UnixNano())
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		fmt.Fprintln(r.opts.Progress, err)
		return
	}
	p.current().Signal(syscall.SIGHUP)
}

// revoke revokes a key and records the time at which the store has the change.
func (r *run) revoke() {
	if key := r.keys.revoke(); key != "" {
		r.publish()
		now := time.Now()
		r.keys.recordRevoked(key, now)
		r.mu.Lock()
		r.observed.Revoked[key] = now
		r.mu.Unlock()
	}
}

// grow changes the number of unused routes and adds one route for callers. It records
// the time just before the store gets the change.
func (r *run) grow(target int) {
	r.mu.Lock()
	r.unusedRoutes = target % (maxUnused + 1)
	prefix := fmt.Sprintf("/added-%d/", len(r.addedRoutes))
	r.addedRoutes = append(r.addedRoutes, addedRoute{route: Route{Name: "added" + prefix, Service: "plain", Prefix: prefix, Repeatable: true}, at: time.Now()})
	r.mu.Unlock()
	r.publish()
}

func injectProxyFault(ctx context.Context, proxy *Proxy, f Fault) {
	proxy.SetFault(f.NetFault)
	sleepUntil(ctx, time.Now().Add(f.Duration))
	proxy.SetFault(NetFaultNone)
}

// injectEndpointFault injects a fault into a serving endpoint. At least two endpoints of each
// service are left without faults.
func (r *run) injectEndpointFault(ctx context.Context, f Fault) {
	e := r.removeEndpoint(f.Target)
	if e == nil {
		return
	}
	name := e.endpoint.Name
	from := time.Now()
	if f.Kind != EndpointDrain {
		r.beginEndpointFault(e, from)
	}
	switch f.Kind {
	case EndpointKill:
		e.process.End()
		sleepUntil(ctx, from.Add(listTimeout))
		r.wire.Unlist(name)
		r.replace(ctx, e)
		return
	case EndpointDrain:
		r.drain(ctx, e)
		r.replace(ctx, e)
		return
	case EndpointPause:
		r.pauseEndpoint(ctx, e, f.Duration)
	case EndpointRestart:
		if !r.restartEndpoint(ctx, e, f.Duration) {
			return
		}
	default:
		injectProxyFault(ctx, e.proxy, f)
	}
	r.putBack(ctx, e)
}

// beginEndpointFault records that a fault of an endpoint has begun.
func (r *run) beginEndpointFault(e *endpointProc, from time.Time) {
	name := e.endpoint.Name
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observed.EndpointFaults[name] = append(r.observed.EndpointFaults[name], Span{From: from, To: openEnd})
}

// putBack ends an endpoint's fault and has it serve again, or replaces it if it has ended meanwhile.
func (r *run) putBack(ctx context.Context, e *endpointProc) {
	name := e.endpoint.Name
	if e.process.ended() {
		r.wire.Unlist(name)
		r.replace(ctx, e)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	spans := r.observed.EndpointFaults[name]
	spans[len(spans)-1].To = time.Now()
	r.endpoints = append(r.endpoints, e)
}

// removeEndpoint removes an endpoint from the serving ones and returns it; nil if its
// service has only two left.
func (r *run) removeEndpoint(target int) *endpointProc {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.endpoints) == 0 {
		return nil
	}
	i := target % len(r.endpoints)
	e := r.endpoints[i]
	serving := 0
	for _, other := range r.endpoints {
		if other.endpoint.Service == e.endpoint.Service {
			serving++
		}
	}
	if serving <= 2 {
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

// drain stops an endpoint as planned: its entry is marked as draining, it keeps serving
// for drainDuration, and then its entry is deleted and its process stopped.
func (r *run) drain(ctx context.Context, e *endpointProc) {
	leaving := e.endpoint
	leaving.Draining = true
	r.wire.List(leaving)
	r.mu.Lock()
	r.observed.Drained[leaving.Name] = time.Now()
	r.mu.Unlock()
	sleepUntil(ctx, time.Now().Add(drainDuration))
	r.wire.Unlist(leaving.Name)
	r.endAsPlanned(e)
}

// endAsPlanned stops an endpoint's process after its last request.
func (r *run) endAsPlanned(e *endpointProc) {
	e.process.Signal(syscall.SIGTERM)
	if !e.process.WaitFor(callerTimeout) {
		e.process.End()
	}
}

// pauseEndpoint pauses an endpoint's process for d. If d exceeds listTimeout, its entry expires
// and is written again when the process resumes.
func (r *run) pauseEndpoint(ctx context.Context, e *endpointProc, d time.Duration) {
	e.process.Signal(syscall.SIGSTOP)
	sleepUntil(ctx, time.Now().Add(min(d, listTimeout)))
	if d > listTimeout {
		r.wire.Unlist(e.endpoint.Name)
		sleepUntil(ctx, time.Now().Add(d-listTimeout))
	}
	e.process.Signal(syscall.SIGCONT)
	if d > listTimeout {
		r.wire.List(e.endpoint)
	}
}

// restartEndpoint kills an endpoint's process and starts another one with the same name
// and address after d. If d exceeds listTimeout, its entry expires meanwhile.
func (r *run) restartEndpoint(ctx context.Context, e *endpointProc, d time.Duration) bool {
	e.process.End()
	sleepUntil(ctx, time.Now().Add(min(d, listTimeout)))
	if d > listTimeout {
		r.wire.Unlist(e.endpoint.Name)
		sleepUntil(ctx, time.Now().Add(d-listTimeout))
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

// heartbeat is the time after which an endpoint rewrites an overwritten entry.
const heartbeat = time.Second

// writeInvalidEntry writes an invalid entry. Half of them overwrite an endpoint's entry, which
// is missing until the endpoint writes it again.
func (r *run) writeInvalidEntry(ctx context.Context, f Fault) {
	if f.Target%2 == 0 {
		r.wire.ListInvalid(fmt.Sprintf("i-strange-%d", f.Target%7), f.Target)
		return
	}
	e := r.removeEndpoint(f.Target / 2)
	if e == nil {
		return
	}
	r.wire.ListInvalid(e.endpoint.Name, f.Target)
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
