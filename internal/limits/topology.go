package limits

import (
	"coveferry/internal/bundle"
	"coveferry/internal/credit"
)

// topology holds the limits and routers of a bundle. It is immutable.
type topology struct {
	mode    Mode
	self    string
	cfg     Config
	teams   map[string]bundle.TeamLimits // those with limits
	owners  map[string]string            // by team; empty unless the mode is Shared
	routers map[string]bundle.Router
	// routerCount is the number of routers that share limits, including this
	// one.
	routerCount int
}

func newTopology(cfg Config, b *bundle.Bundle) *topology {
	t := &topology{
		mode: cfg.Mode, self: cfg.Name, cfg: cfg,
		teams:   make(map[string]bundle.TeamLimits),
		owners:  make(map[string]string),
		routers: make(map[string]bundle.Router, len(b.Routers)),
	}
	names := make([]string, len(b.Routers))
	for i, r := range b.Routers {
		names[i] = r.Name
		t.routers[r.Name] = r
	}
	t.routerCount = len(names)
	if _, listed := t.routers[t.self]; !listed {
		t.routerCount++ // this router uses limits, too, although it isn't in the bundle
	}
	if t.routerCount == 1 || (t.mode == Shared && cfg.Sender == nil) {
		t.mode = PerRouter
	}
	for i := range b.Teams {
		t.addTeam(&b.Teams[i], names)
	}
	return t
}

func (t *topology) addTeam(team *bundle.Team, routers []string) {
	if team.Limits == (bundle.TeamLimits{}) {
		return
	}
	t.teams[team.Name] = team.Limits
	if t.mode != Shared {
		return
	}
	// All limits of a team have the same owner, so that they share a message.
	if owner, ok := credit.OwnerOf(credit.Key{Team: team.Name}, routers); ok {
		t.owners[team.Name] = owner
	}
}

// limitsOf returns the current limits of a team. For a team that was removed
// while a request of an earlier bundle is in progress, it returns the limits of
// that bundle.
func (t *topology) limitsOf(team *bundle.Team) bundle.TeamLimits {
	if t == nil {
		return team.Limits
	}
	limits, known := t.teams[team.Name]
	if !known {
		return team.Limits
	}
	return limits
}

func (t *topology) creditConfig(perSecond float64) credit.Config {
	return credit.Config{Rate: perSecond, Period: t.cfg.Period, TTL: t.cfg.TTL}
}

func (t *topology) permitConfig(limit int) credit.PermitConfig {
	return credit.PermitConfig{Limit: limit, Period: t.cfg.Period, TTL: t.cfg.TTL}
}
