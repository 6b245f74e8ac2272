package follow

import (
	"context"
	"time"

	"coveferry/internal/clock"
	"coveferry/internal/directory"
)

// outageIntervals is how many readings of the list in a row must have been due
// without success for the source to count as having been away.
const outageIntervals = 3

// followList reads the list again and again.
func (f *Follower) followList(ctx context.Context) {
	last := time.Now() // of the last reading that succeeded
	var keepAbsentUntil time.Time
	pause := firstPause
	for ctx.Err() == nil {
		sent := f.cfg.Clock()
		reading, err := f.readList(ctx)
		now := time.Now()
		if err != nil {
			if ctx.Err() == nil {
				f.list.failed(err)
			}
			if !clock.Sleep(ctx, pause) {
				return
			}
			pause = min(2*pause, maxPause)
			continue
		}
		f.list.worked()
		pause = firstPause
		if now.Sub(last) > outageIntervals*f.cfg.Timing.ListEvery {
			keepAbsentUntil = now.Add(f.cfg.Timing.Return)
		}
		last = now
		listed := sent.Add(-reading.Age)
		f.listed.Store(&listed)
		f.merge(reading, now, keepAbsentUntil)
		if !clock.Sleep(ctx, f.cfg.Timing.ListEvery) {
			return
		}
	}
}

// readList reads the list at the lower price, and again at the higher one if
// what came is older than what the source has told this router before.
func (f *Follower) readList(ctx context.Context) (directory.Reading, error) {
	known := f.revision.Load()
	reading, err := f.askList(ctx, false)
	if err == nil && reading.Revision < known {
		return f.askList(ctx, true)
	}
	return reading, err
}

func (f *Follower) askList(ctx context.Context, fresh bool) (directory.Reading, error) {
	ctx, cancel := context.WithTimeout(ctx, f.cfg.Timing.Read)
	defer cancel()
	return f.cfg.Source.Endpoints(ctx, fresh)
}

func (f *Follower) merge(r directory.Reading, now, keepAbsentUntil time.Time) {
	old := f.directory.Load()
	next, changed := old.Merge(r, now, keepAbsentUntil)
	f.directory.Store(next)
	if changed {
		f.cfg.OnDirectory(next)
	}
}
