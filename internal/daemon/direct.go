package daemon

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"coveferry/internal/balance"
	"coveferry/internal/bundle"
	"coveferry/internal/cli"
	"coveferry/internal/directory"
	"coveferry/internal/follow"
	"coveferry/internal/logging"
	"coveferry/internal/membership"
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
	VM string
	// Callers, Ready and Metrics are the addresses to listen on; without a
	// metrics address none are served.
	Callers, Ready, Metrics string
	// ReadyPattern is the method and path by which the balancer asks.
	ReadyPattern string
	Source       follow.Source
	Protocol     upstream.Protocol
	// Health asks the endpoint at an address whether it is healthy and the one
	// of that name.
	Health func(ctx context.Context, c *http.Client, address, path, endpoint string) (sent bool, err error)
	// Reload reads the settings again; its bounds then hold.
	Reload func() (DirectBounds, error)
	Bounds DirectBounds
}

// DirectBounds are what the operator demands of a router.
type DirectBounds struct {
	// RevokeWithin is how soon a revoked key must no longer work, wherever;
	// 0 demands nothing.
	RevokeWithin time.Duration
	// DrainWithin is how soon an endpoint that leaves must get no new work.
	DrainWithin time.Duration
	// StopWithin is the time between the word to stop and the end by force.
	StopWithin time.Duration
	// RetryRatio and RetryWindow bound what endpoints get beyond the first
	// attempt of each request.
	RetryRatio  float64
	RetryWindow time.Duration
}

// Shares of the operator's bounds by which a direct router sets its own times.
const (
	// trustShare of RevokeWithin is how old knowledge of keys may be. What
	// remains covers the way of a request from its caller.
	trustShare = 0.94
	// waitShare of RevokeWithin is how long one call waits for news, so that
	// several may fail in a row before keys are no longer trusted.
	waitShare = 0.2
	// listShare of DrainWithin lies between two readings of the list, so that
	// one may be lost and another be old.
	listShare = 0.25
	// budgetShare of the operator's ratio is used for retries: callers' own
	// count as requests, but those at the window's edges may count twice.
	budgetShare = 0.75
	// noticeShare of StopWithin is the most that passes before a stopping
	// router refuses new requests.
	noticeShare = 0.33
	// unreadyShare of the trusted age is where a router asks the balancer to
	// turn away: it will soon have to refuse.
	unreadyShare = 0.6
)

const (
	// defaultWait is how long a call waits for news where no bound demands
	// less, and defaultList the time between two readings of the list.
	defaultWait = 5 * time.Second
	defaultList = time.Second
	// readTimeout bounds one reading; the service answers in milliseconds, in
	// a quarter of a second when it is slow.
	readTimeout = 600 * time.Millisecond
	// watchSlack is the same for a call that waits.
	watchSlack = 400 * time.Millisecond
	// listReturn is how long entries may take to be back after the service was
	// away; the operators say about two seconds.
	listReturn = 2500 * time.Millisecond
	// directNotice is how long the balancer goes on sending connections after a
	// router has said that it takes no more: two questions a second apart.
	directNotice = 2500 * time.Millisecond
	// directMargin is what a stop leaves for callers to be told that their
	// answers end early, and again for the process to end by itself.
	directMargin = 400 * time.Millisecond
	// silenceLimit is the silence, over all open requests at an endpoint, after
	// which it is asked for its health: longer than the longest prompts take to
	// be read where nothing else runs, and a third of the time in which the
	// list drops an endpoint that has gone dark.
	silenceLimit = time.Second
	silenceTick  = 200 * time.Millisecond
	// directLinger is the quiet after which a stopping router closes
	// connections.
	directLinger = 300 * time.Millisecond
	// directCollectorPercent keeps the heap small: memory is dear on entry VMs.
	directCollectorPercent = 100
	// Bounds on what callers may send before a configuration is known.
	directHeaderTimeout  = 10 * time.Second
	directMaxHeaderBytes = 64 << 10
	directBodyTimeout    = 30 * time.Second
	directMaxOpen        = 2000
	directMaxBodyBytes   = 32 << 20
)

// RunDirect runs a router that reaches its endpoints without agents until the
// environment's context ends.
func RunDirect(env *cli.Env, cfg Direct) error {
	debug.SetGCPercent(directCollectorPercent)
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
	log      zerolog.Logger
	reg      *prometheus.Registry
	ready    *telemetry.Readiness
	follower *follow.Follower
	pool     *balance.Pool
	members  *membership.Tracker
	client   *http.Client
	router   *router.Router
	callers  *server.Server
}

func newDirect(cfg Direct, log zerolog.Logger) (*directRouter, error) {
	d := &directRouter{cfg: cfg, log: log, reg: telemetry.NewRegistry(), client: server.NewDirectClient()}
	d.ready = telemetry.NewReadiness(gateServing)
	pool := balance.NewPool(balance.Config{Policy: balance.NewPromptAware(), Seed: uint64(os.Getpid())})
	d.pool = pool
	d.members = newMembers(cfg.VM, pool, d.reg, log)
	d.follower = follow.New(follow.Config{
		Source: cfg.Source, Timing: timing(cfg.Bounds), Log: log,
		OnTable:     func(*route.Table) {},
		OnDirectory: d.takeDirectory,
	})
	d.router = router.New(router.Config{
		Name:         cfg.VM,
		Pool:         pool,
		Client:       d.client,
		Retry:        directRetries(cfg.Bounds),
		BodyTimeout:  directBodyTimeout,
		MaxOpen:      directMaxOpen,
		MaxBodyBytes: directMaxBodyBytes,
		Observer:     d.members,
		Log:          log,
		Metrics:      d.reg,
		Routing: &router.Routing{
			Table:     d.follower.Table,
			Endpoints: d.endpoints,
			Protocol:  cfg.Protocol,
			Client:    d.client,
			KeyAge:    d.follower.Age,
			MaxKeyAge: d.maxKeyAge(),
		},
	})
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

func timing(b DirectBounds) follow.Timing {
	t := follow.Timing{
		Wait: defaultWait, Slack: watchSlack, ListEvery: defaultList, Read: readTimeout, Return: listReturn,
	}
	if b.RevokeWithin > 0 {
		t.Wait = time.Duration(waitShare * float64(b.RevokeWithin))
	}
	if b.DrainWithin > 0 {
		t.ListEvery = time.Duration(listShare * float64(b.DrainWithin))
	}
	return t
}

func directRetries(b DirectBounds) *retry.Policy {
	return &retry.Policy{
		ChargeAll: true,
		Budget:    retry.NewBudget(retry.BudgetConfig{Ratio: budgetShare * b.RetryRatio, Window: b.RetryWindow, Floor: retryFloor}),
	}
}

// retryFloor is how many retries a second a router may make besides its share
// of the requests, so that one with little traffic can retry at all. A hundred
// routers stay within a slack of a hundred in ten seconds.
const retryFloor = 0.1

func (d *directRouter) maxKeyAge() time.Duration {
	return time.Duration(trustShare * float64(d.cfg.Bounds.RevokeWithin))
}

// takeDirectory has membership follow the list of endpoints.
func (d *directRouter) takeDirectory(dir *directory.Directory) {
	entries := dir.Entries()
	places := make([]membership.Place, len(entries))
	vms := make([]membership.VM, len(entries))
	for i, e := range entries {
		places[i] = membership.Place{Endpoint: e.Endpoint.Name, VM: e.Endpoint.VM, Address: e.Endpoint.Address}
		vms[i] = membership.VM{Name: e.Endpoint.VM, Leaving: e.Draining}
	}
	d.members.Learn(membership.Bundle{Places: places})
	d.members.Learn(membership.ListRead{VMs: vms, At: time.Unix(int64(dir.Revision()), 0)})
}

func (d *directRouter) endpoints(service string) []*bundle.Endpoint {
	return d.follower.Directory().For(service)
}

// health asks an endpoint whether it is healthy.
func (d *directRouter) health(ctx context.Context, name string) (bool, error) {
	entry, ok := d.follower.Directory().Entry(name)
	if !ok {
		return false, errors.Newf("endpoint %s is not listed", name)
	}
	return d.cfg.Health(ctx, d.client, entry.Endpoint.Address, d.healthPath(entry.Endpoint.Services), name)
}

func (d *directRouter) healthPath(services []string) string {
	table := d.follower.Table()
	if table == nil || len(services) == 0 {
		return "/"
	}
	s := table.Service(services[0])
	if s == nil || s.HealthPath == "" {
		return "/"
	}
	return s.HealthPath
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
	limit := d.maxKeyAge()
	return limit == 0 || d.follower.Age() < time.Duration(unreadyShare*float64(limit))
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
	addLoop(&g, d.follower.Run)
	addLoop(&g, membership.NewHealthProber(d.members, d.health).Run)
	addLoop(&g, d.watchSilence)
	addLoop(&g, d.reloadOnHangup)
	d.ready.Open(gateServing)
	return errors.CombineErrors(g.Run(), failed)
}

// stop lets the balancer turn away, then finishes what is under way.
func (d *directRouter) stop() error {
	d.log.Info().Msg("stopping: new connections go elsewhere, open requests are finished")
	d.ready.Close(gateServing)
	notice := min(directNotice, time.Duration(noticeShare*float64(d.cfg.Bounds.StopWithin)))
	plan := server.Plan{Notice: notice, Grace: d.cfg.Bounds.StopWithin - notice - directMargin, Margin: directMargin}
	return plan.Run(d.router.Leave, d.router.EndOpen, func() error {
		d.router.Refuse()
		return d.callers.StopWithin(plan.Grace)
	})
}

// watchSilence has endpoints asked for their health from which nothing comes
// though requests are open there. The requests themselves wait on.
func (d *directRouter) watchSilence(ctx context.Context) {
	tick := time.NewTicker(silenceTick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			for _, endpoint := range d.pool.Silent(now, silenceLimit) {
				d.members.Learn(membership.Silence{Endpoint: endpoint})
			}
		}
	}
}

// reloadOnHangup reads the settings again at each SIGHUP.
func (d *directRouter) reloadOnHangup(ctx context.Context) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		if _, err := d.cfg.Reload(); err != nil {
			d.log.Error().Err(err).Msg("settings could not be read again; the old ones stay")
			continue
		}
		d.log.Info().Msg("settings read again")
	}
}

// addLoop adds an actor that runs until the group ends.
func addLoop(g *run.Group, loop func(context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error { loop(ctx); return nil }, func(error) { cancel() })
}
