package soak

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

type routerProc struct {
	router     Router
	number     int
	settings   string
	storeProxy *Proxy // between the router and the store
	starting   sync.Mutex
	mu         sync.Mutex
	process    *Process
}

type endpointProc struct {
	endpoint Endpoint
	// listenAddr is the address of its process, the target of the proxy.
	listenAddr string
	proxy      *Proxy
	process    *Process
	signals    Signals // guarded by the run's mutex
}

func (r *run) start(ctx context.Context) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "soak: listen for the store")
	}
	r.store = l.Addr().String()
	srv := &http.Server{Handler: r.wire.Store()}
	go func() { _ = srv.Serve(l) }() // ends when the server is closed
	context.AfterFunc(ctx, func() { _ = srv.Close() })
	r.publish()
	for _, service := range []string{"model", "plain"} {
		for i := range r.opts.Endpoints {
			if err := r.startEndpoint(ctx, service, domainOf(i)); err != nil {
				return err
			}
		}
	}
	return r.startRouters(ctx)
}

// domainCount is the number of failure domains of routers and endpoints.
const domainCount = 2

func domainOf(i int) string { return fmt.Sprintf("domain-%d", i%domainCount) }

func allDomains() []string {
	var all []string
	for i := range domainCount {
		all = append(all, domainOf(i))
	}
	return all
}

func (r *run) publish() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version++
	routes := slices.Clone(r.routes)
	for _, a := range r.addedRoutes {
		routes = append(routes, a.route)
	}
	r.wire.Publish(Config{Version: r.version, Routes: routes, UnusedRoutes: r.unusedRoutes, Timeout: r.timeout, ColdRate: r.configuredColdRate(), Copies: HasStalls(r.opts.Seed), Keys: r.keys.teams()})
}

func (r *run) startRouters(ctx context.Context) error {
	const portsPerRouter = 3
	free, err := r.ports.free(portsPerRouter * r.opts.Routers)
	if err != nil {
		return err
	}
	// The first three routers at most are the seeds.
	var seeds []string
	for i := range min(portsPerRouter, r.opts.Routers) {
		seeds = append(seeds, free[portsPerRouter*i+2])
	}
	for i := range r.opts.Routers {
		proxy, err := NewProxy(r.store)
		if err != nil {
			return err
		}
		if HasNarrowLinks(r.opts.Seed) {
			proxy.LimitBandwidth(narrowMbps)
		}
		go proxy.Run(ctx)
		p := &routerProc{number: i, storeProxy: proxy, settings: filepath.Join(r.opts.Dir, fmt.Sprintf("router-%d.conf", i))}
		p.router = Router{
			Name: fmt.Sprintf("router-%d", i), FailureDomain: domainOf(i), FailureDomains: allDomains(),
			CallerAddr: free[portsPerRouter*i], ReadyAddr: free[portsPerRouter*i+1], ControlAddr: free[portsPerRouter*i+2],
			StoreAddr: proxy.Address(), Bounds: BoundsOf(r.opts.Seed), StopWithin: stopWithin,
		}
		p.router.Seeds = r.seedsOf(i, p.router.ControlAddr, seeds)
		if HasNarrowLinks(r.opts.Seed) {
			p.router.LinkMbps = narrowMbps
		}
		r.routers = append(r.routers, p)
		if err := r.startRouter(p); err != nil {
			return err
		}
	}
	return r.awaitRouters()
}

// awaitRouters waits until all routers accept connections.
func (r *run) awaitRouters() error {
	until := time.Now().Add(startTimeout)
	for _, p := range r.routers {
		for {
			conn, err := net.Dial("tcp", p.router.CallerAddr)
			if err == nil {
				_ = conn.Close()
				break
			}
			if time.Now().After(until) {
				return errors.Wrapf(err, "soak: %s isn't up", p.router.Name)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return nil
}

// startRouter writes the router's settings and starts it. The caller must not hold p.mu.
func (r *run) startRouter(p *routerProc) error {
	if err := os.WriteFile(p.settings, []byte(r.wire.Settings(p.router)), 0o600); err != nil {
		return errors.Wrap(err, "soak: write settings")
	}
	env := []string{r.wire.SettingsVariable() + "=" + p.settings}
	process, err := StartProcess(p.router.Name, r.log, r.handleRouterLog, env, r.opts.Daemon, daemonArgs(r.opts.Seed)...)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.process = process
	p.mu.Unlock()
	r.mu.Lock()
	r.processes = append(r.processes, process)
	r.mu.Unlock()
	return nil
}

// startEndpoint starts an endpoint behind a proxy and adds it to the list.
func (r *run) startEndpoint(ctx context.Context, service, domain string) error {
	e, err := r.newEndpoint(ctx, service, domain, "")
	if err != nil {
		return err
	}
	r.serveWith(e)
	return nil
}

// newEndpoint starts an endpoint of a software version behind a proxy; an empty version stands for that of the
// next endpoint.
func (r *run) newEndpoint(ctx context.Context, service, domain, version string) (*endpointProc, error) {
	free, err := r.ports.free(1)
	if err != nil {
		return nil, err
	}
	proxy, err := NewProxy(free[0])
	if err != nil {
		return nil, err
	}
	go proxy.Run(ctx)
	e := &endpointProc{proxy: proxy, listenAddr: free[0], endpoint: Endpoint{
		Service: service, FailureDomain: domain, Address: proxy.Address(),
		ClosingShare: closingShareOf(r.opts.Seed), RepeatsRefusals: HasRenames(r.opts.Seed),
	}}
	r.nameEndpoint(e, version)
	return e, r.runEndpoint(ctx, e)
}

// nameEndpoint gives an endpoint the next name, and a software version.
func (r *run) nameEndpoint(e *endpointProc, version string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.started++
	e.endpoint.Name = fmt.Sprintf("i-%s-%03d", e.endpoint.Service, r.started)
	e.endpoint.Version = cmp.Or(version, r.versionOf(r.started))
	e.endpoint.Linger = lingerOf(r.opts.Seed, r.started)
	r.observed.Versions[e.endpoint.Name] = e.endpoint.Version
}

// serveWith adds an endpoint to those that serve, and to the list.
func (r *run) serveWith(e *endpointProc) {
	r.mu.Lock()
	r.endpoints = append(r.endpoints, e)
	r.mu.Unlock()
	r.wire.List(e.endpoint)
}

// runEndpoint starts an endpoint's process.
func (r *run) runEndpoint(ctx context.Context, e *endpointProc) error {
	e.endpoint.StartedAt = time.Now()
	r.recordStart(&e.endpoint)
	backend := e.endpoint
	backend.Address = e.listenAddr
	args := r.wire.EndpointArgs(backend, eventsOf(backend.Service), eventPause)
	process, err := StartProcess(backend.Name, r.log, func(line []byte) { r.handleRecord(ctx, e, backend, line) }, nil, r.opts.Tool, args...)
	if err != nil {
		return err
	}
	e.process = process
	r.mu.Lock()
	defer r.mu.Unlock()
	e.signals = Signals{} // of the process before
	r.processes = append(r.processes, process)
	return nil
}

func eventsOf(service string) int {
	if service == "model" {
		return streamEvents
	}
	return 0
}
