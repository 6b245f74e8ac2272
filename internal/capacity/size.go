package capacity

import (
	"math"

	"github.com/cockroachdb/errors"
)

// SizeFile is the content of a file of sizes.
type SizeFile struct {
	Sizes []Size `json:"sizes"`
}

// Size holds the required figures of one fleet. A figure of 0 is unknown.
type Size struct {
	// ID is part of the names of the tables in the document.
	ID     string `json:"id"`
	Name   string `json:"name"`
	Source string `json:"source"`

	Routers      float64 `json:"routers,omitempty"`
	Agents       float64 `json:"agents,omitempty"` // one beside each replica
	Accelerators float64 `json:"accelerators,omitempty"`

	RequestsPerSecond float64 `json:"requests_per_second,omitempty"`
	TokensPerSecond   float64 `json:"tokens_per_second,omitempty"`
	// FirstTokenSeconds and BetweenTokensSeconds are the targets for the 95th
	// percentile.
	FirstTokenSeconds    float64 `json:"first_token_seconds,omitempty"`
	BetweenTokensSeconds float64 `json:"between_tokens_seconds,omitempty"`

	Tiers          float64 `json:"tiers,omitempty"`
	Teams          float64 `json:"teams,omitempty"`
	Models         float64 `json:"models,omitempty"`
	Regions        float64 `json:"regions,omitempty"`
	FailureDomains float64 `json:"failure_domains,omitempty"`

	ChangesPerDay     float64 `json:"changes_per_day,omitempty"`
	InForceSeconds    float64 `json:"in_force_seconds,omitempty"`
	ReplacementsByDay float64 `json:"replacements_per_day,omitempty"`
	VMFailuresByDay   float64 `json:"vm_failures_per_day,omitempty"`

	Control Control `json:"control"`
	Service Service `json:"service"`
}

// Control holds the allowances of one node for the control plane.
type Control struct {
	CoreShare      float64 `json:"core_share"` // of one core, 0.015 is 1.5%
	MemoryBytes    float64 `json:"memory_bytes"`
	BytesPerSecond float64 `json:"bytes_per_second"`
}

// Service holds the limits of the configuration service.
type Service struct {
	ReadsPerSecond float64 `json:"reads_per_second"` // over all readers, including watches
	ValueBytes     float64 `json:"value_bytes"`
}

// Check returns an error marked ErrBadInput for invalid figures.
func (s Size) Check() error {
	if s.ID == "" || s.Name == "" || s.Source == "" {
		return errors.Mark(errors.New("a size needs an id, a name and a source"), ErrBadInput)
	}
	for _, f := range s.figures() {
		if f < 0 || math.IsInf(f, 0) || math.IsNaN(f) {
			return errors.Mark(errors.Newf("size %q: %v is not a figure of a size", s.Name, f), ErrBadInput)
		}
	}
	return nil
}

func (s Size) figures() []float64 {
	return []float64{
		s.Routers, s.Agents, s.Accelerators, s.RequestsPerSecond, s.TokensPerSecond,
		s.FirstTokenSeconds, s.BetweenTokensSeconds, s.Tiers, s.Teams, s.Models, s.Regions,
		s.FailureDomains, s.ChangesPerDay, s.InForceSeconds, s.ReplacementsByDay,
		s.VMFailuresByDay, s.Control.CoreShare, s.Control.MemoryBytes,
		s.Control.BytesPerSecond, s.Service.ReadsPerSecond, s.Service.ValueBytes,
	}
}

// Grown returns the size with all figures that grow with the fleet multiplied by
// factor. Models, tiers, regions, failure domains, the allowances and the limits
// of the configuration service don't change.
func (s Size) Grown(factor float64) Size {
	grown := []*float64{
		&s.Routers, &s.Agents, &s.Accelerators, &s.RequestsPerSecond, &s.TokensPerSecond,
		&s.Teams, &s.ChangesPerDay, &s.ReplacementsByDay, &s.VMFailuresByDay,
	}
	for _, f := range grown {
		*f *= factor
	}
	return s
}

// figure returns a figure of the size; 0 means that it is unknown.
func figure(name string, value float64) Quantity {
	if value == 0 {
		value = math.NaN()
	}
	return Quantity{Value: value, Sources: []Source{Source("letter: " + name)}}
}
