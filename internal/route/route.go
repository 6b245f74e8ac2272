// Package route holds immutable route tables, which map a host and path prefix to a service,
// the teams that may use it and its objectives. A table is built and validated once and then
// replaced as a whole, so readers need no lock.
package route

import (
	"strings"
	"time"

	"coveferry/internal/age"
)

// Repeat is how often a request may run.
type Repeat uint8

const (
	// NonIdempotent requests may run at most once.
	NonIdempotent Repeat = iota
	// Idempotent requests may run any number of times.
	Idempotent
)

// Route configures the requests under a host and path prefix.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Targets share the route's requests by weight.
	Targets []Target
	Repeat  Repeat
	// Stream says that the answer is a stream of events.
	Stream bool
	// Resumable streams can continue at another endpoint after the last event that the caller
	// has received.
	Resumable bool
	// Tier is the priority of the route's requests, 0 the highest. See Table.Rank for how it
	// combines with the team's tier.
	Tier int
	// Timeout bounds the time until the request ends.
	Timeout time.Duration
	// Objective is the target time to the answer or to the first event of a stream.
	Objective time.Duration
	// MaxGap is the longest pause between two events within the objective; 0 if there is none.
	MaxGap time.Duration
	// MaxRuns is the maximum number of endpoints at which a request may run.
	MaxRuns int
	// Public routes need no key.
	Public bool
	// Residency restricts the regions of the route's requests, in addition to that of the team.
	Residency *Residency `json:",omitempty"`
}

// Target is a service that receives a share of a route's requests.
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

// Team is an organization that sends requests.
type Team struct {
	Name string
	// Tier is the priority of the team's requests among those of the same kind; nil uses the
	// route's tier.
	Tier *int
	// Residency restricts the regions of the team's requests.
	Residency *Residency `json:",omitempty"`
}

// Service configures a group of endpoints.
type Service struct {
	Name string
	// HealthPath is the path of an endpoint's health check.
	HealthPath string
	// Cold limits the load of recently started endpoints.
	Cold Cold
	// Engine configures model engines; nil for a plain service.
	Engine *Engine
}

// Cold limits the load of an endpoint after its start, while its caches are empty and a load
// that it could handle later would crash it.
type Cold struct {
	// For is how long after its start an endpoint is cold.
	For time.Duration
	// Rate is the maximum requests per second from all routers together while it is cold; 0
	// means no limit.
	Rate float64
}

// Engine describes the engines of a service.
type Engine struct {
	// Stride is the number of tokens per event of a stream.
	Stride int
	// Backups says that the memory of a run can be copied to another engine as it grows.
	Backups bool
}

// Limits bounds the size of callers' requests. Zero fields mean no limit.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
}

// Config is the input of NewTable.
type Config struct {
	// Version orders tables; a table is never replaced by one of a lower version.
	Version  uint64
	Routes   []Route
	Services []Service
	// Teams maps API keys to teams. If it is nil, no route needs a key.
	Teams map[string]*Team
	// EncodeKey converts an API key to the form used as key of Teams; nil if Teams holds plain
	// keys.
	EncodeKey func(key string) string `json:"-"`
	Limits    Limits
}

// LongestStreamTimeout returns the longest timeout of the routes with streams; 0 if none states one.
func (c *Config) LongestStreamTimeout() time.Duration {
	longest := time.Duration(0)
	for i := range c.Routes {
		if c.Routes[i].Stream {
			longest = max(longest, c.Routes[i].Timeout)
		}
	}
	return longest
}

// Table is an immutable route table.
type Table struct {
	version           uint64
	limits            Limits
	hosts             map[string]map[string]*Route
	services          map[string]*Service
	teams             map[string]*Team
	routes            []Route
	longestObjectives map[string]time.Duration
	encodeKey         func(string) string
	ranks             map[tierPair]int
}

// Snapshot is a route table and how old it was when the snapshot was taken. Decisions that depend on
// how old the table is, such as whether a key is still valid, take both from one snapshot.
type Snapshot struct {
	// Table is nil before the first one.
	Table *Table
	// Age is how long before it was taken the table was last confirmed to be the newest.
	Age age.Age
	// ConfirmedBy is the router that confirmed it; empty for the source itself.
	ConfirmedBy string
}

// OlderThan reports whether the table is too old for a decision that allows this age; 0 allows any.
func (s Snapshot) OlderThan(maxAge time.Duration) bool { return maxAge > 0 && s.Age.Exceeds(maxAge) }

// NewTable builds a table. If a route is invalid, the error is an *Error that names it.
func NewTable(c Config) (*Table, error) {
	t := &Table{
		version:           c.Version,
		limits:            c.Limits,
		hosts:             make(map[string]map[string]*Route),
		services:          make(map[string]*Service, len(c.Services)),
		teams:             c.Teams,
		routes:            c.Routes,
		encodeKey:         c.EncodeKey,
		longestObjectives: make(map[string]time.Duration, len(c.Services)),
		ranks:             computeRanks(c),
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
	host := normalizeHost(r.Host)
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
		t.longestObjectives[target.Service] = max(t.longestObjectives[target.Service], r.Objective)
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

// Version returns the table's version.
func (t *Table) Version() uint64 { return t.version }

// Limits returns the limits on callers' requests.
func (t *Table) Limits() Limits { return t.limits }

// Size returns the number of routes.
func (t *Table) Size() int { return len(t.routes) }

// Match returns the route with the longest prefix that matches the path, or nil. The path must
// be as received, not unescaped.
func (t *Table) Match(host, path string) *Route {
	prefixes := t.hosts[normalizeHost(host)]
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

// NeedsKeys reports whether non-public routes need a key.
func (t *Table) NeedsKeys() bool { return t.teams != nil }

// Team returns the team that owns an API key, or nil.
func (t *Table) Team(key string) *Team {
	if t.encodeKey != nil {
		key = t.encodeKey(key)
	}
	return t.teams[key]
}

// Service returns the configuration of a service, or nil if it is unknown.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Cold returns the limits of the service's cold endpoints; the zero value for an unknown
// service.
func (t *Table) Cold(service string) Cold {
	if s := t.services[service]; s != nil {
		return s.Cold
	}
	return Cold{}
}

// LongestObjective returns the longest objective of all routes to a service; 0 if none has one.
func (t *Table) LongestObjective(service string) time.Duration { return t.longestObjectives[service] }

// normalizeHost removes the port and converts the host to lower case.
func normalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Error describes an invalid route.
type Error struct{ Route, Reason string }

// Error implements error.
func (e *Error) Error() string { return "route " + e.Route + ": " + e.Reason }
