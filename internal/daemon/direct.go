package daemon

import (
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"coveferry/internal/balance"
	"coveferry/internal/bundle"
	"coveferry/internal/cli"
	"coveferry/internal/control"
	"coveferry/internal/directory"
	"coveferry/internal/endpointrate"
	"coveferry/internal/follow"
	"coveferry/internal/logging"
	"coveferry/internal/membership"
	"coveferry/internal/peers"
	"coveferry/internal/poison"
	"coveferry/internal/retry"
	"coveferry/internal/route"
	"coveferry/internal/router"
	"coveferry/internal/server"
	"coveferry/internal/telemetry"
	"coveferry/internal/upstream"
)

// Direct is what a router needs that reaches its endpoints without agents and
// takes its configuration from a service that can only be read.
type Direct struct {
	VM            string
	FailureDomain string
	// Regions has the region of each failure domain that routers and endpoints may be in,
	// this router's among them or not.
	Regions map[string]string
	// Control is where other routers reach this one; without it each reads the
	// source for itself. Seeds are the control addresses of some of them.
	Control string
	Seeds   []string
	// Cores and LinkMbps are this VM's share of the processor and its link, by
	// which routers choose who reads for others; 0 if that isn't known.
	Cores    float64
	LinkMbps float64
	// Memory is how many bytes this process may take, beyond which it is ended; 0 if that
	// isn't known.
	Memory int64
	// Callers, Ready and Metrics are the addresses to listen on; without a
	// metrics address none are served.
	Callers, Ready, Metrics string
	// ReadyPattern is the method and path by which the balancer asks.
	ReadyPattern string
	Store        follow.Store
	Protocol     upstream.Protocol
	// Health asks the endpoint at an address whether it is healthy and the one
	// of that name.
	Health func(ctx context.Context, c *http.Client, address, path, endpoint string) (upstream.Health, error)
	// Reload reads the settings again; its bounds then hold.
	Reload func() (DirectBounds, error)
	Bounds DirectBounds
}

// DirectBounds are what the operator demands of a router.
type DirectBounds struct {
	// RevokeWithin is how soon a revoked key must no longer work, wherever;
	// 0 demands nothing.
	RevokeWithin time.Duration
	// DrainWithin is how soon an endpoint that leaves must get no new work, and
	// ConfigWithin how soon a configuration must be in force; 0 demands nothing.
	DrainWithin  time.Duration
	ConfigWithin time.Duration
	// StopWithin is the time between the word to stop and the end by force.
	StopWithin time.Duration
	// RetryRatio and RetryWindow bound what endpoints get beyond the first
	// attempt of each request, and RetrySlack is how many more each service may get in
	// a window, each from all routers together. RetryBounded says that a ratio is stated,
	// which may be 0.
	RetryBounded bool
	RetryRatio   float64
	RetryWindow  time.Duration
	RetrySlack   float64
}

const (
	// directCollectorPercent keeps the heap small, as memory is dear on entry
	// VMs: at 40 a router peaked at 19.9 MB and took 18% more processor time
	// than at 100, where it peaked at 22.7 MB.
	directCollectorPercent = 50
	// Bounds on what callers may send before a configuration is known.
	directHeaderTimeout  = 10 * time.Second
	directMaxHeaderBytes = 64 << 10
	directBodyTimeout    = 30 * time.Second
	directMaxOpen        = 2000
	directMaxBodyBytes   = 32 << 20
	// maxNowhere bounds the names in a line on what may be served nowhere.
	maxNowhere = 16
)

// RunDirect runs a router that reaches its endpoints without agents until the
// environment's context ends.
func RunDirect(env *cli.Env, cfg Direct) error {
	paceCollector(directCollectorPercent)
	limitHeap(cfg.Memory)
	log := logging.NewBounded(env.Stdout).With().Str(logging.FieldRole, "direct").Str(logging.FieldVM, cfg.VM).Logger()
	d, err := newDirect(cfg, log)
	if err != nil {
		return err
	}
	log.Info().Str("listen", cfg.Callers).Dur("max_key_age", d.maxKeyAge()).Msg("starting")
	err = d.run(env.Ctx)
	log.Info().Err(err).Msg("stopped")
	return err
}

type directRouter struct {
	cfg      Direct
	bounds   atomic.Pointer[DirectBounds] // as the settings last said
	log      zerolog.Logger
	reg      *prometheus.Registry
	ready    *telemetry.Readiness
	follower *follow.Follower
	list     *endpointList
	pool     *balance.Pool
	members  *membership.Tracker
	client   *http.Client
	router   *router.Router
	callers  *server.Server
	poison   *poison.Table
	peers    *peers.Source // nil where each router reads for itself
	control  *control.Server
	share    endpointrate.Share // of what endpoints take from all routers
	retries  *retry.Budget
}

func newDirect(cfg Direct, log zerolog.Logger) (*directRouter, error) {
	d := &directRouter{cfg: cfg, log: log, reg: telemetry.NewRegistry(), client: server.NewDirectClient()}
	d.bounds.Store(&cfg.Bounds)
	d.ready = telemetry.NewReadiness(gateServing)
	policy := balance.NewPromptAware()
	d.pool = balance.NewPool(balance.Config{
		Policy: policy, Seed: membership.SeedOf(cfg.VM), RateShare: d.part, OnLimit: d.logLimit,
		OnDomainEvent: d.logSilentDomain,
	})
	d.registerLimits()
	d.registerSilences()
	d.members = newMembers(cfg.VM, d.pool, d.reg, log)
	d.poison = newPoison(cfg.VM, d.reg, log, d.checkLost)
	source, err := d.startPeers()
	if err != nil {
		return nil, err
	}
	d.follower = follow.New(follow.Config{
		Source: source, Timing: timing(cfg.Bounds), Log: log, Metrics: d.reg,
		OnDirectory: func(dir *directory.Directory) { d.list.take(dir) },
		OnConfig:    d.logNowhere,
	})
	if d.peers != nil {
		d.peers.SetState(d.follower)
		d.peers.ShareDemand(func() balance.Demand { return policy.Demand(time.Now()) })
		policy.SetPeerDemand(d.peers.PeerDemand)
		d.peers.ShareLoads(d.pool)
		d.peers.ShareFailures(d.pool)
		d.peers.SharePoison(d.poison)
		d.peers.ShareLimits(d.pool)
	}
	d.list = newEndpointList(d)
	d.router = d.newRouter()
	l, err := net.Listen("tcp", cfg.Callers)
	if err != nil {
		return nil, errors.Wrap(err, "listen for callers")
	}
	d.callers = server.New(server.Config{
		Listener: l, Handler: http.HandlerFunc(d.router.ServeRouted),
		HeaderTimeout: directHeaderTimeout, MaxHeaderBytes: directMaxHeaderBytes,
		Grace: cfg.Bounds.StopWithin, Linger: directLinger, Log: log,
	})
	return d, nil
}

func (d *directRouter) newRouter() *router.Router {
	open, bodies := directRoom(d.cfg.Memory)
	retries := directRetries(d.cfg.Bounds, d.routers, membership.SeedOf(d.cfg.VM))
	d.retries = retries.Budget
	d.reg.MustRegister(newRetryUsage(d.retries))
	return router.New(router.Config{
		Name:         d.cfg.VM,
		Pool:         d.pool,
		Client:       d.client,
		Retry:        retries,
		BodyTimeout:  directBodyTimeout,
		MaxOpen:      open,
		MaxBodyBytes: bodies,
		Observer:     d.members,
		Poison:       d.poison,
		Log:          d.log,
		Metrics:      d.reg,
		Routing: &router.Routing{
			Table:     d.table,
			Endpoints: d.endpoints,
			Region:    d.regionOf,
			Protocol:  d.cfg.Protocol,
			Client:    d.client,
			KeyAge:    d.follower.Age,
			MaxKeyAge: d.maxKeyAge,
			TurnAway:  func() bool { return !d.isReady() },
		},
	})
}

const (
	// trustShare of RevokeWithin is how old knowledge of keys may be. What
	// remains covers the way of a request from its caller.
	trustShare = 0.94
	// unreadyShare of the trusted age is where a router asks the balancer to
	// turn away: it will soon have to refuse.
	unreadyShare = 0.6
)

func (d *directRouter) maxKeyAge() time.Duration {
	return time.Duration(trustShare * float64(d.bounds.Load().RevokeWithin))
}

// table is the route table in force, nil before the first.
func (d *directRouter) table() *route.Table {
	t := d.follower.Table()
	if t == nil && d.peers != nil {
		d.peers.SkipPeerWait()
	}
	return t
}

func (d *directRouter) endpoints(service string) []*bundle.Endpoint {
	return d.follower.Directory().ByService(service)
}

// regionOf is the region of an endpoint's failure domain, empty if the settings don't name it.
func (d *directRouter) regionOf(e *bundle.Endpoint) string { return d.cfg.Regions[e.FailureDomain] }

// logNowhere warns of routes and teams that allow no region that there is: their requests are
// refused.
func (d *directRouter) logNowhere(c *route.Config) {
	routes, teams := c.Nowhere(slices.Collect(maps.Values(d.cfg.Regions)))
	if len(routes) == 0 && len(teams) == 0 {
		return
	}
	d.log.Warn().Uint64("version", c.Version).Strs("routes", routes[:min(len(routes), maxNowhere)]).
		Strs("teams", teams[:min(len(teams), maxNowhere)]).Int("routes_all", len(routes)).Int("teams_all", len(teams)).
		Msg("routes and teams allow no region that there is, or none that can be read: their requests are refused")
}

// serveReady tells the balancer whether to send new connections here.
func (d *directRouter) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !d.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (d *directRouter) isReady() bool {
	if len(d.ready.Closed()) > 0 || d.follower.Table() == nil || d.follower.Directory().Len() == 0 {
		return false
	}
	limit := time.Duration(unreadyShare * float64(d.maxKeyAge()))
	return limit == 0 || d.follower.Age() < limit && d.sourceLost() < limit
}

func (d *directRouter) run(ctx context.Context) error {
	var g run.Group
	var failed error
	addUntil(&g, ctx)
	addServer(&g, d.callers, d.stop, &failed)
	mux := http.NewServeMux()
	mux.HandleFunc(d.cfg.ReadyPattern, d.serveReady)
	ready, err := newAdminServer(d.cfg.Ready, mux)
	if err != nil {
		return err
	}
	addServer(&g, ready, ready.Stop, &failed)
	if d.cfg.Metrics != "" {
		metrics, err := newAdminServer(d.cfg.Metrics, telemetry.NewMux(d.reg, d.ready))
		if err != nil {
			return err
		}
		addServer(&g, metrics, metrics.Stop, &failed)
	}
	d.addPeers(&g, &failed)
	addLoop(&g, d.follower.Run)
	addLoop(&g, membership.NewHealthProber(d.members, d.list.health).Run)
	addLoop(&g, d.watchSilence)
	addLoop(&g, d.followSettings)
	d.ready.Open(gateServing)
	return errors.CombineErrors(g.Run(), failed)
}

// stop lets the balancer turn away, then finishes what is under way.
func (d *directRouter) stop() error {
	d.log.Info().Msg("stopping: new connections go elsewhere, open requests are finished")
	d.ready.Close(gateServing)
	plan := stopPlan(d.bounds.Load().StopWithin)
	return plan.Run(d.router.Leave, d.router.EndOpen, func() error {
		d.router.Refuse()
		return d.callers.StopWithin(plan.Grace)
	})
}

// addLoop adds an actor that runs until the group ends.
func addLoop(g *run.Group, loop func(context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error { loop(ctx); return nil }, func(error) { cancel() })
}
