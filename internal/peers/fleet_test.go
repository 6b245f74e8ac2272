package peers

import (
	"cmp"
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"coveferry/internal/bundle"
	"coveferry/internal/clock"
	"coveferry/internal/control"
	"coveferry/internal/directory"
	"coveferry/internal/follow"
	"coveferry/internal/identity"
	"coveferry/internal/memnet"
	"coveferry/internal/route"
)

var peerOfTests = identity.Peer{Role: identity.RoleRouter}

var errAway = errors.New("away")

// store is the source behind all routers. It counts calls and turns some away.
type store struct {
	mu      sync.Mutex
	version uint64
	calls   int
	reads   int // of everything
	away    map[string]bool
	silent  map[string]bool // these get no answer at all
	second  bool            // a second endpoint is listed
	// evacuated are the failure domains that are to get nothing.
	evacuated []string
}

func (s *store) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// view is the store as one router reaches it.
type view struct {
	*store
	vm string
}

func (v view) call(ctx context.Context) (uint64, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.calls++
	if v.silent[v.vm] {
		v.mu.Unlock()
		<-ctx.Done()
		v.mu.Lock()
		return 0, ctx.Err()
	}
	if v.away[v.vm] {
		return 0, errAway
	}
	return v.version, nil
}

func (v view) now() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.version
}

func (v view) reading(version uint64) follow.Reading {
	entries := []directory.Entry{{Endpoint: bundle.Endpoint{Name: "e", Address: "a", Services: []string{"s"}}}}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.second {
		entries = append(entries, directory.Entry{Endpoint: bundle.Endpoint{Name: "x", Address: "b", Services: []string{"s"}}})
	}
	return follow.Reading{
		Config: &route.Config{Version: version},
		List: directory.Reading{
			Whole: true, Entries: entries, Revision: version,
			Evacuations: directory.Evacuations{Whole: true, Ordered: v.evacuated},
		},
	}
}

func (v view) Read(ctx context.Context, _ bool) (follow.Reading, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	v.mu.Lock()
	v.reads++
	v.mu.Unlock()
	version, err := v.call(ctx)
	return v.reading(version), err
}

func (v view) Await(ctx context.Context, after uint64, wait time.Duration) (follow.Reading, error) {
	version, err := v.call(ctx)
	if err != nil {
		return follow.Reading{}, err
	}
	if version > after {
		return v.reading(version), nil
	}
	for until := time.Now().Add(wait); time.Now().Before(until); {
		if !clock.Sleep(ctx, min(10*time.Millisecond, time.Until(until))) {
			return follow.Reading{}, ctx.Err()
		}
		if now := v.now(); now > after {
			return v.answer(ctx, v.reading(now))
		}
	}
	return v.answer(ctx, follow.Reading{List: directory.Reading{Revision: after}})
}

// answer is what a call that has waited gets: nothing where the store has fallen silent
// to the router meanwhile.
func (v view) answer(ctx context.Context, r follow.Reading) (follow.Reading, error) {
	v.mu.Lock()
	silent := v.silent[v.vm]
	v.mu.Unlock()
	if silent {
		<-ctx.Done()
		return follow.Reading{}, ctx.Err()
	}
	return r, nil
}

func (v view) CatchUp(ctx context.Context, after uint64) (follow.Reading, error) {
	return v.Await(ctx, after, follow.AtOnce)
}

// readTimeout bounds a single read, as in the daemon.
const readTimeout = 600 * time.Millisecond

// node is a router as far as reading goes.
type node struct {
	vm       string
	source   *Source
	follower *follow.Follower
	stop     context.CancelFunc
	server   *control.Server
	pool     *control.Pool
}

// fleet is routers in two failure domains that share a store.
type fleet struct {
	net   *memnet.Net
	store *store
	nodes []*node
	seeds []string
	// shape of the fleet
	domains int     // failure domains; 0 is 2
	mbps    float64 // of each router's link; 0 isn't known
}

// maxAge is above two waits, as in the daemon: knowledge gets that old in calm times.
const (
	maxAge = 2350 * time.Millisecond
	outage = 2800 * time.Millisecond
)

func play(t *testing.T, routers int, do func(g *WithT, f *fleet)) {
	t.Helper()
	playShape(t, routers, 2, 0, do)
}

// playShape is the same in so many failure domains with links of mbps.
func playShape(t *testing.T, routers, domains int, mbps float64, do func(g *WithT, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := &fleet{net: memnet.New(), store: &store{version: 1, away: make(map[string]bool)}, domains: domains, mbps: mbps}
		for i := range min(3, routers) {
			f.seeds = append(f.seeds, address(i))
		}
		for i := range routers {
			f.start(g, i)
		}
		defer f.end()
		time.Sleep(6 * time.Second)
		do(g, f)
	})
}

func address(i int) string { return fmt.Sprintf("10.0.%d.%d:1", i/250, i%250) }

func (f *fleet) start(g *WithT, i int) {
	vm := fmt.Sprint("vm", i)
	l, err := f.net.Listen(address(i))
	g.Expect(err).NotTo(HaveOccurred())
	n := &node{vm: vm}
	n.pool = control.NewPool(control.ClientConfig{Dial: f.net.Dialer(vm)}, 0)
	n.source = New(Config{
		Self: Member{VM: vm, FailureDomain: fmt.Sprint("domain", i%cmp.Or(f.domains, 2)), Address: address(i), LinkMbps: f.mbps}, Seeds: f.seeds,
		Source: view{f.store, vm}, Pool: n.pool, Every: 250 * time.Millisecond, MaxAge: maxAge, Outage: outage, Clock: time.Now, Log: zerolog.Nop(),
	})
	n.server = control.NewServer(control.ServerConfig{Listener: l})
	n.source.Register(n.server)
	n.follower = follow.New(follow.Config{
		Source: n.source, Log: zerolog.Nop(), Clock: time.Now,
		Timing: follow.Timing{
			Wait: time.Second, Slack: 400 * time.Millisecond, Pace: 200 * time.Millisecond,
			Outage: outage, Return: 2500 * time.Millisecond,
		},
		OnDirectory: func(*directory.Directory) {},
	})
	n.source.Tell(n.follower)
	var ctx context.Context
	ctx, n.stop = context.WithCancel(context.Background())
	go func() { _ = n.server.Run() }()
	go n.source.Run(ctx)
	go n.follower.Run(ctx)
	f.nodes = append(f.nodes, n)
}

func (n *node) end() {
	if n.stop == nil {
		return
	}
	n.stop()
	n.stop = nil
	n.pool.Close()
	_ = n.server.Stop()
}

func (f *fleet) readers() []*node {
	var readers []*node
	for _, n := range f.nodes {
		if n.stop != nil && n.source.members.isReader(time.Now()) {
			readers = append(readers, n)
		}
	}
	return readers
}

func (f *fleet) set(version uint64) {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	f.store.version = version
}

// change sets a version, with or without a second endpoint.
func (f *fleet) change(version uint64, second bool) {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	f.store.version, f.store.second = version, second
}

func (f *fleet) turnAway(vms ...string) {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	for _, vm := range vms {
		f.store.away[vm] = true
	}
}

// silence has the store answer some routers nothing; none ends that.
func (f *fleet) silence(vms ...string) {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	f.store.silent = make(map[string]bool)
	for _, vm := range vms {
		f.store.silent[vm] = true
	}
}

// inForce counts the routers that run by a version.
func (f *fleet) inForce(version uint64) int {
	count := 0
	for _, n := range f.nodes {
		if n.stop != nil && n.follower.Table() != nil && n.follower.Table().Version() == version {
			count++
		}
	}
	return count
}
