package bench

import (
	"time"

	"coveferry/internal/bench/arrivals"
	"coveferry/internal/bundle"
	"coveferry/internal/standin/engine"
	"coveferry/internal/units"
)

// Limits of the bench's bundle.
const (
	bundleValidity = 24 * time.Hour
	requestBytes   = 1 << 20
	queueEntries   = 1000
	queueBytes     = 64 << 20
)

// Key returns the API key of a team.
func Key(team string) string { return "bench-key-of-" + team }

// newBundle returns the bundle for a mix, without endpoints.
func newBundle(m arrivals.Mix, now time.Time) bundle.Bundle {
	b := bundle.Bundle{
		Format:  bundle.Format,
		Version: 1,
		Issued:  now,
		Expires: now.Add(bundleValidity),
		Models:  []bundle.Model{{Name: engine.DefaultModel}},
		Limits: bundle.Limits{
			RequestBytes: requestBytes,
			QueueEntries: queueEntries,
			QueueBytes:   queueBytes,
		},
	}
	for _, t := range arrivals.Tiers() {
		b.Tiers = append(b.Tiers, bundle.Tier{Name: t})
	}
	for _, u := range m.Users {
		for _, c := range u.Classes {
			b.Classes = append(b.Classes, newClass(c))
		}
		for _, t := range u.Teams {
			b.Teams = append(b.Teams, newTeam(t, u.Classes))
		}
	}
	return b
}

func newClass(c arrivals.Class) bundle.Class {
	return bundle.Class{
		Name:       c.Name,
		FirstToken: units.Duration(c.FirstToken),
		Deadline:   units.Duration(c.Deadline),
	}
}

func newTeam(t arrivals.Team, classes []arrivals.Class) bundle.Team {
	team := bundle.Team{Name: t.Name, KeyHashes: []string{bundle.HashKey(Key(t.Name))}}
	for _, c := range classes {
		team.Grants = append(team.Grants, bundle.Grant{Class: c.Name, Tier: t.Tier})
	}
	return team
}
