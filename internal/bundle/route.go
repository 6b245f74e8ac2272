package bundle

import (
	"coveferry/internal/jsonc"
	"coveferry/internal/route"
	"coveferry/internal/units"
)

// RouteKind says whether a route's requests may be executed more than once and
// whether the response is a stream.
type RouteKind string

// The kinds of routes.
const (
	RouteNonIdempotent   RouteKind = "non_idempotent"
	RouteIdempotent      RouteKind = "idempotent"
	RouteStream          RouteKind = "stream" // executed at most once
	RouteResumableStream RouteKind = "resumable_stream"
)

// Route maps a host and a path prefix to a service.
type Route struct {
	Name string `json:"name" jsonc:"required"`
	Host string `json:"host" jsonc:"required"`
	// Prefix begins and ends with a slash; the longest matching prefix wins.
	Prefix  string    `json:"prefix" jsonc:"required"`
	Service string    `json:"service" jsonc:"required"`
	Kind    RouteKind `json:"kind" jsonc:"required"`
	// Tier is the tier at which requests are served.
	Tier string `json:"tier" jsonc:"required"`
	// Timeout is the longest time that a request may take. FirstAnswer is the target
	// for the time to the response or to a stream's first event, and BetweenEvents
	// the target for the longest time between two events of a stream.
	Timeout       units.Duration `json:"timeout" jsonc:"required"`
	FirstAnswer   units.Duration `json:"first_answer,omitempty"`
	BetweenEvents units.Duration `json:"between_events,omitempty"`
	// MaxRuns is the largest number of endpoints at which one request may be
	// executed; 0 leaves it to the retry policy.
	MaxRuns int `json:"max_runs,omitempty"`
	// Public means that requests need no key.
	Public bool `json:"public,omitempty"`
	// Regions are the regions in which requests may be served and their data stored; empty
	// means no restriction.
	Regions []string `json:"regions,omitempty"`
}

// routeTable returns the route table of a bundle without errors.
func (b *Bundle) routeTable() (*route.Table, error) {
	c := route.Config{Version: b.Version, EncodeKey: HashKey, Teams: make(map[string]*route.Team)}
	for i := range b.Services {
		c.Services = append(c.Services, route.Service{Name: b.Services[i].Name})
	}
	for i := range b.Teams {
		team := &route.Team{Name: b.Teams[i].Name}
		for _, hash := range b.Teams[i].KeyHashes {
			c.Teams[hash] = team
		}
	}
	for i := range b.Routes {
		c.Routes = append(c.Routes, b.toRoute(&b.Routes[i]))
	}
	c.Limits.BodyBytes = int64(b.Limits.RequestBytes)
	return route.NewTable(c)
}

func (b *Bundle) toRoute(r *Route) route.Route {
	out := route.Route{
		Name: r.Name, Host: r.Host, Prefix: r.Prefix,
		Targets:   []route.Target{{Service: r.Service, Weight: 1}},
		Stream:    r.Kind == RouteStream || r.Kind == RouteResumableStream,
		Resumable: r.Kind == RouteResumableStream,
		Tier:      b.tierRank(r.Tier),
		Timeout:   r.Timeout.Std(), Objective: r.FirstAnswer.Std(), MaxGap: r.BetweenEvents.Std(),
		MaxRuns: r.MaxRuns, Public: r.Public,
	}
	if len(r.Regions) > 0 {
		out.Residency = &route.Residency{Regions: r.Regions}
	}
	if r.Kind == RouteIdempotent {
		out.Repeat = route.Idempotent
	}
	return out
}

func (b *Bundle) tierRank(tier string) int {
	for rank := range b.Tiers {
		if b.Tiers[rank].Name == tier {
			return rank
		}
	}
	return len(b.Tiers)
}

func checkRoutes(b *Bundle, f *Findings) {
	for i := range b.Routes {
		r := &b.Routes[i]
		path := jsonc.IndexPath("routes", i)
		switch r.Kind {
		case RouteNonIdempotent, RouteIdempotent, RouteStream, RouteResumableStream:
		default:
			f.errorf(jsonc.KeyPath(path, "kind"), "%q is not a kind; use %q, %q, %q or %q", r.Kind,
				RouteNonIdempotent, RouteIdempotent, RouteStream, RouteResumableStream)
		}
		if r.Timeout <= 0 {
			f.errorf(jsonc.KeyPath(path, "timeout"), "must be longer than 0")
		}
		if r.MaxRuns < 0 {
			f.errorf(jsonc.KeyPath(path, "max_runs"), "%d is negative", r.MaxRuns)
		}
	}
}

// checkRouteTable checks that the services, tiers and regions of routes are defined and
// that a route table can be built.
func checkRouteTable(b *Bundle, f *Findings) {
	tiers := setOf(namesOf(b.Tiers, func(t *Tier) string { return t.Name }))
	services := setOf(namesOf(b.Services, func(s *Service) string { return s.Name }))
	regions := setOf(namesOf(b.Endpoints, func(e *Endpoint) string { return e.Region }))
	known := true
	for i := range b.Routes {
		r := &b.Routes[i]
		path := jsonc.IndexPath("routes", i)
		if !tiers.has(r.Tier) {
			f.errorf(jsonc.KeyPath(path, "tier"), "%q is not in tiers", r.Tier)
		}
		if !services.has(r.Service) {
			known = false
			f.errorf(jsonc.KeyPath(path, "service"), "%q is not in services", r.Service)
		}
		checkRegions(path, r, regions, f)
	}
	if _, err := b.routeTable(); err != nil && known {
		f.errorf("routes", "%v", err)
	}
}

// checkRegions checks that each of a route's regions has an endpoint: with a wrong name,
// requests would be rejected although the intended region could serve them.
func checkRegions(path string, r *Route, regions nameSet, f *Findings) {
	for _, region := range r.Regions {
		if !regions.has(region) {
			f.errorf(jsonc.KeyPath(path, "regions"), "no endpoint is in region %q", region)
		}
	}
}
