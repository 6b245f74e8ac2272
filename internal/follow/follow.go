package follow

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"coveferry/internal/age"
	"coveferry/internal/clock"
	"coveferry/internal/directory"
	"coveferry/internal/idle"
	"coveferry/internal/route"
)

// Timing holds the intervals and timeouts of the calls to a source.
type Timing struct {
	// Wait is how long a call waits for a change. Together with Slack it bounds the age of the
	// state while nothing changes.
	Wait time.Duration
	// Slack is how much longer than Wait a call may take until the first byte, and how long it
	// may pause after that, before it is aborted.
	Slack time.Duration
	// MinInterval is the least time between two successful calls, which limits the rate of
	// calls to a source that changes all the time.
	MinInterval time.Duration
	// OutageThreshold is the time between two confirmations of the state above which the
	// source counts as having had an outage, and EntryReturnTime how long the endpoints' entries
	// may take to be back in the list after it.
	OutageThreshold, EntryReturnTime time.Duration
}

// Bounds of the backoff after a failed call.
const (
	firstPause = 50 * time.Millisecond
	maxPause   = 400 * time.Millisecond
)

// MinWait is the wait of a call after a failed one. The state has to be confirmed soon, and an
// answer only confirms it as of the time of the request.
const MinWait = time.Millisecond

// Config configures a Follower.
type Config struct {
	Source Source
	Timing Timing
	// OnDirectory is called with each changed list. It must not block.
	OnDirectory func(*directory.Directory)
	// OnReplaced is called with entries that came and went between two readings; may be nil. It must not
	// block.
	OnReplaced func([]directory.Entry)
	// OnConfig is called with each configuration put in force; may be nil. It must not block.
	OnConfig func(*route.Config)
	// Clock measures ages; nil means clock.Boot, which includes the time for which the VM was
	// suspended.
	Clock clock.Clock
	Log   zerolog.Logger
	// Metrics registers the follower's metrics; nil for none.
	Metrics prometheus.Registerer
}

// Follower holds the latest state of a source. It is safe for concurrent use.
type Follower struct {
	cfg Config
	// state is replaced as a whole, by Run only, so that readers never combine what was known at
	// one time with how old it is at another.
	state        atomic.Pointer[state]
	availability availabilityLog
	// keepAbsentUntil is until when endpoints missing from the list after an outage are kept.
	// Only Run uses it.
	keepAbsentUntil time.Time
	// returned is what was known before the source came back from an older copy; nil if it hasn't
	// lately. Only Run uses it.
	returned *returnedSource
	// removed tracks the endpoints that have left the list. Only Run uses it.
	removed removedEndpoints
	// gap is the outage that keepAbsentUntil refers to. Only Run uses it.
	gap Span
	// configTransferTime is that of the last configuration. Only Run uses it.
	configTransferTime time.Duration
	// unreadable tracks the unreadable entries of the list. Only Run uses it.
	unreadable *unreadable
	// confirmationsRejected counts confirmations of the state that were not believed.
	confirmationsRejected prometheus.Counter
}

// state is what a follower knows. It is immutable.
type state struct {
	table     *route.Table
	config    *route.Config
	directory *directory.Directory
	// confirmedAt is the time, by Clock, at which the latest call was sent that confirmed the
	// state; zero before the first. confirmedBy is the router that answered, empty for the service
	// itself.
	confirmedAt time.Time
	confirmedBy string
}

// Snapshot is the state of a source as known at one moment.
type Snapshot struct {
	// Snapshot holds the route table, and the age of everything here.
	route.Snapshot
	// Config is what the table was built from; nil before the first.
	Config *route.Config
	// Directory is the list of endpoints, empty before the first.
	Directory *directory.Directory
}

// New returns a follower that has no state until Run.
func New(cfg Config) *Follower {
	if cfg.Clock == nil {
		cfg.Clock = clock.Boot
	}
	f := &Follower{cfg: cfg}
	f.state.Store(&state{directory: directory.Empty()})
	f.unreadable = newUnreadable(cfg.Log, cfg.Metrics)
	f.registerMetrics(cfg.Metrics)
	f.availability = availabilityLog{name: "configuration and list of endpoints", log: cfg.Log}
	return f
}

// update replaces the state by a changed copy.
func (f *Follower) update(change func(*state)) {
	next := *f.state.Load()
	change(&next)
	f.state.Store(&next)
}

// Table returns the newest route table, nil before the first.
func (f *Follower) Table() *route.Table { return f.state.Load().table }

// Snapshot returns the newest state and its present age.
func (f *Follower) Snapshot() Snapshot {
	s := f.state.Load() // before the clock is read: a pause in between makes the state older
	return Snapshot{
		Snapshot: route.Snapshot{Table: s.table, Age: age.Since(s.confirmedAt, f.cfg.Clock()), ConfirmedBy: s.confirmedBy},
		Config:   s.config, Directory: s.directory,
	}
}

// Routes returns the newest route table and its present age.
func (f *Follower) Routes() route.Snapshot { return f.Snapshot().Snapshot }

// Directory returns the newest list of endpoints, empty before the first.
func (f *Follower) Directory() *directory.Directory { return f.state.Load().directory }

// Config returns the configuration that the table was built from, nil before the first.
func (f *Follower) Config() *route.Config { return f.state.Load().config }

// Age returns how long ago the table and the list were last confirmed to be the newest.
func (f *Follower) Age() age.Age { return f.Snapshot().Age }

// sourceCall describes the next call to the source.
type sourceCall struct {
	// full requests everything rather than the changes, and fresh rules out a cheaper read that
	// may be outdated.
	full, fresh bool
	wait        time.Duration
}

// Run follows the source until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	next := sourceCall{full: true}
	pause := firstPause
	for ctx.Err() == nil {
		sent := time.Now()
		err := f.poll(ctx, next)
		if err == nil {
			f.availability.succeeded()
			next = f.nextCall(time.Now())
			pause = firstPause
			clock.Sleep(ctx, f.cfg.Timing.MinInterval-time.Since(sent))
			continue
		}
		if ctx.Err() != nil {
			return
		}
		next = f.callAfterFailure(next, err)
		clock.Sleep(ctx, pause)
		pause = min(2*pause, maxPause)
	}
}

// nextCall returns the call after a successful one.
func (f *Follower) nextCall(now time.Time) sourceCall {
	if f.returned != nil && !now.Before(f.returned.until) {
		altered := f.returned.altered
		f.returned = nil
		if altered {
			return sourceCall{full: true, fresh: true} // what the list says now counts
		}
	}
	return sourceCall{wait: f.nextWait(now)}
}

// nextWait returns how long the next call waits. It is as short as possible while absent endpoints
// are kept, since a peer may report that they have left, and is reduced by the transfer time of a
// configuration. While a configuration is being transferred nothing confirms the state: with a
// transfer time of 1.1 s, for a megabyte over 10 Mbit/s, and calls that waited for a second in
// addition, the state was 4.0 s old, too old for peers (2.4 s) and to stay ready (2.8 s).
func (f *Follower) nextWait(now time.Time) time.Duration {
	wait := max(f.cfg.Timing.Wait-f.configTransferTime, min(f.cfg.Timing.Wait, f.cfg.Timing.MinInterval))
	if left := f.keepUntil().Sub(now); left > 0 {
		wait = min(wait, f.cfg.Timing.MinInterval, left+time.Millisecond)
	}
	return wait
}

// callAfterFailure returns the call after a failed one. The source still has the changes that were
// missed, unless the error is ErrHistoryLost.
func (f *Follower) callAfterFailure(last sourceCall, err error) sourceCall {
	var unusable *UnusableError
	switch {
	case errors.Is(err, ErrHistoryLost):
		f.logRevision(f.cfg.Log.Info().Err(err), f.Directory().Revision()).
			Msg("the source no longer has the changes since this revision: reading everything")
		// A cheap read may be older than the present state.
		return sourceCall{full: true, fresh: true}
	case errors.As(err, &unusable):
		return sourceCall{full: true}
	}
	f.availability.failed(err)
	last.wait = MinWait
	return last
}

// poll makes one call to the source and applies the result.
func (f *Follower) poll(ctx context.Context, call sourceCall) error {
	sent := f.cfg.Clock()
	r, err := f.callSource(ctx, call)
	if err != nil {
		return err
	}
	at := sent.Add(-r.Age)
	f.unreadable.record(r.List)
	f.merge(r, at)
	if r.Unreadable != nil {
		f.cfg.Log.Error().Err(r.Unreadable).Msg("can't decode the configuration; the last one stays in force")
		return &UnusableError{Cause: r.Unreadable}
	}
	if r.Config != nil {
		f.configTransferTime = r.ConfigTransferTime
	}
	table, err := f.newerTable(r.Config)
	if err != nil {
		return err
	}
	f.update(func(s *state) {
		if table != nil {
			s.table, s.config = table, r.Config
		}
		f.confirm(s, at, r.From)
	})
	if table != nil {
		f.announce(r.Config, table)
	}
	return nil
}

func (f *Follower) callSource(ctx context.Context, call sourceCall) (Reading, error) {
	if call.full {
		return f.cfg.Source.Read(ctx, call.fresh)
	}
	// The timeout starts anew with each part received: a configuration of a megabyte takes 1.1 s
	// over a link of 10 Mbit/s. A fixed timeout of 0.4 s plus the wait would abort it each time, and
	// no update of endpoints would come through.
	ctx, cancel := idle.WithTimeout(ctx, call.wait+f.cfg.Timing.Slack, f.cfg.Timing.Slack)
	defer cancel()
	return f.cfg.Source.Await(ctx, f.Directory().Revision(), call.wait)
}

// UnusableError reports a configuration that can't be put in force.
type UnusableError struct {
	Version uint64
	Cause   error
}

// Error implements error.
func (e *UnusableError) Error() string { return "follow: configuration: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnusableError) Unwrap() error { return e.Cause }

// newerTable builds the table of a configuration, nil if there is none or it isn't newer than the
// current one. If it is invalid, the error is an *UnusableError.
func (f *Follower) newerTable(c *route.Config) (*route.Table, error) {
	if old := f.Table(); c == nil || old != nil && c.Version <= old.Version() {
		return nil, nil
	}
	table, err := route.NewTable(*c)
	if err != nil {
		f.cfg.Log.Error().Err(err).Uint64("version", c.Version).Msg("configuration rejected; the last one stays in force")
		return nil, &UnusableError{Version: c.Version, Cause: err}
	}
	return table, nil
}

// announce tells of a configuration that was put in force.
func (f *Follower) announce(c *route.Config, table *route.Table) {
	f.cfg.Log.Info().Uint64("version", c.Version).Int("routes", table.Size()).Msg("configuration in force")
	if f.cfg.OnConfig != nil {
		f.cfg.OnConfig(c)
	}
}

// merge applies a reading of the list as of the given time. The first reading after an outage lacks
// entries of live endpoints that will be back.
func (f *Follower) merge(r Reading, at time.Time) {
	now := time.Now()
	f.detectOutage(r, at, now)
	f.logIgnored(r.List)
	f.detectReturn(r.List, now)
	if f.cfg.OnReplaced != nil && len(r.List.Replaced) > 0 {
		f.cfg.OnReplaced(r.List.Replaced)
	}
	known := f.Directory()
	next, changed := known.Merge(f.holdKnown(r.List, now), now, f.keepUntil())
	if changed {
		f.removed.record(now, known, next)
		// Called before requests use the list, so that its consumer already knows the endpoints.
		f.cfg.OnDirectory(next)
	}
	f.update(func(s *state) { s.directory = next })
}

func (f *Follower) logRevision(line *zerolog.Event, r directory.Revision) *zerolog.Event {
	return line.Uint64("era", r.Era).Uint64("revision", r.Number)
}

// logIgnored logs a whole list that is ignored since a newer one is known.
func (f *Follower) logIgnored(list directory.Reading) {
	if known := f.Directory().Revision(); list.Full && list.Revision.Before(known) {
		f.logRevision(f.cfg.Log.Info(), list.Revision).Uint64("known_era", known.Era).Uint64("known", known.Number).
			Msg("ignoring a whole list that is older than the known one")
	}
}

// detectOutage has absent endpoints kept for a while after a gap in the confirmed state, since the
// source may have had an outage in it that is longer than the lifetime of entries. It had none if
// other routers read it throughout, as this reading or a later one may report; endpoints absent
// from the list have then left. Without this, routers that peers updated 2 s late sent
// requests to endpoints 4.3 s after these had left.
func (f *Follower) detectOutage(r Reading, at, now time.Time) {
	threshold := f.cfg.Timing.OutageThreshold
	if last := f.state.Load().confirmedAt; !last.IsZero() && at.Sub(last) > threshold {
		f.gap = Span{From: last, To: at}
		f.keepAbsentUntil = now.Add(f.cfg.Timing.EntryReturnTime)
	}
	if !now.Before(f.keepAbsentUntil) {
		return
	}
	if r.SourceUptime.covers(f.gap.From, f.gap.To, threshold) {
		f.keepAbsentUntil = now
		return
	}
	if f.gap.To.Equal(at) {
		f.logRevision(f.cfg.Log.Warn(), r.List.Revision).Dur("gap", at.Sub(f.gap.From)).Dur("age", f.cfg.Clock().Sub(at)).
			Msg("state not confirmed for longer than the lifetime of entries; temporarily keeping endpoints that are missing from the list")
	}
}

// confirm records in s that the state was the newest at the given time, unless a later time is
// recorded. A time that hasn't come yet is not recorded: nothing later would ever replace it.
func (f *Follower) confirm(s *state, at time.Time, from string) {
	if now := f.cfg.Clock(); at.After(now) {
		f.confirmationsRejected.Inc()
		f.cfg.Log.Error().Str("from", from).Dur("ahead", at.Sub(now)).Msg("state confirmed as of a time that hasn't come yet: not believed")
		return
	}
	if at.After(s.confirmedAt) {
		s.confirmedAt, s.confirmedBy = at, from
	}
}
