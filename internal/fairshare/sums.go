package fairshare

const (
	// minSum is the sum below which a team isn't reported, in seconds of work.
	minSum = 0.0005
	// maxRouterSum is the largest sum that is believed of one router, in seconds of work: 1,000 requests a
	// second of 7 s each.
	maxRouterSum = 1e4
	// maxReportedTeams bounds the teams in a message, and maxReportedGroups the services and ranks.
	maxReportedTeams  = 128
	maxReportedGroups = 8
	// maxRest bounds the number of teams in a rest that is believed.
	maxRest = 10_000
	// maxNameBytes and maxRank bound the names and ranks that are believed.
	maxNameBytes = 256
	maxRank      = 1000
)

// Group holds the sums of a service and rank at one or several routers, in seconds of work.
type Group struct {
	Service string
	Rank    int
	Teams   map[string]float64
	// Rest is the sum of the teams that aren't listed, and RestTeams their number.
	Rest      float64
	RestTeams int
	// Routers is the number of routers that report, including those without work.
	Routers int
	// Short is set if one of the routers saw a pressure itself. Routers that hear of it report their
	// sums as well.
	Short bool
}

// of returns a team's sum. A team that isn't listed is assumed to have the mean of the rest.
func (g Group) of(team string) float64 {
	if sum, listed := g.Teams[team]; listed {
		return sum
	}
	if g.RestTeams <= 0 {
		return 0
	}
	return g.Rest / float64(g.RestTeams)
}

func (g Group) key() groupKey { return groupKey{g.Service, g.Rank} }

// total returns the sum of all teams.
func (g Group) total() float64 {
	total := g.Rest
	for _, sum := range g.Teams {
		total += sum
	}
	return total
}

// Sums are the sums by service and rank that a router reports.
type Sums []Group

func (s Sums) find(key groupKey) Group {
	for _, g := range s {
		if g.key() == key {
			return g
		}
	}
	return Group{}
}

// Checked returns the believable part of a report that covers at most so many routers. Values that are
// negative, not finite or larger than so many routers can admit are dropped, as are services that known
// doesn't accept.
func (s Sums) Checked(routers int, known func(service string) bool) Sums {
	var out Sums
	for _, g := range s {
		if len(out) == maxReportedGroups {
			return out
		}
		if g.Service == "" || len(g.Service) > maxNameBytes || g.Rank < 0 || g.Rank > maxRank || out.find(g.key()).Service != "" || !known(g.Service) {
			continue
		}
		g.Routers = min(max(g.Routers, 0), routers)
		limit := maxRouterSum * float64(max(g.Routers, 1))
		if g = g.checked(limit); g.total() <= limit {
			out = append(out, g)
		}
	}
	return out
}

func (g Group) checked(maxSum float64) Group {
	teams := make(map[string]float64, min(len(g.Teams), maxReportedTeams))
	for team, sum := range g.Teams {
		if len(teams) < maxReportedTeams && len(team) <= maxNameBytes && believable(sum, maxSum) {
			teams[team] = sum
		}
	}
	g.Teams = teams
	if !believable(g.Rest, maxSum) || g.RestTeams <= 0 || g.RestTeams > maxRest {
		g.Rest, g.RestTeams = 0, 0
	}
	return g
}

func believable(sum, maxSum float64) bool { return sum >= 0 && sum <= maxSum }
