package fleet

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"coveferry/internal/balance"
	"coveferry/internal/bundle"
	"coveferry/internal/control"
	"coveferry/internal/filters/dispatch"
	"coveferry/internal/identity"
	"coveferry/internal/membership"
	"coveferry/internal/server"
)

// Membership configures how a fleet's routers learn which endpoints leave, in
// addition to what they observe on their connections.
type Membership struct {
	// VMList has the base URLs of the platform's VM list; may be empty.
	VMList []string
	// DisableNotices disables the leave notices of agents to routers.
	DisableNotices bool
	// Observe wraps the routers' observer of attempts; nil keeps it.
	Observe func(dispatch.Observer) dispatch.Observer
}

// memberNode is the membership component of one router.
type memberNode struct {
	tracker *membership.Tracker
	prober  *membership.Prober
	feed    *membership.Feed
	control *control.Server
	cancel  context.CancelFunc
	work    sync.WaitGroup
}

// openControls opens the routers' control listeners, so that the first bundle
// can contain their addresses.
func (f *Fleet) openControls() error {
	for range f.spec.Routers {
		l, err := f.network.Listen(anyPort)
		if err != nil {
			return errors.Wrap(err, "fleet: listen for the control channel")
		}
		f.controls = append(f.controls, newFront(l))
	}
	return nil
}

func (f *Fleet) closeControls() error {
	var errs error
	for _, c := range f.controls {
		errs = errors.CombineErrors(errs, c.listener.Close())
	}
	return errs
}

// listRouters returns the routers as the bundle lists them.
func (f *Fleet) listRouters() []bundle.Router {
	routers := make([]bundle.Router, len(f.controls))
	for i, c := range f.controls {
		routers[i] = bundle.Router{
			Name: routerName(i), ControlAddress: c.listener.Addr().String(),
			FailureDomain: domainOf(i), Region: region,
		}
	}
	return routers
}

func domainOf(i int) string { return fmt.Sprintf("domain-%d", i%failureDomains) }

// newMember returns nil for a profile that ignores membership.
func (f *Fleet) newMember(i int, id *identity.Identity, pool *balance.Pool, client *http.Client, reg prometheus.Registerer, log zerolog.Logger) *memberNode {
	if f.spec.Profile.IgnoreMembership {
		return nil
	}
	name := routerName(i)
	m := &memberNode{tracker: membership.NewTracker(membership.Config{
		Name: name, Pool: pool, Tuning: membership.Tuning{Seed: uint64(i)}, Log: log, Metrics: reg,
	})}
	m.tracker.SetBundle(f.bundle)
	m.prober = membership.NewProber(m.tracker, client, "https")
	m.feed = membership.NewFeed(membership.FeedConfig{
		Tracker: m.tracker, Name: name, FailureDomain: domainOf(i),
		Platform: f.platform(name),
		Routers:  func() []bundle.Router { return f.Bundle().Routers },
		Client:   f.controlClient(name, id), Log: log,
	})
	m.control = control.NewServer(control.ServerConfig{
		Listener: f.controls[i].next(), Identity: id,
		Roles: []identity.Role{identity.RoleRouter, identity.RoleAgent}, Log: log,
	})
	m.tracker.Register(m.control)
	m.feed.Register(m.control)
	return m
}

func (f *Fleet) platform(router string) []*membership.PlatformClient {
	client := server.NewClient(nil, f.network.Dialer(router))
	var servers []*membership.PlatformClient
	for _, url := range f.spec.Membership.VMList {
		servers = append(servers, membership.NewPlatformClient(client, url))
	}
	return servers
}

func (f *Fleet) controlClient(name string, id *identity.Identity) control.ClientConfig {
	return control.ClientConfig{Identity: id, Dial: f.network.Dialer(name), Log: f.spec.Log}
}

// observer returns the observer of the router's attempts; nil means none.
func (m *memberNode) observer(s Membership) dispatch.Observer {
	switch {
	case m == nil:
		return nil
	case s.Observe != nil:
		return s.Observe(m.tracker)
	}
	return m.tracker
}

func (m *memberNode) start() {
	if m == nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	m.work.Go(func() { _ = m.control.Run() }) // it returns after Stop
	m.work.Go(func() { m.prober.Run(ctx) })
	m.work.Go(func() { m.feed.Run(ctx) })
}

func (m *memberNode) stop() error {
	if m == nil {
		return nil
	}
	m.cancel()
	err := m.control.Stop()
	m.work.Wait()
	return ignoreClosed(err)
}

// ignoreClosed drops the error of closing a listener twice.
func ignoreClosed(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

func (m *memberNode) setBundle(b *bundle.Bundle) {
	if m != nil {
		m.tracker.SetBundle(b)
	}
}

// Members returns the router's membership tracker; nil for a profile that ignores
// membership.
func (n *RouterNode) Members() *membership.Tracker {
	if n.member == nil {
		return nil
	}
	return n.member.tracker
}

// newAnnouncer returns the announcer by which an agent notifies routers that it leaves.
func (f *Fleet) newAnnouncer(n *AgentNode, id *identity.Identity) *membership.Announcer {
	return membership.NewAnnouncer(membership.AnnouncerConfig{
		Status:  n.Agent.Status,
		Routers: func() []bundle.Router { return f.Bundle().Routers },
		Client:  f.controlClient(n.Name, id),
		Log:     f.spec.Log.With().Str("role", "agent").Str("endpoint", n.Name).Logger(),
	})
}

// Leave has the agent leave and notifies the routers that have contacted it.
func (n *AgentNode) Leave() {
	n.leave()
	if n.leaveNotice != nil {
		n.leaveNotice.Start()
	}
}

// awaitLeaveNotice waits until all routers have been notified, if notices are enabled.
func (n *AgentNode) awaitLeaveNotice() {
	if n.leaveNotice != nil {
		n.leaveNotice.Wait()
	}
}

// Kill stops an agent and its engine without notice, as when its VM fails. The
// bundle still lists it.
func (f *Fleet) Kill(agent int) error {
	n := f.Agents()[agent]
	n.Engine.Crash()
	return n.server.Kill()
}
