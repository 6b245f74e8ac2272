package peers

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"coveferry/internal/bundle"
	"coveferry/internal/clock"
	"coveferry/internal/control"
	"coveferry/internal/directory"
	"coveferry/internal/follow"
	"coveferry/internal/memnet"
	"coveferry/internal/route"
)

// configOrigin holds a configuration that is transferred over the reader's link.
type configOrigin struct {
	mu     sync.Mutex
	config *route.Config
}

func (s *configOrigin) set(c *route.Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.config = c
}

func (s *configOrigin) get() *route.Config {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config
}

// linkView is the origin as a router reaches it over its link.
type linkView struct {
	origin *configOrigin
	link   *memnet.Link
}

func (v linkView) reading() follow.Reading {
	c := v.origin.get()
	size, _ := json.Marshal(c)
	time.Sleep(time.Until(v.link.Reserve(len(size))))
	entries := []directory.Entry{{Endpoint: bundle.Endpoint{Name: "e", Address: "a", Services: []string{"s"}}}}
	return follow.Reading{Config: c, List: directory.Reading{Full: true, Entries: entries, Revision: directory.Revision{Number: c.Version}}}
}

func (v linkView) Read(context.Context, bool) (follow.Reading, error) { return v.reading(), nil }

func (v linkView) Await(ctx context.Context, after directory.Revision, wait time.Duration) (follow.Reading, error) {
	for until := time.Now().Add(wait); time.Now().Before(until); {
		if v.origin.get().Version > after.Number {
			return v.reading(), ctx.Err()
		}
		if !clock.Sleep(ctx, 10*time.Millisecond) {
			break
		}
	}
	return follow.Reading{List: directory.Reading{Revision: after}}, ctx.Err()
}

func (v linkView) CatchUp(ctx context.Context, after directory.Revision) (follow.Reading, error) {
	return v.Await(ctx, after, follow.MinWait)
}

// configWithRoutes returns a configuration with the given number of routes.
func configWithRoutes(version uint64, routes int) *route.Config {
	c := &route.Config{Version: version, Services: []route.Service{{Name: "s"}}, Teams: map[string]*route.Team{"key": {Name: "team"}}}
	for i := range routes {
		c.Routes = append(c.Routes, route.Route{
			Name: fmt.Sprintf("r-%x", i*7919), Host: fmt.Sprintf("host%d.example", i%9), Prefix: fmt.Sprintf("/%x/", i*104729),
			Targets: []route.Target{{Service: "s", Weight: 1}}, Stream: i%2 == 0, Tier: i % 3, Timeout: 6 * time.Second, Objective: 600 * time.Millisecond,
		})
	}
	return c
}

// linkedNode is a router behind a link.
type linkedNode struct {
	node
	link *memnet.Link
}

func startLinked(ctx context.Context, g *WithT, n *memnet.Net, origin *configOrigin, i int, mbps float64, seeds []string) *linkedNode {
	vm := fmt.Sprint("vm", i)
	l, err := n.Listen(address(i))
	g.Expect(err).NotTo(HaveOccurred())
	link := memnet.NewLink(mbps)
	dial := n.Dialer(vm)
	pool := control.NewPool(control.ClientConfig{Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return link.Conn(c), nil
	}}, 0)
	source := New(Config{
		Self: Member{VM: vm, FailureDomain: "domain", Address: address(i), Cores: 1, LinkMbps: mbps}, Seeds: seeds,
		Origin: linkView{origin, link}, Pool: pool, PollInterval: 250 * time.Millisecond, MaxAge: maxAge, Log: zerolog.Nop(),
	})
	server := control.NewServer(control.ServerConfig{Listener: link.Listener(l)})
	source.Register(server)
	follower := follow.New(follow.Config{
		Source: source, Log: zerolog.Nop(), Clock: time.Now, OnDirectory: func(*directory.Directory) {},
		Timing: follow.Timing{
			Wait: time.Second, Slack: 400 * time.Millisecond, MinInterval: 200 * time.Millisecond,
			OutageThreshold: 2800 * time.Millisecond, EntryReturnTime: 2500 * time.Millisecond,
		},
	})
	source.SetState(follower)
	ctx, stop := context.WithCancel(ctx)
	go func() { _ = server.Run() }()
	go source.Run(ctx)
	go follower.Run(ctx)
	return &linkedNode{node: node{vm: vm, source: source, follower: follower, stop: stop, server: server, pool: pool}, link: link}
}

// One of eleven routers of a failure domain has a link of 200 Mbit/s and the others of 10. A
// configuration that grows by many routes has to be in force at all of them within 3 s, even while
// some restart.
func TestLargeConfigurationIsInForceInTimeOverNarrowLinks(t *testing.T) {
	for _, routes := range []int{1500, 5000} {
		t.Run(fmt.Sprint(routes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				n := memnet.New()
				origin := &configOrigin{config: configWithRoutes(1, 20)}
				seeds := []string{address(1), address(2), address(3)}
				var nodes []*linkedNode
				defer func() {
					for _, node := range nodes {
						node.shutDown()
					}
					time.Sleep(time.Minute)
				}()
				start := func(i int) *linkedNode {
					mbps := 10.0
					if i == 0 {
						mbps = 200
					}
					return startLinked(t.Context(), g, n, origin, i, mbps, seeds)
				}
				for i := range 11 {
					nodes = append(nodes, start(i))
				}
				time.Sleep(6 * time.Second)
				for step, size := range []int{routes, routes + 1, routes / 2} {
					nodes[4].shutDown()
					origin.set(configWithRoutes(uint64(2+step), size))
					time.Sleep(time.Second)
					nodes[4] = start(4)
					time.Sleep(2 * time.Second)
					for _, node := range nodes {
						g.Expect(node.follower.Table()).NotTo(BeNil(), node.vm)
						g.Expect(node.follower.Table().Size()).To(Equal(size), node.vm)
					}
				}
				total := 0
				for _, node := range nodes {
					total += node.link.Sent()
				}
				t.Logf("%d routes: %d KB over all links", routes, total>>10)
			})
		})
	}
}

func TestReaderHasEnoughCapacity(t *testing.T) {
	g := NewWithT(t)
	m := newMembers(Member{VM: "a", FailureDomain: "d", Cores: 0.8, LinkMbps: 10})
	now := time.Now()
	m.recordSeen(Member{VM: "b", FailureDomain: "d", Cores: 0.1, LinkMbps: 200}, now)
	g.Expect(m.readers(now, "d")).To(HaveLen(1))
	m.recordSeen(Member{VM: "c", FailureDomain: "d", Cores: 0.5, LinkMbps: 150}, now)
	g.Expect(m.readers(now, "d")[0].VM).To(Equal("c"))
	// If no capacity is known, all routers are candidates.
	g.Expect(capableRouters([]seenMember{{member: Member{VM: "x"}}, {member: Member{VM: "y"}}})).To(HaveLen(2))
}

func TestReaderCountDependsOnLinkAndDomainSize(t *testing.T) {
	g := NewWithT(t)
	for _, c := range []struct {
		routers int
		mbps    float64
		readers int
	}{{1, 10, 1}, {8, 200, 1}, {33, 200, 1}, {11, 10, 2}, {33, 10, 4}, {33, 0, 1}, {3, 1000, 1}} {
		g.Expect(readerCount(c.routers, c.mbps)).To(Equal(c.readers), "%d routers, %g Mbit/s", c.routers, c.mbps)
	}
	now := time.Now()
	queries := make(map[string]int)
	for self := range 33 {
		m := newMembers(Member{VM: fmt.Sprint("vm", self), FailureDomain: "d", LinkMbps: 10})
		for other := range 33 {
			m.recordSeen(Member{VM: fmt.Sprint("vm", other), FailureDomain: "d", LinkMbps: 10}, now)
		}
		if !m.isReader(now) {
			queries[m.peersToQuery(now)[0].VM]++
		}
	}
	g.Expect(queries).To(HaveLen(4))
	for reader, count := range queries {
		g.Expect(count).To(BeNumerically("<", 15), reader)
	}
}
