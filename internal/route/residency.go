package route

import "slices"

// Residency is in which regions requests may be served, and what is kept of them may lie. A
// nil Residency binds nothing; one without regions allows none.
type Residency struct {
	Regions []string `json:",omitempty"`
}

// Allows says whether a request may be sent to an endpoint in a region. One whose region isn't
// known is in none that is allowed.
func (r *Residency) Allows(region string) bool {
	return r == nil || region != "" && slices.Contains(r.Regions, region)
}

// Nowhere lists the routes and the teams of a configuration that none of the regions may
// serve, by their names.
func (c *Config) Nowhere(regions []string) (routes, teams []string) {
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
