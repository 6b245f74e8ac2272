package fairshare

import (
	"maps"
	"slices"
)

// Add returns the sums of two reports. It changes neither.
func (s Sums) Add(o Sums) Sums {
	if len(o) == 0 {
		return s
	}
	var total Total
	total.Add(s)
	total.Add(o)
	return total.sums
}

// Total adds up many reports. The zero value is empty. A reader of 880 routers adds up 60 reports,
// which takes 2.6 ms if the sum is copied for each.
type Total struct{ sums Sums }

// Add adds a report, which it doesn't change.
func (t *Total) Add(report Sums) {
	for _, g := range report {
		i := slices.IndexFunc(t.sums, func(have Group) bool { return have.key() == g.key() })
		switch {
		case i >= 0:
			t.sums[i].add(g)
		case len(t.sums) < maxGroups:
			g.Teams = maps.Clone(g.Teams)
			t.sums = append(t.sums, g)
		}
	}
}

// add adds the sums of a group to those of another one with the same key.
func (g *Group) add(o Group) {
	if g.Teams == nil {
		g.Teams = make(map[string]float64, len(o.Teams))
	}
	g.Rest += o.Rest
	// The rests of two routers are mostly the same teams.
	g.RestTeams = max(g.RestTeams, o.RestTeams)
	g.Short = g.Short || o.Short
	g.Routers += o.Routers
	for team, sum := range o.Teams {
		if _, listed := g.Teams[team]; listed || len(g.Teams) < maxTeams {
			g.Teams[team] += sum
			continue
		}
		g.Rest += sum
		g.RestTeams = max(g.RestTeams, 1)
	}
}

// Without returns the total less one of the reports in it, which may be empty. Groups that no other
// router reports are left out.
func (t *Total) Without(report Sums) Sums {
	out := slices.Clone(t.sums)
	for i := range out {
		less := report.find(out[i].key())
		if out[i].Routers -= less.Routers; out[i].Routers <= 0 {
			continue
		}
		out[i].Teams = maps.Clone(out[i].Teams)
		out[i].Rest = max(0, out[i].Rest-less.Rest)
		for team, sum := range less.Teams {
			if out[i].Teams[team] -= sum; out[i].Teams[team] < minSum {
				delete(out[i].Teams, team)
			}
		}
	}
	return slices.DeleteFunc(out, func(g Group) bool { return g.Routers <= 0 })
}
