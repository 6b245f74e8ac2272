package route

import "slices"

// Residency restricts the regions in which requests are served and copies of their state are
// stored. A nil Residency allows all regions; one without regions allows none.
type Residency struct {
	Regions []string `json:",omitempty"`
}

// Allows reports whether a request may be sent to an endpoint in the region. An unknown (empty)
// region is not allowed.
func (r *Residency) Allows(region string) bool {
	return r == nil || region != "" && slices.Contains(r.Regions, region)
}

// Unservable returns the names of the routes and teams that may be served in none of the
// regions.
func (c *Config) Unservable(regions []string) (routes, teams []string) {
	served := func(r *Residency) bool { return r == nil || slices.ContainsFunc(regions, r.Allows) }
	for i := range c.Routes {
		if !served(c.Routes[i].Residency) {
			routes = append(routes, c.Routes[i].Name)
		}
	}
	for _, team := range c.Teams {
		if !served(team.Residency) {
			teams = append(teams, team.Name)
		}
	}
	slices.Sort(teams)
	return routes, slices.Compact(teams)
}
