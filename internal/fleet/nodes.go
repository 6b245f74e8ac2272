package fleet

import (
	"fmt"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"

	"coveferry/internal/agent"
	"coveferry/internal/balance"
	"coveferry/internal/bundle"
	"coveferry/internal/identity"
	"coveferry/internal/membership"
	"coveferry/internal/placement"
	"coveferry/internal/router"
	"coveferry/internal/server"
	"coveferry/internal/standin/engine"
)

// AgentNode is an agent with its engine.
type AgentNode struct {
	Name   string
	Engine *engine.Engine
	Agent  *agent.Agent

	server       *server.Server
	engineServer *server.Server
	engineClient *http.Client
	// peerClient is for calls to other agents; stopKeys ends them.
	peerClient *http.Client
	stopKeys   func()
	// PlacementRunner runs the engine's placement; nil without Spec.Placement.
	PlacementRunner *placement.Runner
	stopPlacement   func()
	// leaveNotice notifies routers that the agent leaves; nil if disabled.
	leaveNotice *membership.Delivery
}

// Address returns the address at which the agent accepts attempts.
func (n *AgentNode) Address() string { return n.server.Addr() }

// EngineURL returns the base URL of the engine.
func (n *AgentNode) EngineURL() string { return "http://" + n.engineServer.Addr() }

// stop stops the agent with its fleet, when no router is left to notify.
func (n *AgentNode) stop() error {
	return n.stopBy(server.ShutdownPlan{Grace: n.server.Grace()}, n.leave)
}

// replace stops the agent while the routers keep running, and notifies them.
func (n *AgentNode) replace(p server.ShutdownPlan) error {
	err := n.stopBy(p, n.Leave)
	n.awaitLeaveNotice()
	return err
}

func (n *AgentNode) stopBy(p server.ShutdownPlan, leave func()) error {
	err := p.Run(leave, func() { n.Agent.HandOver() }, func() error { return n.server.StopWithin(p.Grace) })
	n.stopPlacement()
	n.stopKeys()
	n.engineClient.CloseIdleConnections()
	return errors.CombineErrors(err, n.engineServer.Stop())
}

// RouterNode is a router with its server and clients.
type RouterNode struct {
	Router *router.Router
	server *server.Server
	client *http.Client
	front  *front
	limits *teamLimits
	member *memberNode // nil for a profile that ignores membership
}

// stop stops the router and its front.
func (n *RouterNode) stop() error {
	err := n.stopBy(server.ShutdownPlan{Grace: n.server.Grace()})
	return errors.CombineErrors(err, n.front.listener.Close())
}

func (n *RouterNode) stopBy(p server.ShutdownPlan) error {
	err := n.Router.Stop(p, n.server.StopWithin)
	n.limits.stop()
	err = errors.CombineErrors(err, n.member.stop())
	n.client.CloseIdleConnections()
	return err
}

// URL returns the base URL for callers.
func (n *RouterNode) URL() string { return "http://" + n.server.Addr() }

func (f *Fleet) startAgent(name string, cfg engine.Config) (*AgentNode, error) {
	for _, m := range f.spec.Bundle.Models {
		cfg.Models = append(cfg.Models, m.Name)
	}
	eng := engine.New(cfg)
	engineServer, err := f.serve(anyPort, eng.Handler(), nil)
	if err != nil {
		return nil, err
	}
	id, err := f.identity(identity.RoleAgent, name)
	if err != nil {
		return nil, err
	}
	node := &AgentNode{
		Name: name, Engine: eng, engineServer: engineServer,
		engineClient: server.NewClient(nil, f.network.Dialer(name)),
		peerClient:   f.peerClient(name, id),
	}
	node.Agent = f.newAgent(node, cfg)
	handler := f.withPlacement(node, node.Agent.Handler())
	if !f.spec.Membership.DisableNotices && !f.spec.Profile.IgnoreMembership {
		announcer := f.newAnnouncer(node, id)
		node.leaveNotice = membership.NewDelivery(announcer)
		handler = announcer.Wrap(handler)
	}
	node.server, err = f.serve(anyPort, handler, id)
	if err != nil {
		return nil, err
	}
	node.runKeys()
	return node, nil
}

func (f *Fleet) newAgent(n *AgentNode, cfg engine.Config) *agent.Agent {
	return agent.New(agent.Config{
		Client:   n.engineClient,
		Endpoint: n.Name,
		Engine:   agent.Engine{URL: n.EngineURL(), Priorities: cfg.Priorities, Resume: true, HealthPath: agent.EngineHealthPath},
		Policy:   f.spec.Profile.Scheduler(cfg.Slots, f.spec.Bundle.Limits),
		MaxBody:  maxBody(f.spec.Bundle.Limits),
		Clock:    f.spec.Clock,
		Keys:     f.keys(n),
		Log:      f.spec.Log.With().Str("role", "agent").Str("endpoint", n.Name).Logger(),
	})
}

func routerName(i int) string { return fmt.Sprintf("router-%02d", i) }

// startRouter starts a router behind the given front, or behind a new one if
// that is nil.
func (f *Fleet) startRouter(i int, existing *front) (*RouterNode, error) {
	name := routerName(i)
	id, err := f.identity(identity.RoleRouter, name)
	if err != nil {
		return nil, err
	}
	var rt *router.Router
	nameAt := func(address string) (string, bool) { return rt.Snapshot().EndpointAt(address) }
	client := server.NewTLSClient(id.DialTLS(f.network.Dialer(name), identity.RoleAgent, nameAt))
	cfg := router.Config{
		Name:                  name,
		Snapshot:              bundle.NewSnapshot(f.bundle),
		Pool:                  balance.NewPool(balance.Config{Policy: f.spec.Profile.Balance, Seed: uint64(i)}),
		Client:                client,
		Scheme:                "https",
		Retry:                 f.spec.Profile.Retry(),
		Throttle:              f.spec.Profile.Throttle,
		IgnoreIdempotencyKeys: f.spec.Profile.IgnoreKeys,
		LateBinding:           f.spec.Profile.LateBinding,
		Rand:                  f.spec.Rand,
		BodyTimeout:           bodyTimeout,
		MaxOpen:               maxOpen,
		MaxBodyBytes:          maxBodyBytes,
		NewID:                 f.spec.NewID,
		Clock:                 f.spec.Clock,
		Log:                   f.spec.Log.With().Str("role", "router").Logger(),
	}
	address := anyPort
	if i == 0 && existing == nil {
		cfg.Metrics = f.spec.Metrics
		cfg.SLO = f.spec.SLO
		if f.spec.RouterAddress != "" {
			address = f.spec.RouterAddress
		}
	}
	member := f.newMember(i, id, cfg.Pool, client, cfg.Metrics, cfg.Log)
	cfg.Observer = member.observer(f.spec.Membership)
	teams := f.newTeamLimits(f.spec.Profile.TeamLimits, id, cfg.Metrics, cfg.Log)
	cfg.Limits = teams.limiter
	if member != nil {
		teams.limiter.Register(member.control)
	}
	if len(f.bundle.Routes) > 0 {
		inForce := func() *bundle.Snapshot { return rt.Snapshot() }
		cfg.Routing = router.BundleRouting(inForce, server.NewClient(nil, f.network.Dialer(name)))
	}
	rt = router.New(cfg)
	if existing == nil {
		l, err := f.network.Listen(address)
		if err != nil {
			return nil, errors.Wrapf(err, "fleet: listen on %s", address)
		}
		existing = newFront(l)
	}
	srv := f.serveOn(existing.next(), rt.Handler(), nil)
	member.start()
	teams.start()
	return &RouterNode{Router: rt, server: srv, client: client, front: existing, limits: teams, member: member}, nil
}

// identity issues a certificate that is valid longer than the fleet runs.
func (f *Fleet) identity(role identity.Role, name string) (*identity.Identity, error) {
	pair, err := f.authority.Issue(role, name, certValidity)
	if err != nil {
		return nil, errors.Wrapf(err, "fleet: certificate of %s", name)
	}
	id, err := identity.New(f.authority.CertPEM(), pair.CertPEM, pair.KeyPEM)
	return id, errors.Wrapf(err, "fleet: identity of %s", name)
}

// serve starts a server; with an identity it accepts only routers and agents.
func (f *Fleet) serve(address string, h http.Handler, id *identity.Identity) (*server.Server, error) {
	l, err := f.network.Listen(address)
	if err != nil {
		return nil, errors.Wrapf(err, "fleet: listen on %s", address)
	}
	return f.serveOn(l, h, id), nil
}

func (f *Fleet) serveOn(l net.Listener, h http.Handler, id *identity.Identity) *server.Server {
	srv := server.New(f.serverConfig(l, h, id))
	go func() {
		if err := srv.Run(); err != nil {
			f.spec.Log.Error().Err(err).Msg("server failed")
		}
	}()
	return srv
}

func (f *Fleet) serverConfig(l net.Listener, h http.Handler, id *identity.Identity) server.Config {
	cfg := server.Config{
		Listener:       l,
		Handler:        h,
		HeaderTimeout:  headerTimeout,
		MaxHeaderBytes: maxHeaderBytes,
		Grace:          f.spec.ShutdownGrace,
		Log:            f.spec.Log,
	}
	if id == nil {
		cfg.QuietPeriod = f.spec.RouterStop.QuietPeriod
	} else {
		cfg.TLS = id.ServerConfig(identity.RoleRouter, identity.RoleAgent)
	}
	return cfg
}
