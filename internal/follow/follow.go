package follow

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"coveferry/internal/clock"
	"coveferry/internal/directory"
	"coveferry/internal/route"
)

// Timing is how often a source is read and when a reading is given up.
type Timing struct {
	// Wait is how long a call waits for a change of the configuration. With
	// Slack it bounds how old the knowledge of a calm configuration gets.
	Wait time.Duration
	// Slack is how much longer than it should a call may take before it is
	// given up and the configuration is read anew.
	Slack time.Duration
	// ListEvery is the time between two readings of the list.
	ListEvery time.Duration
	// Read bounds one reading that needn't wait.
	Read time.Duration
	// Return is how long entries may take to be back in the list after the
	// source was away.
	Return time.Duration
}

// Bounds of the pause after a reading that failed.
const (
	firstPause = 50 * time.Millisecond
	maxPause   = 400 * time.Millisecond
)

// Config is what a Follower needs.
type Config struct {
	Source Source
	Timing Timing
	// OnDirectory takes a list that has changed. It must not wait.
	OnDirectory func(*directory.Directory)
	// Clock tells ages; nil is clock.Boot, which also counts the time for which
	// the VM was suspended.
	Clock clock.Clock
	Log   zerolog.Logger
}

// Follower holds what was read last. It is safe for concurrent use.
type Follower struct {
	cfg       Config
	table     atomic.Pointer[route.Table]
	config    atomic.Pointer[route.Config]
	directory atomic.Pointer[directory.Directory]
	// confirmed is when the reading was sent that last confirmed the table, by
	// the clock; nil before the first.
	confirmed atomic.Pointer[time.Time]
	// listed is when the reading was sent that last confirmed the list.
	listed atomic.Pointer[time.Time]
	// revision is the source's newest that was heard of.
	revision atomic.Uint64
	source   link
	list     link
}

// New returns a follower that knows nothing until Run.
func New(cfg Config) *Follower {
	if cfg.Clock == nil {
		cfg.Clock = clock.Boot
	}
	f := &Follower{cfg: cfg}
	f.directory.Store(directory.Empty())
	f.source = link{name: "configuration", log: cfg.Log}
	f.list = link{name: "list of endpoints", log: cfg.Log}
	return f
}

// Table is the newest route table, nil before the first was read.
func (f *Follower) Table() *route.Table { return f.table.Load() }

// Directory is the newest list of endpoints; it is empty before the first.
func (f *Follower) Directory() *directory.Directory { return f.directory.Load() }

// never is the age of knowledge that there is none of.
const never = time.Duration(1<<63 - 1)

// Age is how long ago the table was certainly the newest.
func (f *Follower) Age() time.Duration { return f.since(f.confirmed.Load()) }

// ListAge is how long ago the list was read.
func (f *Follower) ListAge() time.Duration { return f.since(f.listed.Load()) }

// Config is what the table was built from, nil before the first was read.
func (f *Follower) Config() *route.Config { return f.config.Load() }

// Revision is the newest of the source's counter of changes that was heard of.
func (f *Follower) Revision() uint64 { return f.revision.Load() }

func (f *Follower) since(at *time.Time) time.Duration {
	if at == nil {
		return never
	}
	return f.cfg.Clock().Sub(*at)
}

// Run follows the source until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var both sync.WaitGroup
	both.Go(func() { f.followTable(ctx) })
	both.Go(func() { f.followList(ctx) })
	both.Wait()
}

func (f *Follower) followTable(ctx context.Context) {
	var after uint64 // 0 has the whole read
	pause := firstPause
	for ctx.Err() == nil {
		revision, err := f.nextTable(ctx, after)
		switch {
		case err == nil:
			after = revision
			pause = firstPause
			continue
		case ctx.Err() != nil:
			return
		case !errors.Is(err, ErrHistoryLost):
			f.source.failed(err)
		}
		after = 0
		if !clock.Sleep(ctx, pause) {
			return
		}
		pause = min(2*pause, maxPause)
	}
}

// nextTable reads the table, or waits for a change behind a revision, and
// returns the revision to go on from.
func (f *Follower) nextTable(ctx context.Context, after uint64) (uint64, error) {
	sent := f.cfg.Clock()
	r, err := f.askTable(ctx, after)
	if err != nil {
		return 0, err
	}
	if r.Config != nil {
		if err := f.take(r.Config); err != nil {
			return 0, err
		}
	}
	f.confirm(sent.Add(-r.Age))
	f.heard(r.Revision)
	f.source.worked()
	return r.Revision, nil
}

func (f *Follower) askTable(ctx context.Context, after uint64) (Reading, error) {
	t := f.cfg.Timing
	if after == 0 {
		ctx, cancel := context.WithTimeout(ctx, t.Read)
		defer cancel()
		return f.cfg.Source.Config(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, t.Wait+t.Slack)
	defer cancel()
	return f.cfg.Source.AwaitConfig(ctx, after, t.Wait)
}

// take puts a configuration in force unless a newer one is. One that can't be
// used leaves the last in force.
func (f *Follower) take(c *route.Config) error {
	old := f.table.Load()
	if old != nil && c.Version <= old.Version() {
		return nil
	}
	table, err := route.NewTable(*c)
	if err != nil {
		f.cfg.Log.Error().Err(err).Uint64("version", c.Version).Msg("a configuration was refused; the last one stays")
		return err
	}
	f.table.Store(table)
	f.config.Store(c)
	f.cfg.Log.Info().Uint64("version", c.Version).Int("routes", table.Size()).Msg("configuration in force")
	return nil
}

// confirm notes that the table was the newest at a moment. One that is earlier
// than another says nothing new.
func (f *Follower) confirm(at time.Time) {
	if old := f.confirmed.Load(); old != nil && !at.After(*old) {
		return
	}
	f.confirmed.Store(&at)
}

// heard notes the source's counter of changes.
func (f *Follower) heard(revision uint64) {
	for {
		old := f.revision.Load()
		if revision <= old || f.revision.CompareAndSwap(old, revision) {
			return
		}
	}
}
