package membership

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"coveferry/internal/bundle"
	"coveferry/internal/clock"
	"coveferry/internal/control"
	"coveferry/internal/identity"
)

// Numbers of the feed.
const (
	// minReadEvery is the pace of reading a short list, and readBytes what
	// reading a long one may take of a router's allowance, in bytes a second.
	minReadEvery = 700 * time.Millisecond
	readBytes    = 8 << 10
	// readGap is the mean time between two readings by any router that must be
	// kept, also where few routers have a long list and exceed readBytes.
	readGap = 250 * time.Millisecond
	// bytesPerVM is an entry's size in the platform's answer.
	bytesPerVM = 95
	// watchWait is how long a router waits to be told of a change, and
	// watchTimeout bounds the call.
	watchWait    = 2 * time.Second
	watchTimeout = watchWait + time.Second
	// watchRetry is the delay before another router is watched after a failure.
	watchRetry = 500 * time.Millisecond
	// watchesInside and watchesOutside are how many routers are watched in the
	// own failure domain and in others.
	watchesInside  = 2
	watchesOutside = 2
	// rosterEvery is how often the bundle's routers are looked at.
	rosterEvery = time.Second
)

// Watch asks a router for what its list has that the caller's lacks.
type Watch struct {
	// At is the moment that the caller's list describes; zero if it has none.
	At time.Time `json:"at,omitzero"`
}

var methodWatch = control.NewMethod[Watch, Update]("membership.watch", identity.RoleRouter).
	WithTimeout(watchTimeout)

// FeedConfig is what a feed needs.
type FeedConfig struct {
	Tracker *Tracker
	// Name and FailureDomain are the router's.
	Name, FailureDomain string
	// Platform are the servers of the platform's list; with none the list
	// comes from other routers only.
	Platform []*Platform
	// Routers lists those of the bundle in force.
	Routers func() []bundle.Router
	Client  control.ClientConfig
	Log     zerolog.Logger
}

// Feed brings the platform's list to a tracker. A router reads the platform
// seldom, the more seldom the longer the list is, and hears from a few other
// routers at once what they have read. It is safe for concurrent use.
type Feed struct {
	cfg  FeedConfig
	pool *control.Pool

	mu     sync.Mutex
	ledger ledger
	// differs says that the last update showed this list to be another one,
	// so that the whole is wanted next.
	differs bool
	changed chan struct{} // closed and renewed with each change
}

// NewFeed returns a feed that has no list yet.
func NewFeed(cfg FeedConfig) *Feed {
	return &Feed{cfg: cfg, pool: control.NewPool(cfg.Client, 0), changed: make(chan struct{})}
}

// Register adds to a router's control channel the method by which others watch
// its list.
func (f *Feed) Register(srv *control.Server) { control.Register(srv, methodWatch, f.serveWatch) }

// Run reads and watches until ctx ends.
func (f *Feed) Run(ctx context.Context) {
	defer f.pool.Close()
	var work sync.WaitGroup
	defer work.Wait()
	if len(f.cfg.Platform) > 0 {
		work.Go(func() { f.readAll(ctx) })
	}
	for ctx.Err() == nil {
		f.watchRouters(ctx, f.cfg.Routers())
	}
}

// watchRouters watches some of the routers until the bundle names others.
func (f *Feed) watchRouters(ctx context.Context, routers []bundle.Router) {
	ctx, cancel := context.WithCancel(ctx)
	var work sync.WaitGroup
	defer work.Wait()
	defer cancel()
	for _, candidates := range lanes(f.cfg.Name, f.cfg.FailureDomain, routers) {
		work.Go(func() { f.watch(ctx, candidates) })
	}
	for ctx.Err() == nil && slices.Equal(f.cfg.Routers(), routers) {
		clock.Sleep(ctx, rosterEvery)
	}
}

// readAll reads the platform's servers in turn. The first reading comes at once,
// the second at a random moment, so that routers that start together part.
func (f *Feed) readAll(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		f.read(ctx, f.cfg.Platform[i%len(f.cfg.Platform)])
		pause := f.pace()
		if i == 0 {
			pause = time.Duration(rand.Int64N(int64(pause)))
		}
		clock.Sleep(ctx, pause-time.Duration(rand.Int64N(int64(pause)/4+1)))
	}
}

func (f *Feed) read(ctx context.Context, p *Platform) {
	read, err := p.Read(ctx)
	if ctx.Err() != nil {
		return
	}
	f.cfg.Tracker.metrics.reads.WithLabelValues("platform", outcomeOf(err)).Inc()
	if err != nil {
		f.cfg.Log.Warn().Err(err).Msg("the last good list stays")
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if !f.ledger.wants(now, read.At, f.stale()) {
		return
	}
	f.ledger.take(now, read)
	f.wake()
	f.cfg.Tracker.Learn(read)
}

func (f *Feed) stale() time.Duration { return f.cfg.Tracker.core.tuning.ListStale }

// wake tells those that wait for a change. f.mu is held.
func (f *Feed) wake() {
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *Feed) pace() time.Duration {
	routers := len(f.cfg.Routers())
	f.mu.Lock()
	defer f.mu.Unlock()
	return readEvery(len(f.ledger.vms), routers)
}

// readEvery is how often one of so many routers reads a list of so many VMs.
func readEvery(vms, routers int) time.Duration {
	cheap := time.Duration(vms) * bytesPerVM * time.Second / readBytes
	soon := time.Duration(routers) * readGap
	return max(minReadEvery, min(cheap, soon))
}

// watch keeps watching one of the candidates, the next one after each failure.
func (f *Feed) watch(ctx context.Context, candidates []control.Target) {
	for i := 0; ctx.Err() == nil; {
		err := f.ask(ctx, candidates[i])
		if err != nil {
			i = (i + 1) % len(candidates)
		}
		if err != nil || f.request().At.IsZero() {
			clock.Sleep(ctx, watchRetry) // one that wants the whole is answered at once
		}
	}
}

// ask watches once.
func (f *Feed) ask(ctx context.Context, from control.Target) error {
	u, err := control.Call(ctx, f.pool.Client(from), methodWatch, f.request())
	if ctx.Err() != nil {
		return err
	}
	f.cfg.Tracker.metrics.reads.WithLabelValues("router", outcomeOf(err)).Inc()
	if err == nil {
		f.merge(u)
	}
	return err
}

func (f *Feed) request() Watch {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.differs {
		return Watch{}
	}
	return Watch{At: f.ledger.at}
}

func (f *Feed) merge(u Update) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	repairs := f.differs && u.Whole && u.At.Equal(f.ledger.at)
	if !repairs && !f.ledger.wants(now, u.At, f.stale()) {
		return
	}
	changed := f.ledger.merge(now, u)
	f.differs = !f.ledger.matches(u)
	if changed {
		f.wake()
		f.cfg.Tracker.Learn(f.ledger.read())
		return
	}
	f.cfg.Tracker.Learn(ListRenewed{At: f.ledger.at})
}

// serveWatch replies when there is a change that the caller lacks, or when the
// caller's wait is over.
func (f *Feed) serveWatch(ctx context.Context, _ identity.Peer, req Watch) (Update, error) {
	over := time.NewTimer(watchWait)
	defer over.Stop()
	for waiting := true; waiting; {
		f.mu.Lock()
		news, changed := f.ledger.hasNews(req.At), f.changed
		f.mu.Unlock()
		if news {
			break
		}
		select {
		case <-changed:
		case <-over.C:
			waiting = false
		case <-ctx.Done():
			return Update{}, ctx.Err()
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ledger.vms == nil {
		return Update{}, &control.Error{Code: control.CodeUnavailable, Message: "no list yet"}
	}
	return f.ledger.since(req.At), nil
}
