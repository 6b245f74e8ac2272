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

// Membership is how a fleet's routers learn which endpoints leave, besides
// what they see on their connections.
type Membership struct {
	// VMList are the base URLs of the platform's list; there may be none.
	VMList []string
	// Silent keeps agents from telling routers that they leave.
	Silent bool
	// Observe changes what routers learn from attempts; nil leaves it as it is.
	Observe func(dispatch.Observer) dispatch.Observer
}

// member is a router's part in membership.
type member struct {
	tracker *membership.Tracker
	prober  *membership.Prober
	feed    *membership.Feed
	control *control.Server
	cancel  context.CancelFunc
	work    sync.WaitGroup
}

// openControls opens the addresses at which routers are called, so that the
// first bundle can name them.
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

// listRouters are the routers as the bundle names them.
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
func (f *Fleet) newMember(i int, id *identity.Identity, pool *balance.Pool, client *http.Client, reg prometheus.Registerer, log zerolog.Logger) *member {
	if f.spec.Profile.IgnoreMembership {
		return nil
	}
	name := routerName(i)
	m := &member{tracker: membership.NewTracker(membership.Config{
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

// observer is what the router's attempts are told to; nil for nobody.
func (m *member) observer(s Membership) dispatch.Observer {
	switch {
	case m == nil:
		return nil
	case s.Observe != nil:
		return s.Observe(m.tracker)
	}
	return m.tracker
}

func (m *member) start() {
	if m == nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	m.work.Go(func() { _ = m.control.Run() }) // it ends with Stop
	m.work.Go(func() { m.prober.Run(ctx) })
	m.work.Go(func() { m.feed.Run(ctx) })
}

func (m *member) stop() error {
	if m == nil {
		return nil
	}
	m.cancel()
	err := m.control.Stop()
	m.work.Wait()
	return ignoreClosed(err)
}

// ignoreClosed lets a listener be closed twice.
func ignoreClosed(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

func (m *member) setBundle(b *bundle.Bundle) {
	if m != nil {
		m.tracker.SetBundle(b)
	}
}

// Members is what the router makes of the endpoints; nil for a profile that
// ignores membership.
func (n *RouterNode) Members() *membership.Tracker {
	if n.member == nil {
		return nil
	}
	return n.member.tracker
}

// newAnnouncer returns what an agent tells routers with when it leaves.
func (f *Fleet) newAnnouncer(n *AgentNode, id *identity.Identity) *membership.Announcer {
	return membership.NewAnnouncer(membership.AnnouncerConfig{
		Status:  n.Agent.Status,
		Routers: func() []bundle.Router { return f.Bundle().Routers },
		Client:  f.controlClient(n.Name, id),
		Log:     f.spec.Log.With().Str("role", "agent").Str("endpoint", n.Name).Logger(),
	})
}

// Leave makes the agent leave and tells the routers that it heard from.
func (n *AgentNode) Leave() {
	n.leave()
	if n.delivery != nil {
		n.delivery.Start()
	}
}

// leaveTaken waits until all routers have been told, if they are.
func (n *AgentNode) leaveTaken() {
	if n.delivery != nil {
		n.delivery.Wait()
	}
}

// Kill ends an agent's process and its engine without a word, as when its VM
// fails. The bundle names it still.
func (f *Fleet) Kill(agent int) error {
	n := f.Agents()[agent]
	n.Engine.Crash()
	return n.server.Kill()
}
