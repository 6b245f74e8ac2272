package membership

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"coveferry/internal/balance"
	"coveferry/internal/bundle"
	"coveferry/internal/control"
	"coveferry/internal/identity"
	"coveferry/internal/memnet"
	"coveferry/internal/standin/vmlist"
)

// routerMesh is a set of routers with feeds in one failure domain and a server of
// the platform's list, on an in-memory network.
type routerMesh struct {
	g         Gomega
	net       *memnet.Net
	list      *vmlist.List
	authority *identity.Authority
	routers   []bundle.Router
	trackers  []*Tracker
	pools     []*balance.Pool
	traffic   *control.Traffic
	stops     []func()
}

const listAddress = "10.0.0.1:80"

// newRouterMesh starts n routers with four endpoints. Only the first `readers` routers
// reach the platform.
func newRouterMesh(t *testing.T, n, readers int, lag time.Duration) *routerMesh {
	m := &routerMesh{g: NewWithT(t), net: memnet.New(), list: vmlist.New(lag), traffic: &control.Traffic{}}
	var err error
	m.authority, err = identity.Ephemeral()
	m.g.Expect(err).NotTo(HaveOccurred())
	l, err := m.net.Listen(listAddress)
	m.g.Expect(err).NotTo(HaveOccurred())
	platform := &http.Server{Handler: m.list.Handler()}
	go platform.Serve(l)
	m.stops = append(m.stops, func() { platform.Close() })
	m.setList(-1)
	time.Sleep(lag)
	for i := range n {
		m.routers = append(m.routers, bundle.Router{
			Name: fmt.Sprint("r", i), ControlAddress: fmt.Sprintf("10.0.1.%d:1", i+1), FailureDomain: "a",
		})
	}
	for i := range n {
		m.start(i, i < readers)
	}
	return m
}

// setList lists the VMs of four endpoints. The VM with the given index is leaving; -1
// means none.
func (m *routerMesh) setList(leaving int) {
	vms := make([]vmlist.VM, 4)
	for i := range vms {
		vms[i] = vmlist.VM{Name: fmt.Sprint("vm", i), State: vmlist.Live}
		if i == leaving {
			vms[i].State = vmlist.Leaving
		}
	}
	m.list.Set(vms...)
}

func (m *routerMesh) identity(role identity.Role, name string) *identity.Identity {
	pair, err := m.authority.Issue(role, name, 24*time.Hour)
	m.g.Expect(err).NotTo(HaveOccurred())
	id, err := identity.New(m.authority.CertPEM(), pair.CertPEM, pair.KeyPEM)
	m.g.Expect(err).NotTo(HaveOccurred())
	return id
}

func (m *routerMesh) start(i int, reads bool) {
	r := m.routers[i]
	id := m.identity(identity.RoleRouter, r.Name)
	l, err := m.net.Listen(r.ControlAddress)
	m.g.Expect(err).NotTo(HaveOccurred())
	srv := control.NewServer(control.ServerConfig{
		Listener: l, Identity: id, Roles: []identity.Role{identity.RoleRouter, identity.RoleAgent},
		Traffic: m.traffic, Log: zerolog.Nop(),
	})
	pool := balance.NewPool(balance.Config{})
	tracker := NewTracker(Config{Name: r.Name, Pool: pool, Log: zerolog.Nop()})
	tracker.HandleEvent(bundleOf(4))
	feed := NewFeed(FeedConfig{
		Tracker: tracker, Name: r.Name, FailureDomain: r.FailureDomain,
		Routers: func() []bundle.Router { return m.routers },
		Client:  control.ClientConfig{Identity: id, Dial: m.net.Dialer(r.Name), Log: zerolog.Nop()},
		Log:     zerolog.Nop(),
	})
	if reads {
		client := &http.Client{Transport: &http.Transport{DialContext: m.net.Dialer(r.Name), DisableKeepAlives: true}}
		feed.cfg.Platform = []*PlatformClient{NewPlatformClient(client, "http://"+listAddress)}
	}
	tracker.Register(srv)
	feed.Register(srv)
	ctx, cancel := context.WithCancel(context.Background())
	var work sync.WaitGroup
	work.Go(func() { _ = srv.Run() })
	work.Go(func() { feed.Run(ctx) })
	m.trackers = append(m.trackers, tracker)
	m.pools = append(m.pools, pool)
	m.stops = append(m.stops, func() {
		cancel()
		_ = srv.Stop()
		work.Wait()
	})
}

func (m *routerMesh) stop() {
	for _, stop := range m.stops {
		stop()
	}
	synctest.Wait()
}

// countStates counts the routers by their state of an endpoint.
func (m *routerMesh) countStates(endpoint int) map[State]int {
	counts := make(map[State]int)
	for _, t := range m.trackers {
		counts[t.Snapshot(time.Now()).Members[endpoint].State]++
	}
	return counts
}

// canBeChosen reports whether any router's pool still chooses an endpoint.
func (m *routerMesh) canBeChosen(endpoint int) bool {
	e := &bundle.Endpoint{Name: fmt.Sprint("e", endpoint)}
	for _, p := range m.pools {
		if _, err := p.Choose(time.Now(), balance.Request{}, []*bundle.Endpoint{e}, nil); err == nil {
			return true
		}
	}
	return false
}

// A single router that reaches the platform supplies the list to all others.
func TestListReachesRoutersThatCannotReadIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newRouterMesh(t, 12, 1, 2*time.Second)
		defer m.stop()
		time.Sleep(5 * time.Second)
		m.setList(1)
		time.Sleep(3 * time.Second)
		m.g.Expect(m.countStates(1)).To(Equal(map[State]int{Leaving: 12}))
		m.g.Expect(m.canBeChosen(1)).To(BeFalse())
		m.g.Expect(m.canBeChosen(0)).To(BeTrue())
		age := m.trackers[11].Snapshot(time.Now()).ListAge
		m.g.Expect(age).NotTo(BeNil())
		m.g.Expect(age.Std()).To(BeNumerically("<", 15*time.Second))
	})
}

// The last valid list stays in use while the platform's list is unavailable, empty or
// stale, and the routers recover without intervention.
func TestFailingListKeepsTheLastValidOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newRouterMesh(t, 3, 3, time.Second)
		defer m.stop()
		m.setList(1)
		time.Sleep(5 * time.Second)
		for _, fail := range []func(bool){m.list.SetDown, m.list.SetEmpty, m.list.SetStale} {
			fail(true)
			m.setList(-1)
			time.Sleep(time.Minute)
			m.g.Expect(m.countStates(1)).To(Equal(map[State]int{Leaving: 3}))
			m.g.Expect(m.trackers[0].Snapshot(time.Now()).ListAge.Std()).To(BeNumerically(">", 50*time.Second))
			m.setList(1)
			time.Sleep(2 * time.Second)
			fail(false)
			time.Sleep(5 * time.Second)
			m.g.Expect(m.countStates(1)).To(Equal(map[State]int{Leaving: 3}))
		}
		m.setList(-1)
		time.Sleep(5 * time.Second)
		m.g.Expect(m.countStates(1)).To(Equal(map[State]int{Live: 3}))
	})
}

// Each side of a partition continues with the sources that it reaches, and both sides
// converge after the partition has ended.
func TestPartitionedRoutersConverge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newRouterMesh(t, 6, 1, time.Second)
		defer m.stop()
		time.Sleep(5 * time.Second)
		each := func(do func(from, to string)) {
			for i := range 3 {
				for j := 3; j < 6; j++ {
					do(m.routers[i].Name, m.routers[j].ControlAddress)
					do(m.routers[j].Name, m.routers[i].ControlAddress)
				}
			}
		}
		each(m.net.Cut)
		m.setList(1)
		time.Sleep(10 * time.Second)
		m.g.Expect(m.countStates(1)).To(Equal(map[State]int{Leaving: 3, Live: 3}))
		each(m.net.Heal)
		time.Sleep(15 * time.Second)
		m.g.Expect(m.countStates(1)).To(Equal(map[State]int{Leaving: 6}))
	})
}

// After each update a watcher's list equals that of the router that it watches, for any
// sequence of lists that the routers have read.
func TestWatchersConvergeOnTheListOfTheirSource(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := epoch
		histories := make([]listHistory, 3)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Second)
			if i := rapid.IntRange(0, 1).Draw(t, "reader"); rapid.Bool().Draw(t, "reads") {
				read := ListRead{At: now, VMs: []VM{{Name: "always"}}}
				for _, n := range rapid.SliceOfDistinct(rapid.IntRange(0, 4), rapid.ID).Draw(t, "vms") {
					read.VMs = append(read.VMs, VM{Name: fmt.Sprint(n), Leaving: rapid.Bool().Draw(t, "leaving")})
				}
				histories[i].replace(now, read)
				continue
			}
			i, j := rapid.IntRange(0, 2).Draw(t, "from"), rapid.IntRange(0, 2).Draw(t, "to")
			from, to := &histories[i], &histories[j]
			if i == j || from.vms == nil || !to.shouldApply(now, from.asOf, time.Hour) {
				continue
			}
			if to.merge(now, from.updateSince(to.asOf)); !to.matches(from.updateSince(to.asOf)) {
				to.merge(now, from.updateSince(time.Time{}))
			}
			for _, vm := range from.toListRead().VMs {
				if got, ok := to.vms[vm.Name]; !ok || got.leaving != vm.Leaving {
					t.Fatalf("%s: %+v, want leaving=%t", vm.Name, got, vm.Leaving)
				}
			}
			if len(to.vms) != len(from.vms) || !to.asOf.Equal(from.asOf) {
				t.Fatalf("%d VMs at %s, want %d at %s", len(to.vms), to.asOf, len(from.vms), from.asOf)
			}
		}
	})
}

// The rate of reads by all routers together stays below 25 per second at any fleet size,
// each router stays within pollBytesPerSecond, and a few routers still read often enough.
func TestPollInterval(t *testing.T) {
	g := NewWithT(t)
	for _, size := range []struct{ routers, vms int }{{50, 210}, {880, 3700}, {4580, 19_000}} {
		interval := pollIntervalFor(size.vms, size.routers).Seconds()
		g.Expect(float64(size.routers) / interval).To(BeNumerically("<", 25))
		g.Expect(float64(size.vms*bytesPerVM) / interval).To(BeNumerically("~", pollBytesPerSecond, 1))
	}
	g.Expect(pollIntervalFor(110, 6)).To(BeNumerically("<", 1500*time.Millisecond))
	g.Expect(pollIntervalFor(3700, 3)).To(BeNumerically("<", time.Second))
	g.Expect(pollIntervalFor(3700, 0)).To(Equal(minPollInterval))
}
