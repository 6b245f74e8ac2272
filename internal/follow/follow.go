package follow

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"coveferry/internal/clock"
	"coveferry/internal/directory"
	"coveferry/internal/idle"
	"coveferry/internal/route"
)

// Timing is how often a source is asked and when a call is given up.
type Timing struct {
	// Wait is how long a call waits for a change. With Slack it bounds how old
	// the knowledge of a calm source gets.
	Wait time.Duration
	// Slack is how much longer than it should a call may take before something
	// comes, and may then be silent, before it is given up.
	Slack time.Duration
	// Pace is the least time between two calls that succeed, so that a source
	// in which something changes all the time isn't asked without a pause.
	Pace time.Duration
	// Outage is the time between two moments of which the source told, beyond
	// which it counts as having been away, and Return how long entries may take
	// to be back in the list then.
	Outage, Return time.Duration
}

// Bounds of the pause after a call that failed.
const (
	firstPause = 50 * time.Millisecond
	maxPause   = 400 * time.Millisecond
)

// AtOnce is the wait of a call behind one that failed: what matters then is to
// know again soon, and an answer tells of the moment at which it was asked for.
const AtOnce = time.Millisecond

// Config is what a Follower needs.
type Config struct {
	Source Source
	Timing Timing
	// OnDirectory takes a list that has changed. It must not wait.
	OnDirectory func(*directory.Directory)
	// OnConfig takes a configuration that is in force; nil for nobody. It must not wait.
	OnConfig func(*route.Config)
	// Clock tells ages; nil is clock.Boot, which also counts the time for which
	// the VM was suspended.
	Clock clock.Clock
	Log   zerolog.Logger
	// Metrics takes the follower's counters; nil for none.
	Metrics prometheus.Registerer
}

// Follower holds what was read last. It is safe for concurrent use.
type Follower struct {
	cfg       Config
	table     atomic.Pointer[route.Table]
	config    atomic.Pointer[route.Config]
	directory atomic.Pointer[directory.Directory]
	// confirmed is when the call was sent that last confirmed what is known, by
	// the clock; nil before the first.
	confirmed atomic.Pointer[time.Time]
	source    link
	// keepAbsentUntil is until when endpoints stay that the list lacks after an
	// outage. Only Run uses it.
	keepAbsentUntil time.Time
	// gap is that for which they are kept. Only Run uses it.
	gap Span
	// arrival is how long the last configuration took to arrive. Only Run uses it.
	arrival time.Duration
	// unreadable are the entries of the list that can't be used. Only Run uses it.
	unreadable *unreadable
}

// New returns a follower that knows nothing until Run.
func New(cfg Config) *Follower {
	if cfg.Clock == nil {
		cfg.Clock = clock.Boot
	}
	f := &Follower{cfg: cfg}
	f.directory.Store(directory.Empty())
	f.unreadable = newUnreadable(cfg.Log, cfg.Metrics)
	if cfg.Metrics != nil {
		cfg.Metrics.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "coveferry_list_kept_endpoints",
			Help: "Endpoints that are used though the list lacks them, since it may have lost their entries in an outage.",
		}, func() float64 { return float64(f.Directory().Kept()) }))
	}
	f.source = link{name: "configuration and list of endpoints", log: cfg.Log}
	return f
}

// Table is the newest route table, nil before the first was read.
func (f *Follower) Table() *route.Table { return f.table.Load() }

// Directory is the newest list of endpoints; it is empty before the first.
func (f *Follower) Directory() *directory.Directory { return f.directory.Load() }

// Config is what the table was built from, nil before the first was read.
func (f *Follower) Config() *route.Config { return f.config.Load() }

// never is the age of knowledge that there is none of.
const never = time.Duration(1<<63 - 1)

// Age is how long ago the table and the list were certainly the newest.
func (f *Follower) Age() time.Duration {
	at := f.confirmed.Load()
	if at == nil {
		return never
	}
	return f.cfg.Clock().Sub(*at)
}

// want is what to ask of the source next.
type want struct {
	// whole asks for everything rather than for what changed, and fresh for no
	// cheaper reading.
	whole, fresh bool
	wait         time.Duration
}

// Run follows the source until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	next := want{whole: true}
	pause := firstPause
	for ctx.Err() == nil {
		sent := time.Now()
		err := f.step(ctx, next)
		if err == nil {
			f.source.worked()
			next = want{wait: f.nextWait(time.Now())}
			pause = firstPause
			clock.Sleep(ctx, f.cfg.Timing.Pace-time.Since(sent))
			continue
		}
		if ctx.Err() != nil {
			return
		}
		next = f.afterFailure(next, err)
		clock.Sleep(ctx, pause)
		pause = min(2*pause, maxPause)
	}
}

// nextWait is how long the next call waits: as short as may be while endpoints are only
// kept for a while, since others may tell that they have left, and shorter by what a
// configuration takes to arrive. Until the next one has arrived nothing confirms what is
// known: with 1.1 s, of a megabyte over 10 Mbit/s, it was 4.0 s old where calls waited for a
// second besides, too old for peers (2.4 s) and to stay ready (2.8 s).
func (f *Follower) nextWait(now time.Time) time.Duration {
	wait := max(f.cfg.Timing.Wait-f.arrival, min(f.cfg.Timing.Wait, f.cfg.Timing.Pace))
	if left := f.keepAbsentUntil.Sub(now); left > 0 {
		wait = min(wait, f.cfg.Timing.Pace, left+time.Millisecond)
	}
	return wait
}

// afterFailure is what to ask for after a call that failed. What changed while
// the source was away it still knows, unless it says otherwise.
func (f *Follower) afterFailure(last want, err error) want {
	var unusable *UnusableError
	switch {
	case errors.Is(err, ErrHistoryLost):
		// A cheap reading may be older than what was known before.
		return want{whole: true, fresh: true}
	case errors.As(err, &unusable):
		return want{whole: true}
	}
	f.source.failed(err)
	last.wait = AtOnce
	return last
}

// step asks the source once and takes in what it says.
func (f *Follower) step(ctx context.Context, w want) error {
	sent := f.cfg.Clock()
	r, err := f.ask(ctx, w)
	if err != nil {
		return err
	}
	at := sent.Add(-r.Age)
	f.unreadable.take(r.List)
	f.merge(r, at)
	if r.Unreadable != nil {
		f.cfg.Log.Error().Err(r.Unreadable).Msg("a configuration can't be read; the last one stays")
		return &UnusableError{Cause: r.Unreadable}
	}
	if r.Config != nil {
		f.arrival = r.Arrival
		if err := f.take(r.Config); err != nil {
			return err
		}
	}
	f.confirm(at)
	return nil
}

func (f *Follower) ask(ctx context.Context, w want) (Reading, error) {
	if w.whole {
		return f.cfg.Source.Read(ctx, w.fresh)
	}
	// Not a fixed time: a configuration of a megabyte takes 1.1 s over a link of
	// 10 Mbit/s. Calls of .4 s and their wait failed on it again and again, and with
	// them all news of endpoints.
	ctx, cancel := idle.WithTimeout(ctx, w.wait+f.cfg.Timing.Slack, f.cfg.Timing.Slack)
	defer cancel()
	return f.cfg.Source.Await(ctx, f.Directory().Revision(), w.wait)
}

// UnusableError is a configuration that can't be put in force.
type UnusableError struct {
	Version uint64
	Cause   error
}

// Error implements error.
func (e *UnusableError) Error() string { return "follow: configuration: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnusableError) Unwrap() error { return e.Cause }

// take puts a configuration in force unless a newer one is. One that can't be
// used leaves the last in force. Its error is an *UnusableError.
func (f *Follower) take(c *route.Config) error {
	old := f.table.Load()
	if old != nil && c.Version <= old.Version() {
		return nil
	}
	table, err := route.NewTable(*c)
	if err != nil {
		f.cfg.Log.Error().Err(err).Uint64("version", c.Version).Msg("a configuration was refused; the last one stays")
		return &UnusableError{Version: c.Version, Cause: err}
	}
	f.table.Store(table)
	f.config.Store(c)
	f.cfg.Log.Info().Uint64("version", c.Version).Int("routes", table.Size()).Msg("configuration in force")
	if f.cfg.OnConfig != nil {
		f.cfg.OnConfig(c)
	}
	return nil
}

// merge takes in what a reading says of the list as of a moment. The first
// reading after an outage lacks entries of endpoints that live and will be back.
func (f *Follower) merge(r Reading, at time.Time) {
	now := time.Now()
	f.noteOutage(r, at, now)
	next, changed := f.Directory().Merge(r.List, now, f.keepAbsentUntil)
	if changed {
		// Before the list holds for requests: what it says of an endpoint is known by then.
		f.cfg.OnDirectory(next)
	}
	f.directory.Store(next)
}

// noteOutage has what the list lacks kept for a while behind a gap in what this router
// knows in which the service may have been away for longer than entries last. It wasn't
// where somebody read it all the while, as this reading may tell or a later one: what the
// list then lacks has left. Without this, routers to which others told news 2 s late sent
// requests to endpoints 4.3 s after these had left.
func (f *Follower) noteOutage(r Reading, at, now time.Time) {
	most := f.cfg.Timing.Outage
	if last := f.confirmed.Load(); last != nil && at.Sub(*last) > most {
		f.gap = Span{From: *last, To: at}
		f.keepAbsentUntil = now.Add(f.cfg.Timing.Return)
	}
	if !now.Before(f.keepAbsentUntil) {
		return
	}
	if r.Steady.bridges(f.gap.From, f.gap.To, most) {
		f.keepAbsentUntil = now
		return
	}
	if f.gap.To.Equal(at) {
		f.cfg.Log.Warn().Dur("gap", at.Sub(f.gap.From)).Dur("age", f.cfg.Clock().Sub(at)).Uint64("revision", r.List.Revision).
			Msg("nothing was known for longer than entries last; endpoints that the list lacks are kept for a while")
	}
}

// confirm notes that what is known was the newest at a moment. One that is
// earlier than another says nothing new.
func (f *Follower) confirm(at time.Time) {
	if old := f.confirmed.Load(); old != nil && !at.After(*old) {
		return
	}
	f.confirmed.Store(&at)
}
