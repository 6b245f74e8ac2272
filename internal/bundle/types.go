// Package bundle defines the operators' configuration: teams, classes, tiers, models,
// services, endpoints, routes, routers and limits, under one version and one
// signature. A bundle is decoded strictly, validated as a whole, and used only as an
// immutable Snapshot.
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
	// Format must equal the constant Format.
	Format int `json:"format" jsonc:"required"`
	// Version increases with every change; a lower one is never accepted.
	Version uint64    `json:"version" jsonc:"required"`
	Issued  time.Time `json:"issued" jsonc:"required"`
	// Expires is the time from which the bundle isn't accepted as new. A bundle that
	// is already in force stays in force after it has expired.
	Expires time.Time `json:"expires" jsonc:"required"`

	Tiers     []Tier     `json:"tiers" jsonc:"required"` // highest first
	Classes   []Class    `json:"classes" jsonc:"required"`
	Models    []Model    `json:"models" jsonc:"required"`
	Services  []Service  `json:"services,omitempty"`
	Teams     []Team     `json:"teams" jsonc:"required"`
	Endpoints []Endpoint `json:"endpoints" jsonc:"required"`
	// Routes map requests by host and path to services whose endpoints are reached
	// directly.
	Routes []Route `json:"routes,omitempty"`
	// Routers are the processes on the entry VMs, listed so that other processes can
	// reach them.
	Routers []Router `json:"routers,omitempty"`
	Limits  Limits   `json:"limits" jsonc:"required"`
}

// Tier is a service level. Its rank is its index in the list.
type Tier struct {
	Name string `json:"name" jsonc:"required"`
}

// Class is a kind of request with its latency targets.
type Class struct {
	Name string `json:"name" jsonc:"required"`
	// FirstToken is the target for the time to the first token; for a plain
	// service, to the first byte.
	FirstToken units.Duration `json:"first_token" jsonc:"required"`
	// BetweenTokens is the target for the mean time between tokens; 0 means none.
	BetweenTokens units.Duration `json:"between_tokens,omitempty"`
	// Objective is the share of requests, between 0 and 1, that must meet FirstToken
	// and receive a complete response; 0 means 0.95. Reports use it.
	Objective float64 `json:"objective,omitempty"`
	// Deadline is the time after which a response is useless, unless the caller sets
	// its own deadline.
	Deadline units.Duration `json:"deadline" jsonc:"required"`
}

// Model is a language model that endpoints serve.
type Model struct {
	Name string `json:"name" jsonc:"required"`
}

// Service is a plain HTTP service, as opposed to a model.
type Service struct {
	Name string `json:"name" jsonc:"required"`
	// Idempotent means that a call may be retried, unless its caller marks it as
	// non-idempotent.
	Idempotent bool `json:"idempotent,omitempty"`
}

// Team is a customer.
type Team struct {
	Name string `json:"name" jsonc:"required"`
	// KeyHashes are SHA-256 hashes of the team's keys, as "sha256:<hex>".
	KeyHashes []string `json:"key_hashes" jsonc:"required"`
	// Grants are the classes that the team may use, with the tier for each. The
	// class of the first grant is the default class.
	Grants []Grant    `json:"grants" jsonc:"required"`
	Limits TeamLimits `json:"limits,omitzero"`
}

// Grant allows a team to use a class at a tier.
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
	// Address is the IP and port of the agent, or of the service for a direct endpoint.
	Address string `json:"address" jsonc:"required"`
	// ControlAddress is the IP and port at which the agent serves the control
	// channel; without it the agent is only a client of the channel.
	ControlAddress string   `json:"control_address,omitempty"`
	VM             string   `json:"vm" jsonc:"required"`
	FailureDomain  string   `json:"failure_domain" jsonc:"required"`
	Region         string   `json:"region" jsonc:"required"`
	Models         []string `json:"models,omitempty"`
	Services       []string `json:"services,omitempty"`
	// Direct means that the endpoint has no agent: routers connect to the address
	// itself, only for requests of routes.
	Direct bool `json:"direct,omitempty"`
	// Slots is how many requests the endpoint processes concurrently.
	Slots int `json:"slots" jsonc:"required"`
	// Incarnation identifies the process at the address and changes at each restart. It is
	// set only if the endpoint comes from a list that provides it, not from a bundle;
	// agents report their own incarnation.
	Incarnation string `json:"-"`
	// Version is that of the endpoint's software, as the list states it; empty if it doesn't. It
	// is not part of a bundle.
	Version string `json:"-"`
	// Placement is what the agent loads into the engine; without it the agent sends
	// its engine no commands.
	Placement Placement `json:"placement,omitzero"`
}

// ProcessID identifies the process at the endpoint as far as known. A process with another
// incarnation or address shares no state with the previous one.
func (e *Endpoint) ProcessID() string { return cmp.Or(e.Incarnation, e.Address) }

// Placement is the content that an agent loads into its engine.
type Placement struct {
	// Models are loaded. Other models of the bundle are unloaded once enough other
	// endpoints hold them.
	Models []string `json:"models,omitempty"`
	// Adapters are loaded, after the models.
	Adapters []string `json:"adapters,omitempty"`
	// Version is set in the engine unless it is empty.
	Version string `json:"version,omitempty"`
	// Role is required in a placement: a starting agent sets it first, and the
	// command's fencing token excludes the previous agent.
	Role string `json:"role,omitempty"`
}

// IsZero reports whether the placement is empty.
func (p Placement) IsZero() bool {
	return len(p.Models) == 0 && len(p.Adapters) == 0 && p.Version == "" && p.Role == ""
}

// Router is a process on an entry VM. A router that isn't listed also serves requests,
// but other processes don't know it and never call it.
type Router struct {
	// Name is the name in the router's certificate.
	Name           string `json:"name" jsonc:"required"`
	ControlAddress string `json:"control_address" jsonc:"required"` // IP and port
	FailureDomain  string `json:"failure_domain" jsonc:"required"`
	Region         string `json:"region" jsonc:"required"`
}

// Limits bound the memory used for callers' requests, the rate of weight fetches and
// the unloading of models.
type Limits struct {
	// RequestBytes bounds the body of one request.
	RequestBytes units.Bytes `json:"request_bytes" jsonc:"required"`
	// QueueEntries and QueueBytes bound the queue of each endpoint.
	QueueEntries int         `json:"queue_entries" jsonc:"required"`
	QueueBytes   units.Bytes `json:"queue_bytes" jsonc:"required"`
	// WeightFetchesPerSecond is the weight store's total request rate, shared by all
	// agents with a placement.
	WeightFetchesPerSecond float64 `json:"weight_fetches_per_second,omitempty"`
	// MinReadyReplicas is how many other endpoints must hold a model before an agent
	// unloads it; 0 means 1.
	MinReadyReplicas int `json:"min_ready_replicas,omitempty"`
}
