package follow

import (
	"time"

	"coveferry/internal/directory"
)

// returnedSource is a source that came back from an older copy. Until what the copy lacks must have been
// written again, what was known before goes before what the copy says.
type returnedSource struct {
	known *directory.Directory
	until time.Time
	// altered says that a reading of the source was changed, so that the list has to be read again
	// at the end.
	altered bool
}

// detectReturn starts a new returnedSource with the first reading of a later era.
func (f *Follower) detectReturn(list directory.Reading, now time.Time) {
	known := f.Directory()
	if list.Revision.Era <= known.Revision().Era || known.Len() == 0 {
		return
	}
	f.returned = &returnedSource{known: known, until: now.Add(f.cfg.Timing.EntryReturnTime)}
	f.logRevision(f.cfg.Log.Warn(), list.Revision).Uint64("known_era", known.Revision().Era).Uint64("known", known.Revision().Number).
		Dur("for", f.cfg.Timing.EntryReturnTime).
		Msg("the source came back from an older copy; what was known before holds until it must have been written again")
}

// keepUntil returns until when endpoints missing from the list are kept.
func (f *Follower) keepUntil() time.Time {
	if f.returned != nil && f.returned.until.After(f.keepAbsentUntil) {
		return f.returned.until
	}
	return f.keepAbsentUntil
}

// holdKnown adapts a reading of a source that came back from an older copy. Changes since the return
// are not adapted: they are truly newer.
func (f *Follower) holdKnown(list directory.Reading, now time.Time) directory.Reading {
	if f.returned == nil || !now.Before(f.returned.until) {
		return list
	}
	list, changed := f.returned.known.Hold(list)
	f.returned.altered = f.returned.altered || changed
	if list.Full {
		list, changed = list.Drop(func(e directory.Entry) bool { return f.removed.has(now, e) })
		f.returned.altered = f.returned.altered || changed
	}
	return list
}

const (
	// removedTTL is how long endpoints that have left the list are remembered: several times the
	// age of a copy that the source may come back from.
	removedTTL = time.Minute
	// maxRemoved bounds their number.
	maxRemoved = 1024
)

// removedEndpoints holds the entries that have lately been removed from the list, by name.
type removedEndpoints map[string]removedEndpoint

type removedEndpoint struct {
	entry directory.Entry
	at    time.Time
}

// record records the entries that the next list lacks.
func (r *removedEndpoints) record(now time.Time, known, next *directory.Directory) {
	if *r == nil {
		*r = make(removedEndpoints)
	}
	_, removed := known.ChangesTo(next)
	for _, name := range removed {
		if entry, ok := known.Entry(name); ok && len(*r) < maxRemoved {
			(*r)[name] = removedEndpoint{entry: entry, at: now}
		}
	}
	for name, e := range *r {
		if _, listed := next.Entry(name); listed || now.Sub(e.at) > removedTTL {
			delete(*r, name)
		}
	}
}

// has reports whether the entry is that of a process that has lately left the list.
func (r removedEndpoints) has(now time.Time, e directory.Entry) bool {
	known, ok := r[e.Endpoint.Name]
	return ok && now.Sub(known.at) <= removedTTL && e.SameProcess(known.entry)
}
