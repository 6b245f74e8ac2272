package daemon

import (
	"context"
	"net"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"coveferry/internal/agent"
	"coveferry/internal/balance"
	"coveferry/internal/bundle"
	"coveferry/internal/control"
	"coveferry/internal/identity"
	"coveferry/internal/membership"
	"coveferry/internal/server"
	"coveferry/internal/settings"
)

const agentScheme = "https"

// newControlServer listens for operators and for other processes of the system.
func newControlServer(p settings.Process, id *identity.Identity, log zerolog.Logger) (*control.Server, error) {
	l, err := net.Listen("tcp", p.ControlListen.String())
	if err != nil {
		return nil, errors.Wrap(err, "listen for the control channel")
	}
	return control.NewServer(control.ServerConfig{Listener: l, Identity: id, Roles: identity.Roles(), Log: log}), nil
}

// addControl adds the server of the control channel.
func addControl(g *run.Group, srv *control.Server, stopErr *error) {
	g.Add(srv.Run, func(error) {
		*stopErr = errors.CombineErrors(*stopErr, srv.Stop())
	})
}

// addRunner adds an actor that runs until the group ends, as addLoop does.
func addRunner(g *run.Group, runner func(context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error { runner(ctx); return nil }, func(error) { cancel() })
}

func newMembershipTracker(name string, pool *balance.Pool, reg prometheus.Registerer, log zerolog.Logger) *membership.Tracker {
	return membership.NewTracker(membership.Config{
		Name: name, Pool: pool, Tuning: membership.Tuning{Seed: membership.SeedOf(name)}, Log: log, Metrics: reg,
	})
}

// apply puts a snapshot in force at a router. Membership takes its endpoints from it.
func (p *routerComponents) apply(s *bundle.Snapshot) {
	p.router.Swap(s)
	p.members.SetBundle(s.Bundle())
}

// addMembers adds the actors that keep a router's membership up to date, apart from the
// outcomes of its own requests.
func addMembers(g *run.Group, s *settings.Router, components *routerComponents, srv *control.Server, id *identity.Identity, log zerolog.Logger) {
	client := server.NewClient(nil, nil)
	var platform []*membership.PlatformClient
	for _, url := range s.VMList {
		platform = append(platform, membership.NewPlatformClient(client, url.String()))
	}
	feed := membership.NewFeed(membership.FeedConfig{
		Tracker: components.members, Name: id.Peer().Name, FailureDomain: string(s.FailureDomain),
		Platform: platform,
		Routers:  func() []bundle.Router { return components.router.Snapshot().Bundle().Routers },
		Client:   control.ClientConfig{Identity: id, Log: log}, Log: log,
	})
	components.members.Register(srv)
	feed.Register(srv)
	addRunner(g, feed.Run)
	addRunner(g, membership.NewProber(components.members, components.client, agentScheme).Run)
}

// newAnnouncer returns the announcer that tells routers when the agent leaves.
func newAnnouncer(ag *agent.Agent, snapshot func() *bundle.Snapshot, id *identity.Identity, log zerolog.Logger) *membership.Announcer {
	return membership.NewAnnouncer(membership.AnnouncerConfig{
		Status:  ag.Status,
		Routers: func() []bundle.Router { return snapshot().Bundle().Routers },
		Client:  control.ClientConfig{Identity: id, Log: log}, Log: log,
	})
}
