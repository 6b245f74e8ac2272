package daemon

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"coveferry/internal/balance"
	"coveferry/internal/bundle"
	"coveferry/internal/cli"
	"coveferry/internal/control"
	"coveferry/internal/directory"
	"coveferry/internal/endpointrate"
	"coveferry/internal/fairshare"
	"coveferry/internal/follow"
	"coveferry/internal/logging"
	"coveferry/internal/membership"
	"coveferry/internal/peers"
	"coveferry/internal/poison"
	"coveferry/internal/retry"
	"coveferry/internal/route"
	"coveferry/internal/router"
	"coveferry/internal/runend"
	"coveferry/internal/server"
	"coveferry/internal/streamversion"
	"coveferry/internal/telemetry"
	"coveferry/internal/upstream"
)

// DirectConfig configures a router that sends requests to endpoints directly, without agents,
// and reads its configuration from a read-only service.
type DirectConfig struct {
	VM            string
	FailureDomain string
	// Regions maps each failure domain of routers and endpoints to its region. It may lack
	// this router's own failure domain.
	Regions map[string]string
	// Control is the address on which other routers reach this one; without it each router
	// reads the source itself. Seeds are the control addresses of some routers.
	Control string
	Seeds   []string
	// Cores and LinkMbps are the CPU and network capacity available to this VM, by which
	// routers elect the readers that read for others; 0 if unknown.
	Cores    float64
	LinkMbps float64
	// Memory is the process's memory limit in bytes, beyond which it is killed; 0 if unknown.
	Memory int64
	// Callers, Ready and Metrics are listen addresses. If Metrics is empty, no metrics are
	// served.
	Callers, Ready, Metrics string
	// ReadyPattern is the method and path of the load balancer's readiness check.
	ReadyPattern string
	Store        follow.Store
	Protocol     upstream.Protocol
	// Health checks that the endpoint at an address is healthy and has the given name.
	Health func(ctx context.Context, c *http.Client, address, path, endpoint string) (upstream.Health, error)
	// Running asks the model engine at an address whether it runs a request; nil if engines don't say. An
	// error means that no process answered.
	Running func(ctx context.Context, c *http.Client, address, requestID string) (bool, error)
	// Reload reads the settings again and returns the new bounds.
	Reload func() (DirectBounds, error)
	Bounds DirectBounds
	// LongestReturn is the longest time after the beginning of a stream in which its caller may resume it; 0
	// for the default.
	LongestReturn time.Duration
}

// DirectBounds are the operator's requirements of a router.
type DirectBounds struct {
	// RevokeWithin is the time within which a revoked key must stop working on all routers; 0
	// means no requirement.
	RevokeWithin time.Duration
	// DrainWithin is the time within which a draining endpoint must stop getting new requests,
	// ConfigWithin the time within which a new configuration must be in force; 0 means no
	// requirement.
	DrainWithin  time.Duration
	ConfigWithin time.Duration
	// StopWithin is the time between the stop signal and the forced kill.
	StopWithin time.Duration
	// RetryRatio and RetryWindow bound the attempts beyond the first one of each request, and
	// RetrySlack is the number of additional retries that each service may get in a window,
	// all counted over all routers. RetryRatioStated reports whether a ratio is stated, which may
	// be 0.
	RetryRatioStated bool
	RetryRatio       float64
	RetryWindow      time.Duration
	RetrySlack       float64
}

const (
	// directGCPercent keeps the heap small, since memory is scarce on entry VMs. Measured at
	// the values on either side of it: at 40 a router takes 18% more CPU time than at 100 and
	// peaks at 19.9 MB instead of 22.7 MB.
	directGCPercent = 50
	// Limits on callers' requests. They don't depend on the configuration, which may not be
	// known yet.
	directHeaderTimeout  = 10 * time.Second
	directMaxHeaderBytes = 64 << 10
	directBodyTimeout    = 30 * time.Second
	directMaxOpen        = 2000
	directMaxBodyBytes   = 32 << 20
	// maxLoggedNames bounds the route and team names in one log line.
	maxLoggedNames = 16
)

// RunDirect runs a router that sends requests to endpoints directly, until the environment's
// context ends.
func RunDirect(env *cli.Env, cfg DirectConfig) error {
	setGCPercent(directGCPercent)
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
	cfg      DirectConfig
	bounds   atomic.Pointer[DirectBounds] // from the settings last read
	log      zerolog.Logger
	reg      *prometheus.Registry
	ready    *telemetry.Readiness
	follower *follow.Follower
	updater  *directoryUpdater
	pool     *balance.Pool
	members  *membership.Tracker
	client   *http.Client
	// oneShotClient opens a connection for each request.
	oneShotClient *http.Client
	router        *router.Router
	callers       *server.Server
	poison        *poison.Table
	peers         *peers.Source // nil where each router reads for itself
	control       *control.Server
	shares        *fairshare.Ledger  // nil without peers
	share         endpointrate.Share // this router's share of endpoints' rate limits
	retries       *retry.Budget
	streams       *streamversion.Registry
	// refusalLog bounds the lines about distrusted endpoints.
	refusalLog *rate.Limiter
	paceLog    paceLog
}

func newDirect(cfg DirectConfig, log zerolog.Logger) (*directRouter, error) {
	d := &directRouter{cfg: cfg, log: log, reg: telemetry.NewRegistry(), client: server.NewDirectClient(), oneShotClient: server.NewOneShotClient(runend.ConnectTimeout), refusalLog: newRefusalLogLimit()}
	d.bounds.Store(&cfg.Bounds)
	d.ready = telemetry.NewReadiness(gateServing)
	policy := balance.NewPromptAware()
	d.pool = balance.NewPool(balance.Config{
		Policy: policy, Seed: membership.SeedOf(cfg.VM), RateShare: d.endpointRateShare, OnLimit: d.logLimit,
		OnDomainEvent: d.logDomainEvent, OnBackoff: d.logBackoff, OnRefusals: d.logRefusals, OnPace: d.logPace,
	})
	d.registerLimits()
	d.registerBackoffs()
	d.registerRefusals()
	d.registerUnresponsiveDomains()
	d.reg.MustRegister(newPaceCollector(d.pool))
	d.members = newMembershipTracker(cfg.VM, d.pool, d.reg, log)
	d.poison = newPoisonTable(cfg.VM, d.fleetSize, d.reg, log, d.checkCrashed)
	source, err := d.newSource()
	if err != nil {
		return nil, err
	}
	d.streams = d.newStreams()
	d.follower = follow.New(follow.Config{
		Source: source, Timing: sourceTiming(cfg.Bounds), Log: log, Metrics: d.reg,
		OnDirectory: func(dir *directory.Directory) { d.updater.update(dir) },
		OnReplaced:  func(entries []directory.Entry) { d.streams.RecordVersions(time.Now(), entries) },
		OnConfig:    d.applyConfig,
	})
	if d.peers != nil {
		d.peers.SetState(d.follower)
		d.peers.ShareDemand(func() balance.Demand { return policy.Demand(time.Now()) })
		policy.SetPeerDemand(d.peers.PeerDemand)
		d.peers.ShareLoads(d.pool)
		d.peers.ShareFailures(d.pool)
		d.peers.SharePoison(d.poison)
		d.peers.ShareLimits(d.pool)
		d.peers.ServeStreams(d.streams)
		d.shares = fairshare.New(fairshare.Config{Peers: d.peers.PeerTeamWork, Rand: rand.Float64})
		d.peers.ShareTeamWork(d.shares.Report)
	}
	d.updater = newDirectoryUpdater(d)
	d.router = d.newRouter()
	l, err := net.Listen("tcp", cfg.Callers)
	if err != nil {
		return nil, errors.Wrap(err, "listen for callers")
	}
	d.callers = server.New(server.Config{
		Listener: l, Handler: http.HandlerFunc(d.router.ServeRouted),
		HeaderTimeout: directHeaderTimeout, MaxHeaderBytes: directMaxHeaderBytes,
		Grace: cfg.Bounds.StopWithin, QuietPeriod: directQuietPeriod, Log: log,
	})
	return d, nil
}

func (d *directRouter) newRouter() *router.Router {
	open, bodies := directMemoryLimits(d.cfg.Memory)
	retries := directRetries(d.cfg.Bounds, d.fleetSize, membership.SeedOf(d.cfg.VM))
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
			Routes:                 d.routes,
			Endpoints:              d.endpoints,
			Region:                 d.regionOf,
			Protocol:               d.cfg.Protocol,
			Client:                 d.client,
			ProcessAlive:           d.updater.processAlive,
			RunEnds:                runend.New(d.askRunning, d.reg),
			MaxKeyAge:              d.maxKeyAge,
			Streams:                d.streams,
			Shares:                 d.shares,
			FleetSize:              d.fleetSize,
			ShouldCloseConnections: func() bool { return !d.isReady() },
		},
	})
}

const (
	// keyAgeShare of RevokeWithin is the maximum age of key data. The rest allows for the time
	// a request takes from its caller to this router.
	keyAgeShare = 0.94
	// unreadyShare of the maximum key age is the age at which a router reports not ready,
	// because it will soon have to refuse requests.
	unreadyShare = 0.6
)

func (d *directRouter) maxKeyAge() time.Duration {
	return time.Duration(keyAgeShare * float64(d.bounds.Load().RevokeWithin))
}

// routes returns the route table in force, and reads it at once if there is none yet.
func (d *directRouter) routes() route.Snapshot {
	routes := d.follower.Routes()
	if routes.Table == nil && d.peers != nil {
		d.peers.SkipPeerWait()
	}
	return routes
}

func (d *directRouter) endpoints(service string) []*bundle.Endpoint {
	return d.follower.Directory().ByService(service)
}

// regionOf returns the region of an endpoint's failure domain, empty if the settings don't
// list it.
func (d *directRouter) regionOf(e *bundle.Endpoint) string { return d.cfg.Regions[e.FailureDomain] }

// applyConfig is called with each configuration put in force.
func (d *directRouter) applyConfig(c *route.Config) {
	d.logUnservable(c)
	d.streams.SetLongestTimeout(c.LongestStreamTimeout())
}

// logUnservable warns of routes and teams whose allowed regions include no existing region:
// their requests are refused.
func (d *directRouter) logUnservable(c *route.Config) {
	routes, teams := c.Unservable(slices.Collect(maps.Values(d.cfg.Regions)))
	if len(routes) == 0 && len(teams) == 0 {
		return
	}
	d.log.Warn().Uint64("version", c.Version).Strs("routes", routes[:min(len(routes), maxLoggedNames)]).
		Strs("teams", teams[:min(len(teams), maxLoggedNames)]).Int("routes_all", len(routes)).Int("teams_all", len(teams)).
		Msg("routes and teams allow no existing region, or their list of regions is unreadable: their requests are refused")
}

// serveReady answers the load balancer's readiness check.
func (d *directRouter) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !d.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (d *directRouter) isReady() bool {
	known := d.follower.Snapshot()
	if len(d.ready.Closed()) > 0 || known.Table == nil || known.Directory.Len() == 0 {
		return false
	}
	limit := time.Duration(unreadyShare * float64(d.maxKeyAge()))
	return limit == 0 || !known.Age.Exceeds(limit) && d.sourceUnavailableFor() < limit
}

func (d *directRouter) run(ctx context.Context) error {
	var g run.Group
	var stopErr error
	addContextActor(&g, ctx)
	addServer(&g, d.callers, d.stop, &stopErr)
	mux := http.NewServeMux()
	mux.HandleFunc(d.cfg.ReadyPattern, d.serveReady)
	ready, err := newAdminServer(d.cfg.Ready, mux)
	if err != nil {
		return err
	}
	addServer(&g, ready, ready.Stop, &stopErr)
	if d.cfg.Metrics != "" {
		metrics, err := newAdminServer(d.cfg.Metrics, telemetry.NewMux(d.reg, d.ready))
		if err != nil {
			return err
		}
		addServer(&g, metrics, metrics.Stop, &stopErr)
	}
	d.addPeers(&g, &stopErr)
	addLoop(&g, d.follower.Run)
	addLoop(&g, d.streams.Run)
	addLoop(&g, membership.NewHealthProber(d.members, d.updater.checkHealth).Run)
	addLoop(&g, d.watchUnresponsive)
	addLoop(&g, d.watchPaces)
	addLoop(&g, d.followSettings)
	d.ready.Open(gateServing)
	return errors.CombineErrors(g.Run(), stopErr)
}

// stop reports not ready so that the load balancer stops sending connections, then finishes
// open requests.
func (d *directRouter) stop() error {
	d.log.Info().Msg("stopping: reporting not ready and finishing open requests")
	d.ready.Close(gateServing)
	return d.router.Stop(stopPlan(d.bounds.Load().StopWithin), d.callers.StopWithin)
}

// addLoop adds an actor that runs until the group ends. It does the same as addRunner.
func addLoop(g *run.Group, loop func(context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error { loop(ctx); return nil }, func(error) { cancel() })
}
