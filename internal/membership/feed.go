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

// Intervals and bounds of the feed.
const (
	// minPollInterval is the interval at which a short list is read.
	// pollBytesPerSecond is how much of a router's bandwidth budget, in bytes a
	// second, reading a long list may use.
	minPollInterval    = 700 * time.Millisecond
	pollBytesPerSecond = 8 << 10
	// maxMeanPollInterval is the longest mean time between two consecutive reads by
	// all routers together. It takes precedence over pollBytesPerSecond if there are
	// few routers and the list is long.
	maxMeanPollInterval = 250 * time.Millisecond
	// bytesPerVM is the size of an entry in the platform's response.
	bytesPerVM = 95
	// watchWait is how long the server of a watch waits for a change before it
	// replies, and watchTimeout bounds the call.
	watchWait    = 2 * time.Second
	watchTimeout = watchWait + time.Second
	// watchRetry is the delay before the next router is tried after a failure.
	watchRetry = 500 * time.Millisecond
	// watchesInDomain and watchesOutsideDomain are how many routers are watched in
	// the router's own failure domain and in all others.
	watchesInDomain      = 2
	watchesOutsideDomain = 2
	// routersCheckInterval is how often the bundle's routers are checked for changes.
	routersCheckInterval = time.Second
)

// WatchRequest asks a router for the changes that the caller's list lacks.
type WatchRequest struct {
	// At is the time as of which the caller's list is valid; zero if it has none.
	At time.Time `json:"at,omitzero"`
}

var methodWatch = control.NewMethod[WatchRequest, Update]("membership.watch", identity.RoleRouter).
	WithTimeout(watchTimeout)

// FeedConfig configures a Feed.
type FeedConfig struct {
	Tracker *Tracker
	// Name and FailureDomain are this router's.
	Name, FailureDomain string
	// Platform holds a client for each server of the platform's list. If it is empty,
	// the list comes from other routers only.
	Platform []*PlatformClient
	// Routers returns the routers of the bundle in force.
	Routers func() []bundle.Router
	Client  control.ClientConfig
	Log     zerolog.Logger
}

// Feed supplies the platform's list to a tracker. A router reads the list less often
// the longer the list is and the more routers there are, which bounds the router's
// bandwidth and the platform's load. It also watches a few other routers, which send
// changes as soon as they have read them. Feed is safe for concurrent use.
type Feed struct {
	cfg  FeedConfig
	pool *control.Pool

	mu      sync.Mutex
	history listHistory
	// needsFullList means that the last update's checksum didn't match, so the next
	// watch requests the full list.
	needsFullList bool
	changed       chan struct{} // closed and replaced at each change
}

// NewFeed returns a feed without a list.
func NewFeed(cfg FeedConfig) *Feed {
	return &Feed{cfg: cfg, pool: control.NewPool(cfg.Client, 0), changed: make(chan struct{})}
}

// Register adds the method that serves watches to a router's control channel.
func (f *Feed) Register(srv *control.Server) { control.Register(srv, methodWatch, f.serveWatch) }

// Run reads the platform's list and watches other routers until ctx ends.
func (f *Feed) Run(ctx context.Context) {
	defer f.pool.Close()
	var wg sync.WaitGroup
	defer wg.Wait()
	if len(f.cfg.Platform) > 0 {
		wg.Go(func() { f.pollAll(ctx) })
	}
	for ctx.Err() == nil {
		f.watchRouters(ctx, f.cfg.Routers())
	}
}

// watchRouters watches some of the routers until the bundle's routers change.
func (f *Feed) watchRouters(ctx context.Context, routers []bundle.Router) {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	for _, candidates := range watchCandidates(f.cfg.Name, f.cfg.FailureDomain, routers) {
		wg.Go(func() { f.watch(ctx, candidates) })
	}
	for ctx.Err() == nil && slices.Equal(f.cfg.Routers(), routers) {
		clock.Sleep(ctx, routersCheckInterval)
	}
}

// pollAll reads from the platform's servers in turn. The first read is immediate and
// the second after a random delay, so that routers that start together spread out.
func (f *Feed) pollAll(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		f.poll(ctx, f.cfg.Platform[i%len(f.cfg.Platform)])
		pause := f.pollInterval()
		if i == 0 {
			pause = time.Duration(rand.Int64N(int64(pause)))
		}
		clock.Sleep(ctx, pause-time.Duration(rand.Int64N(int64(pause)/4+1)))
	}
}

func (f *Feed) poll(ctx context.Context, p *PlatformClient) {
	read, err := p.Read(ctx)
	if ctx.Err() != nil {
		return
	}
	f.cfg.Tracker.metrics.reads.WithLabelValues("platform", outcomeOf(err)).Inc()
	if err != nil {
		f.cfg.Log.Warn().Err(err).Msg("reading the platform's list failed; keeping the last valid list")
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if !f.history.shouldApply(now, read.At, f.staleAfter()) {
		return
	}
	f.history.replace(now, read)
	f.notifyChanged()
	f.cfg.Tracker.HandleEvent(read)
}

func (f *Feed) staleAfter() time.Duration { return f.cfg.Tracker.core.tuning.ListStaleAfter }

// notifyChanged wakes the watches that wait for a change. f.mu must be held.
func (f *Feed) notifyChanged() {
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *Feed) pollInterval() time.Duration {
	routers := len(f.cfg.Routers())
	f.mu.Lock()
	defer f.mu.Unlock()
	return pollIntervalFor(len(f.history.vms), routers)
}

// pollIntervalFor returns how long each router waits between two reads of the list.
func pollIntervalFor(vms, routers int) time.Duration {
	byBytes := time.Duration(vms) * bytesPerVM * time.Second / pollBytesPerSecond
	byRouters := time.Duration(routers) * maxMeanPollInterval
	return max(minPollInterval, min(byBytes, byRouters))
}

// watch watches one of the candidates at a time and switches to the next one after
// a failure.
func (f *Feed) watch(ctx context.Context, candidates []control.Target) {
	for i := 0; ctx.Err() == nil; {
		err := f.watchOnce(ctx, candidates[i])
		if err != nil {
			i = (i + 1) % len(candidates)
		}
		if err != nil || f.watchRequest().At.IsZero() {
			clock.Sleep(ctx, watchRetry) // a request for the full list is answered at once
		}
	}
}

// watchOnce sends one watch request and merges the update.
func (f *Feed) watchOnce(ctx context.Context, from control.Target) error {
	u, err := control.Call(ctx, f.pool.Client(from), methodWatch, f.watchRequest())
	if ctx.Err() != nil {
		return err
	}
	f.cfg.Tracker.metrics.reads.WithLabelValues("router", outcomeOf(err)).Inc()
	if err == nil {
		f.merge(u)
	}
	return err
}

func (f *Feed) watchRequest() WatchRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.needsFullList {
		return WatchRequest{}
	}
	return WatchRequest{At: f.history.asOf}
}

func (f *Feed) merge(u Update) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	repairs := f.needsFullList && u.Full && u.At.Equal(f.history.asOf)
	if !repairs && !f.history.shouldApply(now, u.At, f.staleAfter()) {
		return
	}
	changed := f.history.merge(now, u)
	f.needsFullList = !f.history.matches(u)
	if changed {
		f.notifyChanged()
		f.cfg.Tracker.HandleEvent(f.history.toListRead())
		return
	}
	f.cfg.Tracker.HandleEvent(ListUnchanged{At: f.history.asOf})
}

// serveWatch replies as soon as there is a change that the caller's list lacks, or
// after watchWait.
func (f *Feed) serveWatch(ctx context.Context, _ identity.Peer, req WatchRequest) (Update, error) {
	timer := time.NewTimer(watchWait)
	defer timer.Stop()
	for waiting := true; waiting; {
		f.mu.Lock()
		hasChange, changed := f.history.changedSince(req.At), f.changed
		f.mu.Unlock()
		if hasChange {
			break
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-ctx.Done():
			return Update{}, ctx.Err()
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.history.vms == nil {
		return Update{}, &control.Error{Code: control.CodeUnavailable, Message: "no list yet"}
	}
	return f.history.updateSince(req.At), nil
}
