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

// resumeFactor bounds attempt bodies at an agent to a multiple of the bundle's request limit: the
// router enforces that limit, and a resumed request also carries the response so far.
const resumeFactor = 2

// Agent runs an agent with a settings file until the environment's context ends. It then
// refuses new attempts and finishes the running ones.
func Agent(env *cli.Env, settingsFile string) error {
	setGCPercent(routerAgentGCPercent)
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
	snapshot := bundles.waitForFirst(env.Ctx)
	if snapshot == nil {
		return nil // told to stop
	}
	ag, err := newAgent(s, snapshot, id, reg, log)
	if err != nil {
		return err
	}
	placementRunner := newPlacement(s, id, reg, log)
	announcer := newAnnouncer(ag, bundles.node.Snapshot, id, log)
	leaveNotice := membership.NewDelivery(announcer)
	attemptServer, err := newAttemptServer(s, announcer.Wrap(placementRunner.Wrap(ag.Handler())), id, log)
	if err != nil {
		return err
	}
	admin, err := newAdminServer(s.MetricsListen.String(), telemetry.NewMux(reg, ready))
	if err != nil {
		return err
	}
	controlServer, err := newControlServer(s.Process, id, log)
	if err != nil {
		return err
	}
	var g run.Group
	var stopErr error
	addContextActor(&g, env.Ctx)
	addServer(&g, attemptServer, func() error {
		log.Info().Msg("stopping: refusing new attempts and finishing running ones")
		ready.Close(gateServing)
		return agentPlan(s.Shutdown).Run(startDrain(ag, placementRunner, leaveNotice), handOver(ag, log), attemptServer.Stop)
	}, &stopErr)
	addServer(&g, admin, admin.Stop, &stopErr)
	addIdentity(&g, id, log)
	addKeys(&g, ag)
	bundles.node.Register(controlServer)
	bundles.subscribe(notifyAll(applyBundle(ag, string(s.Endpoint), log), applyPlacement(placementRunner)))
	addRunner(&g, placementRunner.Run)
	addControl(&g, controlServer, &stopErr)
	addBundles(&g, bundles)
	ready.Open(gateServing)
	log.Info().Str("listen", attemptServer.Addr()).Uint64(logging.FieldBundle, snapshot.Version()).Msg("serving")
	return errors.CombineErrors(g.Run(), stopErr)
}

// addKeys adds the actor that maintains the idempotency keys assigned to the agent.
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

// applyBundle returns a function that puts a bundle in force at an agent. If the bundle
// doesn't list the agent's endpoint, the limits stay as they are, since routers send it
// nothing more.
func applyBundle(ag *agent.Agent, name string, log zerolog.Logger) func(*bundle.Snapshot) {
	return func(snapshot *bundle.Snapshot) {
		ag.UpdateKeyHomes(snapshot)
		endpoint, err := ownEndpoint(snapshot, name)
		if err != nil {
			log.Warn().Err(err).Msg("endpoint is no longer in the bundle")
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

func newAttemptServer(s *settings.Agent, h http.Handler, id *identity.Identity, log zerolog.Logger) (*server.Server, error) {
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

// Timing of an agent's shutdown, in addition to the time in the settings.
const (
	// agentDrainTime is how long new attempts get a refusal before the listener closes.
	agentDrainTime = 2 * time.Second
	// handOverMargin is the time for moved attempts to start elsewhere.
	handOverMargin = 5 * time.Second
)

func agentPlan(s settings.Shutdown) server.ShutdownPlan {
	return server.ShutdownPlan{DrainTime: agentDrainTime, Grace: s.StreamsGrace.Std(), HandoverMargin: handOverMargin}
}

// startDrain returns a function that makes the agent refuse new attempts and notify the
// routers while refusals are still sent.
func startDrain(ag *agent.Agent, runner *placement.Runner, leaveNotice *membership.Delivery) func() {
	return func() {
		runner.Leave()
		ag.Leave()
		leaveNotice.Start()
	}
}

// handOver returns a function that moves the attempts still running on a stopping agent to
// other agents.
func handOver(ag *agent.Agent, log zerolog.Logger) func() {
	return func() {
		moved, kept := ag.HandOver()
		log.Info().Int("moved", moved).Int("stay", kept).Msg("running attempts handed over")
	}
}

// healthPath returns the engine's health path, or an empty path for a plain service, whose
// paths aren't known.
func healthPath(endpoint *bundle.Endpoint) string {
	if len(endpoint.Models) == 0 {
		return ""
	}
	return agent.EngineHealthPath
}
