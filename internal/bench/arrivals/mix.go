package arrivals

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Tier names of every mix, highest first.
const (
	TierGold   = "gold"
	TierSilver = "silver"
	TierBronze = "bronze"
)

// Tiers lists the tiers of every mix, highest first.
func Tiers() []string { return []string{TierGold, TierSilver, TierBronze} }

// Role is the kind of work that a class represents. Scenarios refer to roles
// instead of classes, so that they apply to every mix.
type Role string

// The roles of classes.
const (
	RoleUrgent Role = "urgent" // short answers, worthless when late
	RoleMedium Role = "medium" // interactive, a person waits for the answer
	RoleLong   Role = "long"   // long documents, still useful when late
)

// Class is a kind of request and the distribution of its answers.
type Class struct {
	Name string
	Role Role
	// Share is the class's fraction of its user's requests.
	Share float64
	// FirstToken is the target for the first token, Deadline the time after
	// which the caller gives up; both are relative to the arrival.
	FirstToken time.Duration
	Deadline   time.Duration
	// Answer lengths, in tokens, are log-normal and capped at MaxTokens.
	MedianTokens float64
	Sigma        float64
	MaxTokens    int
	// PromptWords is the length of the prompt prefix shared by all requests
	// of one team in this class.
	PromptWords int
	// NonIdempotent is the fraction of requests that must not run twice.
	NonIdempotent float64
}

// Team is a customer with its tier and its weight among its user's requests.
type Team struct {
	Name   string
	Tier   string
	Weight float64
}

// User is the workload of one operator: classes, and the teams that send them.
type User struct {
	Name    string
	Classes []Class
	Teams   []Team
}

// Mix is a set of users that share a fleet, each with an equal part of the load.
type Mix struct {
	Name  string
	Users []User
}

// Names of the mixes.
const (
	MixRegistry = "registry"
	MixFleet    = "fleet"
	MixBoth     = "both"
	MixSmall    = "small"
)

// ErrUnknownMix marks the error for an unknown mix name.
var ErrUnknownMix = errors.New("unknown mix")

// MixByName returns a mix; its error is marked ErrUnknownMix.
func MixByName(name string) (Mix, error) {
	switch name {
	case MixRegistry:
		return Mix{Name: name, Users: []User{registry()}}, nil
	case MixFleet:
		return Mix{Name: name, Users: []User{fleet()}}, nil
	case MixBoth:
		return Mix{Name: name, Users: []User{registry(), fleet()}}, nil
	case MixSmall:
		return Mix{Name: name, Users: []User{small()}}, nil
	default:
		err := errors.Newf("no mix %q; there are %s, %s, %s and %s", name, MixRegistry, MixFleet, MixBoth, MixSmall)
		return Mix{}, errors.Mark(err, ErrUnknownMix)
	}
}

// Classes lists the classes of all users.
func (m Mix) Classes() []Class {
	var classes []Class
	for _, u := range m.Users {
		classes = append(classes, u.Classes...)
	}
	return classes
}

// Teams lists the teams of all users.
func (m Mix) Teams() []Team {
	var teams []Team
	for _, u := range m.Users {
		teams = append(teams, u.Teams...)
	}
	return teams
}

// registry is a company registry: receipts with a statutory deadline, queries of
// advocates, and reviews of long documents.
func registry() User {
	return User{
		Name: MixRegistry,
		Classes: []Class{
			{
				Name: "receipts", Role: RoleUrgent, Share: 0.55,
				FirstToken: 400 * time.Millisecond, Deadline: 3 * time.Second,
				MedianTokens: 12, Sigma: 0.4, MaxTokens: 48,
				PromptWords: 40, NonIdempotent: 0.5,
			},
			{
				Name: "queries", Role: RoleMedium, Share: 0.33,
				FirstToken: 1500 * time.Millisecond, Deadline: 15 * time.Second,
				MedianTokens: 60, Sigma: 0.7, MaxTokens: 400,
				PromptWords: 120,
			},
			{
				Name: "reviews", Role: RoleLong, Share: 0.12,
				FirstToken: 8 * time.Second, Deadline: 45 * time.Second,
				MedianTokens: 160, Sigma: 0.8, MaxTokens: 800,
				PromptWords: 1500,
			},
		},
		Teams: teams(MixRegistry),
	}
}

// fleet is an e-scooter operator: zone lookups of crews, complaints of a city,
// and summaries of repair tickets.
func fleet() User {
	return User{
		Name: MixFleet,
		Classes: []Class{
			{
				Name: "zone-lookups", Role: RoleUrgent, Share: 0.60,
				FirstToken: 300 * time.Millisecond, Deadline: 2 * time.Second,
				MedianTokens: 10, Sigma: 0.3, MaxTokens: 32,
				PromptWords: 30,
			},
			{
				Name: "complaints", Role: RoleMedium, Share: 0.28,
				FirstToken: 2 * time.Second, Deadline: 20 * time.Second,
				MedianTokens: 80, Sigma: 0.6, MaxTokens: 400,
				PromptWords: 150, NonIdempotent: 0.2,
			},
			{
				Name: "ticket-summaries", Role: RoleLong, Share: 0.12,
				FirstToken: 8 * time.Second, Deadline: 40 * time.Second,
				MedianTokens: 140, Sigma: 0.9, MaxTokens: 800,
				PromptWords: 900,
			},
		},
		Teams: teams(MixFleet),
	}
}

// small requests short answers, so that many requests complete in a short time.
func small() User {
	return User{
		Name: MixSmall,
		Classes: []Class{
			{
				Name: "filings", Role: RoleUrgent, Share: 0.6,
				FirstToken: time.Second, Deadline: 15 * time.Second,
				MedianTokens: 6, Sigma: 0.4, MaxTokens: 24,
				PromptWords: 20, NonIdempotent: 0.5,
			},
			{
				Name: "drafts", Role: RoleMedium, Share: 0.4,
				FirstToken: 2 * time.Second, Deadline: 20 * time.Second,
				MedianTokens: 12, Sigma: 0.6, MaxTokens: 60,
				PromptWords: 40,
			},
		},
		Teams: teams(MixSmall),
	}
}

// teams returns ten teams, a few of them large. The gold tier sends a quarter of
// the requests, so that they fit even if the total load is twice the capacity.
func teams(user string) []Team {
	return []Team{
		{user + "-01", TierSilver, 24},
		{user + "-02", TierGold, 18},
		{user + "-03", TierBronze, 14},
		{user + "-04", TierBronze, 10},
		{user + "-05", TierSilver, 8},
		{user + "-06", TierGold, 7},
		{user + "-07", TierBronze, 6},
		{user + "-08", TierSilver, 5},
		{user + "-09", TierBronze, 4},
		{user + "-10", TierBronze, 4},
	}
}
