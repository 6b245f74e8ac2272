// Package route holds immutable tables of routes: which service answers for a
// host and a path prefix, for whom, and with which promises. A table is built
// once, checked, and then swapped whole; readers need no lock.
package route

import (
	"strings"
	"time"
)

// Repeat says how often a request may run.
type Repeat uint8

const (
	// NonIdempotent requests may run at most once.
	NonIdempotent Repeat = iota
	// Idempotent requests may run any number of times.
	Idempotent
)

// Route is what a table says of the requests under a host and a path prefix.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Targets share the route's requests by their weights.
	Targets []Target
	Repeat  Repeat
	// Stream says that the answer is a series of events.
	Stream bool
	// Resumable streams can go on at another endpoint behind the last event
	// that the caller has.
	Resumable bool
	// Tier is the rank that the route's requests are served by, 0 the highest. See
	// Table.Rank for what a team's own tier does beside it.
	Tier int
	// Timeout is the longest time that a request may be kept waiting.
	Timeout time.Duration
	// Objective is the time within which the answer, or the first event of a
	// stream, is on time.
	Objective time.Duration
	// MaxGap is the longest pause between two events of a stream that is on
	// time; 0 if the route states none.
	MaxGap time.Duration
	// MaxRuns is the most endpoints at which one request may run.
	MaxRuns int
	// Public routes need no key.
	Public bool
	// Residency binds the route's requests to regions. What a team's binds besides holds too.
	Residency *Residency `json:",omitempty"`
}

// Target is a service that answers a share of a route's requests.
type Target struct {
	Service string
	Weight  int
}

// Pick returns the service for a request; x is a random number from [0, 1).
func (r *Route) Pick(x float64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	at := int(x * float64(total))
	for _, t := range r.Targets {
		if at < t.Weight {
			return t.Service
		}
		at -= t.Weight
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Team is an organisation that calls.
type Team struct {
	Name string
	// Tier orders the team's requests among those of the same kind; nil leaves the
	// route's.
	Tier *int
	// Residency binds the team's requests to regions.
	Residency *Residency `json:",omitempty"`
}

// Service is what a table says of a group of endpoints.
type Service struct {
	Name string
	// HealthPath is where an endpoint tells whether it is healthy.
	HealthPath string
	// Cold is what the service's endpoints tolerate after they have started.
	Cold Cold
	// Engine describes model engines; nil for a plain service.
	Engine *Engine
}

// Cold is what an endpoint tolerates while it is cold: its caches are empty, and work that
// it could do later ends it.
type Cold struct {
	// For is how long it is cold after its start.
	For time.Duration
	// Rate is how many requests a second it takes from all routers together meanwhile; 0
	// bounds nothing.
	Rate float64
}

// Engine is what a table says of the engines of a service.
type Engine struct {
	// Stride is how many tokens an event of a stream holds.
	Stride int
	// Backups says that the memory of a run can be copied to another engine
	// as it grows.
	Backups bool
}

// Limits bound what callers may send. Zero fields are no limit.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
}

// Config is what a table is built from.
type Config struct {
	// Version orders tables; a table is never replaced by one of a lower
	// version.
	Version  uint64
	Routes   []Route
	Services []Service
	// Teams holds the team of each key. With no keys at all, routes need none.
	Teams map[string]*Team
	// KeyForm turns a caller's key into the form in which Teams holds it; nil
	// if it holds keys as they are.
	KeyForm func(key string) string `json:"-"`
	Limits  Limits
}

// Table answers which route a request takes. It is immutable.
type Table struct {
	version  uint64
	limits   Limits
	hosts    map[string]map[string]*Route
	services map[string]*Service
	teams    map[string]*Team
	routes   []Route
	longest  map[string]time.Duration
	keyForm  func(string) string
	ranks    map[standing]int
}

// NewTable builds a table. Its error is an *Error that names the faulty place.
func NewTable(c Config) (*Table, error) {
	t := &Table{
		version:  c.Version,
		limits:   c.Limits,
		hosts:    make(map[string]map[string]*Route),
		services: make(map[string]*Service, len(c.Services)),
		teams:    c.Teams,
		routes:   c.Routes,
		keyForm:  c.KeyForm,
		longest:  make(map[string]time.Duration, len(c.Services)),
		ranks:    ranksOf(c),
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Routes {
		if err := t.add(&c.Routes[i]); err != nil {
			return nil, err
		}
	}
	return t, nil
}

func (t *Table) add(r *Route) error {
	if err := t.check(r); err != nil {
		return err
	}
	host := normalHost(r.Host)
	prefixes := t.hosts[host]
	if prefixes == nil {
		prefixes = make(map[string]*Route)
		t.hosts[host] = prefixes
	}
	if prefixes[r.Prefix] != nil {
		return &Error{Route: r.Name, Reason: "another route has the same host and prefix"}
	}
	prefixes[r.Prefix] = r
	for _, target := range r.Targets {
		t.longest[target.Service] = max(t.longest[target.Service], r.Objective)
	}
	return nil
}

func (t *Table) check(r *Route) error {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return &Error{Route: r.Name, Reason: "the prefix must begin and end with a slash"}
	}
	if len(r.Targets) == 0 {
		return &Error{Route: r.Name, Reason: "it names no service"}
	}
	for _, target := range r.Targets {
		if t.services[target.Service] == nil {
			return &Error{Route: r.Name, Reason: "service " + target.Service + " is not defined"}
		}
	}
	return nil
}

// Version orders tables.
func (t *Table) Version() uint64 { return t.version }

// Limits bound what callers may send.
func (t *Table) Limits() Limits { return t.limits }

// Size is the number of routes.
func (t *Table) Size() int { return len(t.routes) }

// Match returns the route of the longest prefix that begins the path, nil if
// there is none. The path is the request's own, not unescaped.
func (t *Table) Match(host, path string) *Route {
	prefixes := t.hosts[normalHost(host)]
	for len(prefixes) > 0 {
		end := strings.LastIndexByte(path, '/')
		if end < 0 {
			return nil
		}
		if r := prefixes[path[:end+1]]; r != nil {
			return r
		}
		path = path[:end]
	}
	return nil
}

// NeedsKeys says whether routes that aren't public need a key.
func (t *Table) NeedsKeys() bool { return t.teams != nil }

// Team returns the team that holds a key, nil if none does.
func (t *Table) Team(key string) *Team {
	if t.keyForm != nil {
		key = t.keyForm(key)
	}
	return t.teams[key]
}

// Service returns what the table says of a service, nil if it doesn't know it.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Cold is what the service's cold endpoints tolerate; the zero value if it isn't known.
func (t *Table) Cold(service string) Cold {
	if s := t.services[service]; s != nil {
		return s.Cold
	}
	return Cold{}
}

// LongestObjective is that of all routes to a service; 0 if none states one.
func (t *Table) LongestObjective(service string) time.Duration { return t.longest[service] }

// normalHost is a host without its port, in lower case.
func normalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Error is a route that a table can't hold.
type Error struct{ Route, Reason string }

// Error implements error.
func (e *Error) Error() string { return "route " + e.Route + ": " + e.Reason }
