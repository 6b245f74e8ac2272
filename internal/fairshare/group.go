package fairshare

import (
	"math"
	"time"
)

// group holds the sums of a service and rank.
type group struct {
	teams map[string]*account
	// meanWork is the mean work of recent requests that state it.
	meanWork float64
	usedAt   time.Time
	// pressure is smoothed over pressureHalfLife, and pressureAt the time of its latest sample.
	pressure   float64
	pressureAt time.Time
	// shortUntil is until when the sums are reported because this router saw a pressure.
	shortUntil time.Time
	// peers and loads summarize the sums of all routers as of refreshedAt.
	peers       Group
	loads       []load
	refreshedAt time.Time
	// covered reports that minCoverage of the other routers report their sums, or that there are none.
	// Otherwise teams that reach only this router would appear larger than those that reach all, and be
	// refused in their place.
	covered bool
}

// account is a team's sum as of a time.
type account struct {
	sum float64
	at  time.Time
}

const (
	// pressureHalfLife smooths the pressure over the endpoints of consecutive requests: some of
	// them have a long queue by chance.
	pressureHalfLife = 100 * time.Millisecond
	// minPressureWeight is the least weight of a sample, so that requests that arrive at the same
	// moment count.
	minPressureWeight = 0.1
)

// smoothPressure adds a sample and returns the smoothed pressure. After a pause the sample alone
// counts.
func (g *group) smoothPressure(now time.Time, sample float64) float64 {
	if math.IsNaN(sample) {
		sample = 0
	}
	weight := 1 - math.Exp2(-now.Sub(g.pressureAt).Seconds()/pressureHalfLife.Seconds())
	g.pressure += max(weight, minPressureWeight) * (min(max(sample, 0), thinningEnd) - g.pressure)
	g.pressureAt = now
	if g.pressure >= reportPressure {
		g.shortUntil = now.Add(reportPeriod)
	}
	return g.pressure
}

// value returns a team's sum.
func (g *group) value(now time.Time, team string) float64 {
	a := g.teams[team]
	if a == nil {
		return 0
	}
	return a.sum * remaining(now.Sub(a.at))
}

// add adds work, which may be negative, to a team's sum. The sum never falls below 0.
func (g *group) add(now time.Time, team string, work float64) {
	a := g.teams[team]
	if a == nil {
		if len(g.teams) >= maxTeams {
			g.dropLeastRecent()
		}
		a = &account{at: now}
		g.teams[team] = a
	}
	a.sum = max(0, g.value(now, team)+work)
	if now.After(a.at) {
		a.at = now
	}
}

func (g *group) dropLeastRecent() {
	oldest, at := "", time.Time{}
	for name, a := range g.teams {
		if oldest == "" || a.at.Before(at) {
			oldest, at = name, a.at
		}
	}
	delete(g.teams, oldest)
}

// group returns the sums of a service and rank. l.mu is held.
func (l *Ledger) group(now time.Time, key groupKey) *group {
	g := l.groups[key]
	if g == nil {
		if len(l.groups) >= maxGroups {
			l.dropLeastRecent()
		}
		g = &group{teams: make(map[string]*account)}
		l.groups[key] = g
	}
	g.usedAt = now
	return g
}

func (l *Ledger) dropLeastRecent() {
	var oldest groupKey
	var at time.Time
	for key, g := range l.groups {
		if at.IsZero() || g.usedAt.Before(at) {
			oldest, at = key, g.usedAt
		}
	}
	delete(l.groups, oldest)
}

// refresh summarizes the sums of all routers anew if the summary is old. l.mu is held.
func (l *Ledger) refresh(now time.Time, key groupKey, g *group) {
	if now.Sub(g.refreshedAt) < refreshInterval {
		return
	}
	g.refreshedAt = now
	sums, known := l.cfg.Peers()
	g.peers = sums.find(key)
	g.covered = float64(g.peers.Routers) >= minCoverage*float64(known)
	g.loads = g.allLoads(now)
}

// allLoads returns the loads of all teams over the fleet.
func (g *group) allLoads(now time.Time) []load {
	loads := make([]load, 0, len(g.teams)+len(g.peers.Teams)+1)
	unlisted := 0
	for team := range g.teams {
		own := g.value(now, team)
		if own < minSum {
			continue
		}
		if _, listed := g.peers.Teams[team]; !listed {
			unlisted++
		}
		loads = append(loads, load{own + g.peers.of(team), 1})
	}
	for team, sum := range g.peers.Teams {
		if g.value(now, team) < minSum {
			loads = append(loads, load{sum, 1})
		}
	}
	if others := g.peers.RestTeams - unlisted; others > 0 && g.peers.Rest > 0 {
		loads = append(loads, load{g.peers.Rest / float64(g.peers.RestTeams), others})
	}
	return loads
}

// Report returns the sums of this router for other routers: those of the services and ranks for
// which this router or another one has seen a pressure lately.
func (l *Ledger) Report(now time.Time) Sums {
	peers, _ := l.cfg.Peers()
	l.mu.Lock()
	defer l.mu.Unlock()
	var sums Sums
	for key, g := range l.groups {
		short := now.Before(g.shortUntil)
		if short || peers.find(key).Short {
			sums = append(sums, g.report(now, key, short))
		}
	}
	for _, g := range peers {
		if g.Short && l.groups[g.key()] == nil {
			sums = append(sums, Group{Service: g.Service, Rank: g.Rank, Routers: 1, Teams: map[string]float64{}}) // shows that there is no work here
		}
	}
	return sums
}

func (g *group) report(now time.Time, key groupKey, short bool) Group {
	out := Group{Service: key.service, Rank: key.rank, Short: short, Routers: 1, Teams: make(map[string]float64, len(g.teams))}
	for team := range g.teams {
		if sum := g.value(now, team); sum >= minSum {
			out.Teams[team] = sum
		}
	}
	return out
}
