package route

import (
	"reflect"

	"github.com/cockroachdb/errors"
)

// RouteID identifies a route by host and prefix. It is unique within a configuration.
type RouteID struct{ Host, Prefix string }

// ID returns the route's ID.
func (r *Route) ID() RouteID { return RouteID{Host: normalizeHost(r.Host), Prefix: r.Prefix} }

// Change is the difference between a configuration and a later one.
type Change struct {
	// From is the version that the change applies to; 0 if the change holds the full
	// configuration.
	From uint64
	To   uint64
	// Routes holds new and changed routes, Gone the IDs of removed ones.
	Routes []Route   `json:",omitempty"`
	Gone   []RouteID `json:",omitempty"`
	// Shared is nil if only routes have changed.
	Shared *Shared `json:",omitempty"`
}

// Shared is the part of a configuration other than its routes.
type Shared struct {
	Services []Service
	Teams    map[string]*Team
	Limits   Limits
}

func (c *Config) shared() *Shared {
	return &Shared{Services: c.Services, Teams: c.Teams, Limits: c.Limits}
}

// FullChange returns a change that holds the full configuration.
func (c *Config) FullChange() Change {
	return Change{To: c.Version, Routes: c.Routes, Shared: c.shared()}
}

// ErrVersionMismatch means that a change applies to another version than the given one.
var ErrVersionMismatch = errors.New("route: the change applies to another version")

// Apply returns the configuration that results from applying the change to base, which isn't
// modified. base may be nil for a change that holds the full configuration.
func (ch *Change) Apply(base *Config) (*Config, error) {
	next := Config{Version: ch.To}
	if ch.From == 0 {
		next.Routes = ch.Routes
		next.applyShared(ch.Shared)
		return &next, nil
	}
	if base == nil || base.Version != ch.From {
		return nil, ErrVersionMismatch
	}
	next.EncodeKey = base.EncodeKey
	next.applyShared(base.shared())
	next.applyShared(ch.Shared)
	replaced := make(map[RouteID]bool, len(ch.Routes)+len(ch.Gone))
	for i := range ch.Routes {
		replaced[ch.Routes[i].ID()] = true
	}
	for _, id := range ch.Gone {
		replaced[id] = true
	}
	next.Routes = make([]Route, 0, len(base.Routes)+len(ch.Routes))
	for i := range base.Routes {
		if !replaced[base.Routes[i].ID()] {
			next.Routes = append(next.Routes, base.Routes[i])
		}
	}
	next.Routes = append(next.Routes, ch.Routes...)
	return &next, nil
}

func (c *Config) applyShared(s *Shared) {
	if s != nil {
		c.Services, c.Teams, c.Limits = s.Services, s.Teams, s.Limits
	}
}

// History records the differences between successive configurations, so that a client with an
// earlier version can be sent just the difference. It isn't safe for concurrent use.
type History struct {
	last *Config
	// versions are the recorded versions. The contents of others are unknown, so no difference
	// from them can be computed.
	versions map[uint64]bool
	// changed and removed hold the version that changed or removed a route.
	changed, removed map[RouteID]uint64
	sharedChangedIn  uint64 // the version that last changed anything but routes
}

// Limits on the recorded removals and versions. When one is exceeded, the history starts anew.
const (
	maxRemoved  = 4096
	maxVersions = 1024
)

// Record adds a configuration to the history.
func (h *History) Record(c *Config) {
	if h.last != nil && c.Version <= h.last.Version {
		return
	}
	old := h.last
	h.last = c
	if old == nil || len(h.removed) > maxRemoved || len(h.versions) > maxVersions {
		h.sharedChangedIn, h.versions = c.Version, map[uint64]bool{c.Version: true}
		h.changed, h.removed = make(map[RouteID]uint64), make(map[RouteID]uint64)
		return
	}
	h.versions[c.Version] = true
	h.compare(old, c)
}

func (h *History) compare(old, c *Config) {
	if !reflect.DeepEqual(old.shared(), c.shared()) {
		h.sharedChangedIn = c.Version
	}
	before := make(map[RouteID]*Route, len(old.Routes))
	for i := range old.Routes {
		before[old.Routes[i].ID()] = &old.Routes[i]
	}
	for i := range c.Routes {
		id := c.Routes[i].ID()
		if previous := before[id]; previous == nil || !reflect.DeepEqual(*previous, c.Routes[i]) {
			h.changed[id] = c.Version
			delete(h.removed, id)
		}
		delete(before, id)
	}
	for id := range before {
		h.removed[id] = c.Version
		delete(h.changed, id)
	}
}

// ChangeSince returns the change from the given version to the last recorded one; the full
// configuration if that version isn't recorded.
func (h *History) ChangeSince(version uint64) Change {
	if !h.versions[version] {
		return h.last.FullChange()
	}
	ch := Change{From: version, To: h.last.Version}
	for i := range h.last.Routes {
		if h.changed[h.last.Routes[i].ID()] > version {
			ch.Routes = append(ch.Routes, h.last.Routes[i])
		}
	}
	for id, removedIn := range h.removed {
		if removedIn > version {
			ch.Gone = append(ch.Gone, id)
		}
	}
	if h.sharedChangedIn > version {
		ch.Shared = h.last.shared()
	}
	return ch
}
