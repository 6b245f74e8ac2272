package route

import (
	"reflect"

	"github.com/cockroachdb/errors"
)

// Place is where a route applies. No two routes of a configuration share one.
type Place struct{ Host, Prefix string }

// Place is where the route applies.
func (r *Route) Place() Place { return Place{Host: normalHost(r.Host), Prefix: r.Prefix} }

// Change is what turns one configuration into a later one.
type Change struct {
	// From is the version that it changes; 0 if it holds everything.
	From uint64
	To   uint64
	// Routes are those that are new or differ, and Gone the places of those
	// that are no more.
	Routes []Route `json:",omitempty"`
	Gone   []Place `json:",omitempty"`
	// Shared is nil if nothing but routes has changed.
	Shared *Shared `json:",omitempty"`
}

// Shared is what a configuration holds besides its routes.
type Shared struct {
	Services []Service
	Teams    map[string]*Team
	Limits   Limits
}

func (c *Config) shared() *Shared {
	return &Shared{Services: c.Services, Teams: c.Teams, Limits: c.Limits}
}

// Whole is the change that turns nothing into the configuration.
func (c *Config) Whole() Change {
	return Change{To: c.Version, Routes: c.Routes, Shared: c.shared()}
}

// ErrOtherVersion is a change of another configuration than the one at hand.
var ErrOtherVersion = errors.New("route: the change is of another version")

// Apply returns the configuration that a change turns base into, which stays as it
// is. base may be nil for a change that holds everything.
func (ch *Change) Apply(base *Config) (*Config, error) {
	next := Config{Version: ch.To}
	if ch.From == 0 {
		next.Routes = ch.Routes
		next.take(ch.Shared)
		return &next, nil
	}
	if base == nil || base.Version != ch.From {
		return nil, ErrOtherVersion
	}
	next.KeyForm = base.KeyForm
	next.take(base.shared())
	next.take(ch.Shared)
	replaced := make(map[Place]bool, len(ch.Routes)+len(ch.Gone))
	for i := range ch.Routes {
		replaced[ch.Routes[i].Place()] = true
	}
	for _, place := range ch.Gone {
		replaced[place] = true
	}
	next.Routes = make([]Route, 0, len(base.Routes)+len(ch.Routes))
	for i := range base.Routes {
		if !replaced[base.Routes[i].Place()] {
			next.Routes = append(next.Routes, base.Routes[i])
		}
	}
	next.Routes = append(next.Routes, ch.Routes...)
	return &next, nil
}

func (c *Config) take(s *Shared) {
	if s != nil {
		c.Services, c.Teams, c.Limits = s.Services, s.Teams, s.Limits
	}
}

// History knows what changed between the configurations that it was shown, so that
// one who has an earlier one is told just that. It isn't safe for concurrent use.
type History struct {
	seen *Config
	// known are the versions that it was shown. What one that it wasn't shown held
	// besides isn't known.
	known map[uint64]bool
	// changed and gone have the version that changed or removed a place's route.
	changed, gone map[Place]uint64
	shared        uint64 // the version that changed what isn't a route
}

// Bounds of what is remembered one by one: removed routes, and versions.
const (
	maxGone  = 4096
	maxKnown = 1024
)

// Show notes what a configuration changed.
func (h *History) Show(c *Config) {
	if h.seen != nil && c.Version <= h.seen.Version {
		return
	}
	old := h.seen
	h.seen = c
	if old == nil || len(h.gone) > maxGone || len(h.known) > maxKnown {
		h.shared, h.known = c.Version, map[uint64]bool{c.Version: true}
		h.changed, h.gone = make(map[Place]uint64), make(map[Place]uint64)
		return
	}
	h.known[c.Version] = true
	h.compare(old, c)
}

func (h *History) compare(old, c *Config) {
	if !reflect.DeepEqual(old.shared(), c.shared()) {
		h.shared = c.Version
	}
	before := make(map[Place]*Route, len(old.Routes))
	for i := range old.Routes {
		before[old.Routes[i].Place()] = &old.Routes[i]
	}
	for i := range c.Routes {
		place := c.Routes[i].Place()
		if was := before[place]; was == nil || !reflect.DeepEqual(*was, c.Routes[i]) {
			h.changed[place] = c.Version
			delete(h.gone, place)
		}
		delete(before, place)
	}
	for place := range before {
		h.gone[place] = c.Version
		delete(h.changed, place)
	}
}

// Since returns what turns the configuration of a version into the last one that
// was shown; everything if that isn't known.
func (h *History) Since(version uint64) Change {
	if !h.known[version] {
		return h.seen.Whole()
	}
	ch := Change{From: version, To: h.seen.Version}
	for i := range h.seen.Routes {
		if h.changed[h.seen.Routes[i].Place()] > version {
			ch.Routes = append(ch.Routes, h.seen.Routes[i])
		}
	}
	for place, at := range h.gone {
		if at > version {
			ch.Gone = append(ch.Gone, place)
		}
	}
	if h.shared > version {
		ch.Shared = h.seen.shared()
	}
	return ch
}
