package daemon

import (
	"net"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"golang.org/x/net/netutil"

	"coveferry/internal/balance"
	"coveferry/internal/bundle"
	"coveferry/internal/cli"
	"coveferry/internal/identity"
	"coveferry/internal/logging"
	"coveferry/internal/membership"
	"coveferry/internal/router"
	"coveferry/internal/server"
	"coveferry/internal/settings"
	"coveferry/internal/slo"
	"coveferry/internal/telemetry"
)

// Router runs a router with a settings file until the environment's context ends. It then
// reports not ready, keeps serving until the load balancer has stopped sending connections,
// and finishes open responses.
func Router(env *cli.Env, settingsFile string) error {
	setGCPercent(routerAgentGCPercent)
	s, err := settings.LoadRouter(settingsFile)
	if err != nil {
		return cli.BadInput(err)
	}
	log := logging.New(s.Log, env.Stderr).With().
		Str(logging.FieldRole, string(settings.RoleRouter)).Str(logging.FieldVM, string(s.VM)).Logger()
	reg := telemetry.NewRegistry()
	ready := telemetry.NewReadiness(gateServing)
	id, err := loadIdentity(s.Trust)
	if err != nil {
		return err
	}
	id.RegisterMetrics(reg)
	var rt *router.Router
	sloTracker := newSLOTracker(string(s.VM), reg, func() *bundle.Snapshot { return rt.Snapshot() })
	bundles, err := startBundles(s.Process, id, reg, ready, log)
	if err != nil {
		return err
	}
	snapshot := bundles.waitForFirst(env.Ctx)
	if snapshot == nil {
		return nil // told to stop
	}
	components, err := newRouterComponents(s, snapshot, id, sloTracker, reg, log)
	if err != nil {
		return err
	}
	rt = components.router
	callers, err := newCallerServer(s, rt, log)
	if err != nil {
		return err
	}
	admin, err := newAdminServer(s.MetricsListen.String(), newRouterMux(reg, ready, sloTracker, components.members))
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
	addServer(&g, callers, func() error {
		log.Info().Stringer("balancer_grace", s.Shutdown.BalancerGrace.Std()).Msg("stopping")
		ready.Close(gateServing)
		return rt.Stop(routerPlan(s.Shutdown), callers.StopWithin)
	}, &stopErr)
	addServer(&g, admin, admin.Stop, &stopErr)
	addMembers(&g, s, components, controlServer, id, log)
	addLimits(&g, components.limits, controlServer)
	bundles.node.Register(controlServer)
	bundles.subscribe(components.apply)
	addControl(&g, controlServer, &stopErr)
	addBundles(&g, bundles)
	addIdentity(&g, id, log)
	ready.Open(gateServing)
	log.Info().Str("listen", callers.Addr()).Uint64(logging.FieldBundle, rt.Snapshot().Version()).Msg("serving")
	return errors.CombineErrors(g.Run(), stopErr)
}

// routerComponents holds a router and the components that it shares with its membership.
type routerComponents struct {
	router  *router.Router
	client  *http.Client
	members *membership.Tracker
	limits  teamLimits
}

func newRouterComponents(s *settings.Router, snapshot *bundle.Snapshot, id *identity.Identity, sloTracker *slo.Tracker, reg prometheus.Registerer, log zerolog.Logger) (*routerComponents, error) {
	var rt *router.Router
	endpointName := func(address string) (string, bool) { return rt.Snapshot().EndpointAt(address) }
	client := server.NewTLSClient(id.DialTLS(server.TCP(), identity.RoleAgent, endpointName))
	current := func() *bundle.Snapshot { return rt.Snapshot() }
	pool := balance.NewPool(balance.Config{Policy: balancePolicy(s.Balance), Seed: uint64(os.Getpid())})
	members := newMembershipTracker(id.Peer().Name, pool, reg, log)
	limits := newTeamLimits(id, reg, log)
	rt = router.New(router.Config{
		Name:         id.Peer().Name,
		SubsetSize:   s.Balance.SubsetSize,
		LateBinding:  s.Balance.LateBinding,
		Snapshot:     snapshot,
		Pool:         pool,
		Client:       client,
		Scheme:       agentScheme,
		Retry:        retryPolicy(s.Retry),
		BodyTimeout:  s.Limits.BodyTimeout.Std(),
		MaxOpen:      int64(s.Limits.MaxOpenRequests),
		MaxBodyBytes: int64(s.Limits.MaxBodyMemory),
		Limits:       limits.limiter,
		Observer:     members,
		Poison:       newPoisonTable(id.Peer().Name, nil, reg, log, func([]string) {}), // agents keep running when their engines crash
		SLO:          sloTracker,
		Routing:      router.BundleRouting(current, server.NewDirectClient()),
		Log:          log,
		Metrics:      reg,
	})
	components := &routerComponents{router: rt, client: client, members: members, limits: limits}
	components.apply(snapshot)
	return components, nil
}

func newCallerServer(s *settings.Router, rt *router.Router, log zerolog.Logger) (*server.Server, error) {
	l, err := net.Listen("tcp", s.Listen.String())
	if err != nil {
		return nil, errors.Wrap(err, "listen for callers")
	}
	return server.New(server.Config{
		Listener:       netutil.LimitListener(l, s.Limits.MaxConnections),
		Handler:        rt.Handler(),
		HeaderTimeout:  s.Limits.HeaderTimeout.Std(),
		MaxHeaderBytes: int(s.Limits.MaxHeaderBytes),
		Grace:          s.Shutdown.StreamsGrace.Std(),
		QuietPeriod:    quietPeriod,
		Log:            log,
	}), nil
}

// endMargin is the time left at shutdown for telling callers that their responses end early.
const endMargin = time.Second

// quietPeriod is how long a caller's connection must be idle before a stopping router closes
// it.
const quietPeriod = time.Second

func routerPlan(s settings.RouterShutdown) server.ShutdownPlan {
	return server.ShutdownPlan{DrainTime: s.BalancerGrace.Std(), Grace: s.StreamsGrace.Std(), HandoverMargin: endMargin}
}
