package streamversion

import (
	"iter"
	"sync"
	"time"

	"coveferry/internal/directory"
)

// DefaultLongestReturn is the longest time after the beginning of a stream in which its caller may resume it.
// Nothing that a router has seen says when a stream began that it doesn't know: its caller may have waited
// through a release and the restarts of all routers. So the list tells the version of a stream only where a
// service has had one for longer than any caller waits.
const DefaultLongestReturn = time.Hour

// versionLog records which software versions the endpoints of each service had. It is safe for
// concurrent use.
type versionLog struct {
	// longestReturn is Config.LongestReturn.
	longestReturn time.Duration
	mu            sync.Mutex
	// knownSince is since when the list has been known without a gap; zero before the first.
	knownSince time.Time
	// lastListed is when an endpoint of the version was last listed, by service and version.
	lastListed map[string]map[string]time.Time
	// list is the latest list, and outdated says that it isn't up to date.
	list     *directory.Directory
	outdated bool
}

// update records a new list. It returns the services that have got another version beside those that
// they had.
func (l *versionLog) update(now time.Time, list *directory.Directory) (mixed []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.knownSince.IsZero() {
		l.knownSince = now
	}
	l.markLatestList(now)
	before := l.countVersions(now)
	l.list = list
	l.markLatestList(now)
	mixed = l.servicesWithMore(now, before)
	l.expire(now)
	return mixed
}

// record records entries that aren't in the latest list. It returns the services that have got another
// version by them.
func (l *versionLog) record(now time.Time, entries []directory.Entry) (mixed []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.markLatestList(now)
	before := l.countVersions(now)
	l.mark(now, entries)
	return l.servicesWithMore(now, before)
}

// revision returns the revision of the latest list, and false before the first.
func (l *versionLog) revision() (directory.Revision, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.list == nil {
		return directory.Revision{}, false
	}
	return l.list.Revision(), true
}

// markLatestList records that the versions of the latest list are listed now. l.mu is held.
func (l *versionLog) markLatestList(now time.Time) {
	if l.list != nil {
		l.mark(now, l.list.Entries())
	}
}

// mark records that the versions of entries are listed now. l.mu is held.
func (l *versionLog) mark(now time.Time, entries []directory.Entry) {
	if l.lastListed == nil {
		l.lastListed = make(map[string]map[string]time.Time)
	}
	for _, e := range entries {
		for _, service := range e.Endpoint.Services {
			if l.lastListed[service] == nil {
				l.lastListed[service] = make(map[string]time.Time)
			}
			l.lastListed[service][e.Endpoint.Version] = now
		}
	}
}

// servicesWithMore returns the services that have several versions, more than before. l.mu is held.
func (l *versionLog) servicesWithMore(now time.Time, before map[string]int) (mixed []string) {
	for service, n := range l.countVersions(now) {
		if n > max(1, before[service]) {
			mixed = append(mixed, service)
		}
	}
	return mixed
}

// countVersions counts each service's versions within longestReturn. l.mu is held.
func (l *versionLog) countVersions(now time.Time) map[string]int {
	counts := make(map[string]int, len(l.lastListed))
	for service, versions := range l.lastListed {
		for _, at := range versions {
			if now.Sub(at) <= l.longestReturn {
				counts[service]++
			}
		}
	}
	return counts
}

func (l *versionLog) expire(now time.Time) {
	for service, versions := range l.lastListed {
		for version, at := range versions {
			if now.Sub(at) > l.longestReturn {
				delete(versions, version)
			}
		}
		if len(versions) == 0 {
			delete(l.lastListed, service)
		}
	}
}

// lost records that the list isn't up to date now: versions may come and go unseen. It reports
// whether it was before.
func (l *versionLog) lost(now time.Time) (first bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	first = !l.outdated
	l.outdated = true
	if !l.knownSince.IsZero() {
		l.knownSince = now
	}
	return first
}

// regained records that the list is up to date now.
func (l *versionLog) regained() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outdated = false
}

// only returns the version of a service if all its endpoints have had that one for the whole window
// until now.
func (l *versionLog) only(now time.Time, service string, window time.Duration) (version string, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.knownSince.IsZero() || now.Sub(l.knownSince) < window || window > l.longestReturn {
		return "", false
	}
	for v := range l.versionsIn(now, service, window) {
		if ok && v != version {
			return "", false
		}
		version, ok = v, true
	}
	return version, ok
}

// hasOther reports whether the service is known to have had another version in the window.
func (l *versionLog) hasOther(now time.Time, q Query, version string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for v := range l.versionsIn(now, q.Service, q.Window) {
		if v != version {
			return true
		}
	}
	return false
}

// versionsIn yields the versions that endpoints of a service have or had in the window until now, some
// more than once. l.mu is held.
func (l *versionLog) versionsIn(now time.Time, service string, window time.Duration) iter.Seq[string] {
	return func(yield func(string) bool) {
		if l.list == nil {
			return
		}
		for _, e := range l.list.ByService(service) {
			if !yield(e.Version) {
				return
			}
		}
		for v, at := range l.lastListed[service] {
			if now.Sub(at) <= window && !yield(v) {
				return
			}
		}
	}
}
