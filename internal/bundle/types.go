// Package bundle holds the operators' configuration: teams, classes, tiers,
// models, services, endpoints and limits, under one version and one signature.
// A bundle is decoded strictly, checked whole, and used only as an immutable
// Snapshot.
package bundle

import (
	"cmp"
	"time"

	"coveferry/internal/units"
)

// Format is the version of the schema that this program reads and writes.
const Format = 1

// Bundle is one version of the configuration.
type Bundle struct {
	// Format must be the constant of that name.
	Format int `json:"format" jsonc:"required"`
	// Version grows with every change; a lower one is never accepted.
	Version uint64    `json:"version" jsonc:"required"`
	Issued  time.Time `json:"issued" jsonc:"required"`
	// Expires ends the validity of the signature, not of the service: an
	// expired bundle in force stays in force, but isn't accepted as new.
	Expires time.Time `json:"expires" jsonc:"required"`

	Tiers     []Tier     `json:"tiers" jsonc:"required"` // highest first
	Classes   []Class    `json:"classes" jsonc:"required"`
	Models    []Model    `json:"models" jsonc:"required"`
	Services  []Service  `json:"services,omitempty"`
	Teams     []Team     `json:"teams" jsonc:"required"`
	Endpoints []Endpoint `json:"endpoints" jsonc:"required"`
	// Routes send requests by host and path to services whose endpoints are
	// reached directly.
	Routes []Route `json:"routes,omitempty"`
	// Routers are the entry VMs' processes, so that processes find each other.
	Routers []Router `json:"routers,omitempty"`
	Limits  Limits   `json:"limits" jsonc:"required"`
}

// Tier is a level of service. Its rank is its place in the list.
type Tier struct {
	Name string `json:"name" jsonc:"required"`
}

// Class is a kind of request with its latency targets.
type Class struct {
	Name string `json:"name" jsonc:"required"`
	// FirstToken is the target for the time to the first token; for a plain
	// service, to the first byte.
	FirstToken units.Duration `json:"first_token" jsonc:"required"`
	// BetweenTokens is the target for the mean time between tokens; 0 is none.
	BetweenTokens units.Duration `json:"between_tokens,omitempty"`
	// Objective is the share of requests that must meet FirstToken and be
	// answered whole, between 0 and 1; 0 stands for 0.95. Reports go by it.
	Objective float64 `json:"objective,omitempty"`
	// Deadline is when an answer loses its worth, unless the caller says so
	// with a deadline of its own.
	Deadline units.Duration `json:"deadline" jsonc:"required"`
}

// Model is a language model that endpoints serve.
type Model struct {
	Name string `json:"name" jsonc:"required"`
}

// Service is a plain HTTP service that coveferry routes to as well.
type Service struct {
	Name string `json:"name" jsonc:"required"`
	// Idempotent says that a call may be repeated, unless its caller marks
	// it as non-idempotent.
	Idempotent bool `json:"idempotent,omitempty"`
}

// Team is a customer.
type Team struct {
	Name string `json:"name" jsonc:"required"`
	// KeyHashes are SHA-256 hashes of the team's keys, as "sha256:<hex>".
	KeyHashes []string `json:"key_hashes" jsonc:"required"`
	// Grants say which classes the team may use and the tier it paid for in
	// each. The first grant is the default class.
	Grants []Grant    `json:"grants" jsonc:"required"`
	Limits TeamLimits `json:"limits,omitzero"`
}

// Grant lets a team use a class at a tier.
type Grant struct {
	Class string `json:"class" jsonc:"required"`
	Tier  string `json:"tier" jsonc:"required"`
}

// TeamLimits bound a team across all routers; 0 means no limit.
type TeamLimits struct {
	RequestsPerSecond float64 `json:"requests_per_second,omitempty"`
	TokensPerSecond   float64 `json:"tokens_per_second,omitempty"`
	Concurrency       int     `json:"concurrency,omitempty"`
}

// Endpoint is a model engine or a plain service together with its agent.
type Endpoint struct {
	Name string `json:"name" jsonc:"required"`
	// Address is the agent's, IP and port.
	Address string `json:"address" jsonc:"required"`
	// ControlAddress is where the agent takes part in the control channel, IP
	// and port; without it the agent only asks others.
	ControlAddress string   `json:"control_address,omitempty"`
	VM             string   `json:"vm" jsonc:"required"`
	FailureDomain  string   `json:"failure_domain" jsonc:"required"`
	Region         string   `json:"region" jsonc:"required"`
	Models         []string `json:"models,omitempty"`
	Services       []string `json:"services,omitempty"`
	// Direct endpoints have no agent: routers reach the address itself, for
	// the requests of routes only.
	Direct bool `json:"direct,omitempty"`
	// Slots is how many requests the endpoint runs at once.
	Slots int `json:"slots" jsonc:"required"`
	// Incarnation names the process at the address, where a list of endpoints tells it;
	// one that starts again has another. A bundle doesn't, and agents tell their own.
	Incarnation string `json:"-"`
	// Placement is what the agent has the engine hold; without it the agent
	// gives its engine no orders.
	Placement Placement `json:"placement,omitzero"`
}

// Process names the process at the endpoint, as far as can be told: that of another
// incarnation, or at another address, holds and knows nothing of the one before.
func (e *Endpoint) Process() string { return cmp.Or(e.Incarnation, e.Address) }

// Placement is what an engine is to hold, which its agent orders.
type Placement struct {
	// Models are loaded; other models of the bundle are unloaded once enough
	// other endpoints hold them.
	Models []string `json:"models,omitempty"`
	// Adapters are loaded, after the models.
	Adapters []string `json:"adapters,omitempty"`
	// Version is set unless it is empty.
	Version string `json:"version,omitempty"`
	// Role is required in a placement: an agent that starts sets it first, and
	// by the order's fencing number shuts out the agent before it.
	Role string `json:"role,omitempty"`
}

// IsZero says whether nothing is placed.
func (p Placement) IsZero() bool {
	return len(p.Models) == 0 && len(p.Adapters) == 0 && p.Version == "" && p.Role == ""
}

// Router is a process on an entry VM. A router that isn't listed serves all the
// same, but others don't know it and never call it.
type Router struct {
	// Name is that of the router's certificate.
	Name           string `json:"name" jsonc:"required"`
	ControlAddress string `json:"control_address" jsonc:"required"` // IP and port
	FailureDomain  string `json:"failure_domain" jsonc:"required"`
	Region         string `json:"region" jsonc:"required"`
}

// Limits bound what the system holds for callers.
type Limits struct {
	// RequestBytes bounds one request's body.
	RequestBytes units.Bytes `json:"request_bytes" jsonc:"required"`
	// QueueEntries and QueueBytes bound the queue of each endpoint.
	QueueEntries int         `json:"queue_entries" jsonc:"required"`
	QueueBytes   units.Bytes `json:"queue_bytes" jsonc:"required"`
	// WeightFetchesPerSecond is the weight store's rate of requests, which the
	// agents with a placement share.
	WeightFetchesPerSecond float64 `json:"weight_fetches_per_second,omitempty"`
	// MinReadyReplicas is how many other endpoints must keep a model before
	// an agent unloads it; 0 means 1.
	MinReadyReplicas int `json:"min_ready_replicas,omitempty"`
}
