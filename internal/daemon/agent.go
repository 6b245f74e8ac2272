package daemon

import (
	"context"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"coveferry/internal/agent"
	"coveferry/internal/bundle"
	"coveferry/internal/cli"
	"coveferry/internal/identity"
	"coveferry/internal/logging"
	"coveferry/internal/membership"
	"coveferry/internal/once"
	"coveferry/internal/placement"
	"coveferry/internal/sched"
	"coveferry/internal/server"
	"coveferry/internal/settings"
	"coveferry/internal/telemetry"
)

// resumeFactor bounds an attempt's body at an agent: the router has held it to
// the bundle's bound, and the answer so far comes on top when it is resumed.
const resumeFactor = 2

// Agent runs an agent by the settings file until the environment's context
// ends. It then refuses new attempts and finishes those it holds.
func Agent(env *cli.Env, settingsFile string) error {
	paceCollector(collectorPercent)
	s, err := settings.LoadAgent(settingsFile)
	if err != nil {
		return cli.BadInput(err)
	}
	log := logging.New(s.Log, env.Stderr).With().
		Str(logging.FieldRole, string(settings.RoleAgent)).Str(logging.FieldVM, string(s.VM)).
		Str(logging.FieldEndpoint, string(s.Endpoint)).Logger()
	reg := telemetry.NewRegistry()
	ready := telemetry.NewReadiness(gateServing)
	id, err := loadIdentity(s.Trust)
	if err != nil {
		return err
	}
	id.RegisterMetrics(reg)
	bundles, err := startBundles(s.Process, id, reg, ready, log)
	if err != nil {
		return err
	}
	snapshot := bundles.first(env.Ctx)
	if snapshot == nil {
		return nil // told to stop
	}
	ag, err := newAgent(s, snapshot, id, reg, log)
	if err != nil {
		return err
	}
	orders := newPlacement(s, id, reg, log)
	announcer := newAnnouncer(ag, bundles.node.Snapshot, id, log)
	goodbye := membership.NewGoodbye(announcer)
	routers, err := newRouterServer(s, announcer.Wrap(orders.Wrap(ag.Handler())), id, log)
	if err != nil {
		return err
	}
	admin, err := newAdminServer(s.MetricsListen.String(), telemetry.NewMux(reg, ready))
	if err != nil {
		return err
	}
	peers, err := newControlServer(s.Process, id, log)
	if err != nil {
		return err
	}
	var g run.Group
	var failed error
	addUntil(&g, env.Ctx)
	addServer(&g, routers, func() error {
		log.Info().Msg("stopping: new attempts are refused, those held are finished")
		ready.Close(gateServing)
		return agentPlan(s.Shutdown).Run(leave(ag, orders, goodbye), handOver(ag, log), routers.Stop)
	}, &failed)
	addServer(&g, admin, admin.Stop, &failed)
	addIdentity(&g, id, log)
	addKeys(&g, ag)
	bundles.node.Register(peers)
	bundles.then(followAll(adopt(ag, string(s.Endpoint), log), place(orders)))
	addRunner(&g, orders.Run)
	addControl(&g, peers, &failed)
	addBundles(&g, bundles)
	ready.Open(gateServing)
	log.Info().Str("listen", routers.Addr()).Uint64(logging.FieldBundle, snapshot.Version()).Msg("serving")
	return errors.CombineErrors(g.Run(), failed)
}

// addKeys adds the actor that looks after the idempotency keys whose home the
// agent is.
func addKeys(g *run.Group, ag *agent.Agent) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error { return ag.RunKeys(ctx) }, func(error) { cancel() })
}

func newAgent(s *settings.Agent, snapshot *bundle.Snapshot, id *identity.Identity, reg prometheus.Registerer, log zerolog.Logger) (*agent.Agent, error) {
	endpoint, err := ownEndpoint(snapshot, string(s.Endpoint))
	if err != nil {
		return nil, err
	}
	limits := snapshot.Bundle().Limits
	return agent.New(agent.Config{
		Endpoint: endpoint.Name,
		Engine: agent.Engine{
			URL:        strings.TrimSuffix(s.Engine.URL.String(), "/"),
			Priorities: s.Engine.Priorities,
			Resume:     s.Engine.Resume,
			HealthPath: healthPath(endpoint),
		},
		Keys: agent.Keys{
			Once:   once.DefaultConfig(once.Member{Name: endpoint.Name, VM: string(s.VM)}),
			Peers:  server.NewClient(id.ClientConfig(identity.RoleAgent, identity.AnyName), nil),
			Scheme: "https",
		},
		Policy:  schedulerPolicy(s.Scheduler, endpoint.Slots, limits),
		MaxBody: resumeFactor * int64(limits.RequestBytes),
		Log:     log,
		Metrics: reg,
	}), nil
}

// adopt returns what puts a bundle in force at an agent. One that doesn't list
// its endpoint leaves the bounds as they were: routers send it nothing more.
func adopt(ag *agent.Agent, name string, log zerolog.Logger) func(*bundle.Snapshot) {
	return func(snapshot *bundle.Snapshot) {
		ag.Adopt(snapshot)
		endpoint, err := ownEndpoint(snapshot, name)
		if err != nil {
			log.Warn().Err(err).Msg("the endpoint is no longer in the bundle")
			return
		}
		limits := snapshot.Bundle().Limits
		ag.Resize(sched.Bounds{
			Slots: endpoint.Slots, QueueEntries: limits.QueueEntries, QueueBytes: int(limits.QueueBytes),
		}, resumeFactor*int64(limits.RequestBytes))
	}
}

// ownEndpoint finds the agent's endpoint in the bundle.
func ownEndpoint(snapshot *bundle.Snapshot, name string) (*bundle.Endpoint, error) {
	endpoints := snapshot.Bundle().Endpoints
	for i := range endpoints {
		if endpoints[i].Name == name {
			return &endpoints[i], nil
		}
	}
	return nil, cli.BadInput(errors.Newf("bundle %d has no endpoint %q", snapshot.Version(), name))
}

func newRouterServer(s *settings.Agent, h http.Handler, id *identity.Identity, log zerolog.Logger) (*server.Server, error) {
	l, err := net.Listen("tcp", s.Listen.String())
	if err != nil {
		return nil, errors.Wrap(err, "listen for routers")
	}
	return server.New(server.Config{
		Listener:       l,
		Handler:        h,
		TLS:            id.ServerConfig(identity.RoleRouter, identity.RoleAgent),
		HeaderTimeout:  adminHeaderTimeout,
		MaxHeaderBytes: adminMaxHeaderBytes,
		Grace:          s.Shutdown.StreamsGrace.Std(),
		Log:            log,
	}), nil
}

// How an agent leaves, besides the time that the settings give.
const (
	// leaveNotice is how long refusals are answered before the listener closes.
	leaveNotice = 2 * time.Second
	// handOverMargin covers the start of an attempt's rest elsewhere.
	handOverMargin = 5 * time.Second
)

func agentPlan(s settings.Shutdown) server.Plan {
	return server.Plan{Notice: leaveNotice, Grace: s.StreamsGrace.Std(), Margin: handOverMargin}
}

// leave refuses new attempts from now on, and tells the routers while refusals
// are still answered.
func leave(ag *agent.Agent, orders *placement.Runner, g *membership.Goodbye) func() {
	return func() {
		orders.Leave()
		ag.Leave()
		g.Say()
	}
}

// handOver is the last call for what still runs at an agent that leaves.
func handOver(ag *agent.Agent, log zerolog.Logger) func() {
	return func() {
		moved, stay := ag.HandOver()
		log.Info().Int("moved", moved).Int("stay", stay).Msg("running attempts handed over")
	}
}

// healthPath is empty for a plain service, whose paths are its own.
func healthPath(endpoint *bundle.Endpoint) string {
	if len(endpoint.Models) == 0 {
		return ""
	}
	return agent.EngineHealthPath
}
