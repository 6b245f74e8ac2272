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

var testPeer = identity.Peer{Role: identity.RoleRouter}

var errRefused = errors.New("refused by the origin")

// fakeOrigin is the origin of all routers. It counts calls and can refuse or ignore routers.
type fakeOrigin struct {
	mu             sync.Mutex
	version        uint64
	calls          int
	reads          int // full reads
	refused        map[string]bool
	unresponsive   map[string]bool // calls of these routers get no answer
	secondEndpoint bool            // lists a second endpoint
	// evacuated are the evacuated failure domains.
	evacuated []string
}

func (s *fakeOrigin) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// routerView is the origin as one router reaches it.
type routerView struct {
	*fakeOrigin
	vm string
}

func (v routerView) call(ctx context.Context) (uint64, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.calls++
	if v.unresponsive[v.vm] {
		v.mu.Unlock()
		<-ctx.Done()
		v.mu.Lock()
		return 0, ctx.Err()
	}
	if v.refused[v.vm] {
		return 0, errRefused
	}
	return v.version, nil
}

func (v routerView) currentVersion() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.version
}

func (v routerView) reading(version uint64) follow.Reading {
	entries := []directory.Entry{{Endpoint: bundle.Endpoint{Name: "e", Address: "a", Services: []string{"s"}}}}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.secondEndpoint {
		entries = append(entries, directory.Entry{Endpoint: bundle.Endpoint{Name: "x", Address: "b", Services: []string{"s"}}})
	}
	return follow.Reading{
		Config: &route.Config{Version: version},
		List: directory.Reading{
			Full: true, Entries: entries, Revision: directory.Revision{Number: version},
			Evacuations: directory.Evacuations{Full: true, Active: v.evacuated},
		},
	}
}

func (v routerView) Read(ctx context.Context, _ bool) (follow.Reading, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	v.mu.Lock()
	v.reads++
	v.mu.Unlock()
	version, err := v.call(ctx)
	return v.reading(version), err
}

func (v routerView) Await(ctx context.Context, after directory.Revision, wait time.Duration) (follow.Reading, error) {
	version, err := v.call(ctx)
	if err != nil {
		return follow.Reading{}, err
	}
	if version > after.Number {
		return v.reading(version), nil
	}
	for until := time.Now().Add(wait); time.Now().Before(until); {
		if !clock.Sleep(ctx, min(10*time.Millisecond, time.Until(until))) {
			return follow.Reading{}, ctx.Err()
		}
		if now := v.currentVersion(); now > after.Number {
			return v.reply(ctx, v.reading(now))
		}
	}
	return v.reply(ctx, follow.Reading{List: directory.Reading{Revision: after}})
}

// reply returns the answer of a call that has waited: none if the origin has become unresponsive
// to the router meanwhile.
func (v routerView) reply(ctx context.Context, r follow.Reading) (follow.Reading, error) {
	v.mu.Lock()
	unresponsive := v.unresponsive[v.vm]
	v.mu.Unlock()
	if unresponsive {
		<-ctx.Done()
		return follow.Reading{}, ctx.Err()
	}
	return r, nil
}

func (v routerView) CatchUp(ctx context.Context, after directory.Revision) (follow.Reading, error) {
	return v.Await(ctx, after, follow.MinWait)
}

// readTimeout bounds a single read, as in the daemon.
const readTimeout = 600 * time.Millisecond

// node is the part of a router that reads the configuration and the list.
type node struct {
	vm       string
	source   *Source
	follower *follow.Follower
	stop     context.CancelFunc
	server   *control.Server
	pool     *control.Pool
}

// fleet is a set of routers, by default in two failure domains, that share an origin.
type fleet struct {
	net    *memnet.Net
	origin *fakeOrigin
	nodes  []*node
	seeds  []string
	// Shape of the fleet.
	domains int     // number of failure domains; 0 means 2
	mbps    float64 // of each router's link; 0 means unknown
	// onConfigTime is how long a router takes to put a configuration in force.
	onConfigTime time.Duration
}

// maxAge is above two waits, as in the daemon: without changes the state gets that old.
const (
	maxAge = 2350 * time.Millisecond
	outage = 2800 * time.Millisecond
)

func runFleet(t *testing.T, routers int, test func(g *WithT, f *fleet)) {
	t.Helper()
	runFleetShape(t, routers, 2, 0, test)
}

// runFleetShape is runFleet with the given number of failure domains and links of mbps.
func runFleetShape(t *testing.T, routers, domains int, mbps float64, test func(g *WithT, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := &fleet{net: memnet.New(), origin: &fakeOrigin{version: 1, refused: make(map[string]bool)}, domains: domains, mbps: mbps}
		for i := range min(3, routers) {
			f.seeds = append(f.seeds, address(i))
		}
		for i := range routers {
			f.startNode(g, i)
		}
		defer f.stopAll()
		time.Sleep(6 * time.Second)
		test(g, f)
	})
}

func address(i int) string { return fmt.Sprintf("10.0.%d.%d:1", i/250, i%250) }

func (f *fleet) startNode(g *WithT, i int) {
	vm := fmt.Sprint("vm", i)
	l, err := f.net.Listen(address(i))
	g.Expect(err).NotTo(HaveOccurred())
	n := &node{vm: vm}
	n.pool = control.NewPool(control.ClientConfig{Dial: f.net.Dialer(vm)}, 0)
	n.source = New(Config{
		Self: Member{VM: vm, FailureDomain: fmt.Sprint("domain", i%cmp.Or(f.domains, 2)), Address: address(i), LinkMbps: f.mbps}, Seeds: f.seeds,
		Origin: routerView{f.origin, vm}, Pool: n.pool, PollInterval: 250 * time.Millisecond, MaxAge: maxAge, OutageThreshold: outage, Clock: time.Now, Log: zerolog.Nop(),
	})
	n.server = control.NewServer(control.ServerConfig{Listener: l})
	n.source.Register(n.server)
	n.follower = follow.New(follow.Config{
		Source: n.source, Log: zerolog.Nop(), Clock: time.Now,
		Timing: follow.Timing{
			Wait: time.Second, Slack: 400 * time.Millisecond, MinInterval: 200 * time.Millisecond,
			OutageThreshold: outage, EntryReturnTime: 2500 * time.Millisecond,
		},
		OnDirectory: func(*directory.Directory) {},
		OnConfig:    func(*route.Config) { time.Sleep(f.onConfigTime) },
	})
	n.source.SetState(n.follower)
	var ctx context.Context
	ctx, n.stop = context.WithCancel(context.Background())
	go func() { _ = n.server.Run() }()
	go n.source.Run(ctx)
	go n.follower.Run(ctx)
	f.nodes = append(f.nodes, n)
}

// age returns the age of the router's state. It has been confirmed before.
func (n *node) age() time.Duration {
	age, known := n.follower.Age().Get()
	if !known {
		panic(n.vm + ": the age of the state is unknown")
	}
	return age
}

func (n *node) shutDown() {
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

func (f *fleet) setVersion(version uint64) {
	f.origin.mu.Lock()
	defer f.origin.mu.Unlock()
	f.origin.version = version
}

// setVersionAndEndpoint sets the version and whether a second endpoint is listed.
func (f *fleet) setVersionAndEndpoint(version uint64, second bool) {
	f.origin.mu.Lock()
	defer f.origin.mu.Unlock()
	f.origin.version, f.origin.secondEndpoint = version, second
}

func (f *fleet) refuse(vms ...string) {
	f.origin.mu.Lock()
	defer f.origin.mu.Unlock()
	for _, vm := range vms {
		f.origin.refused[vm] = true
	}
}

// setUnresponsive has the origin not answer these routers, and answer all others.
func (f *fleet) setUnresponsive(vms ...string) {
	f.origin.mu.Lock()
	defer f.origin.mu.Unlock()
	f.origin.unresponsive = make(map[string]bool)
	for _, vm := range vms {
		f.origin.unresponsive[vm] = true
	}
}

// countInForce counts the running routers that have a version in force.
func (f *fleet) countInForce(version uint64) int {
	count := 0
	for _, n := range f.nodes {
		if n.stop != nil && n.follower.Table() != nil && n.follower.Table().Version() == version {
			count++
		}
	}
	return count
}
