package placement

import (
	"slices"
	"time"
)

// PathStatus is the path at which an agent serves its Status.
const PathStatus = "/v1/placement/status"

// Status describes a runner to operators.
type Status struct {
	Endpoint string `json:"endpoint"`
	// Bundle is the version of the plan; 0 if the bundle has no placement for
	// this endpoint.
	Bundle uint64   `json:"bundle"`
	Loaded []string `json:"loaded"`
	// Next is the kind of the next order, empty if there is none, and At its
	// time.
	Next   Kind      `json:"next,omitempty"`
	Target string    `json:"target,omitempty"`
	At     time.Time `json:"at,omitzero"`
	Reason Reason    `json:"reason,omitempty"`
}

// Status returns the current status.
func (r *Runner) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := Status{
		Endpoint: r.cfg.Endpoint,
		Loaded:   slices.Clone(r.state.Loaded),
		Next:     r.step.Order.Kind,
		Target:   r.step.Order.Target,
		At:       r.step.At,
		Reason:   r.step.Reason,
	}
	if r.plan != nil {
		s.Bundle = r.plan.Version
	}
	return s
}
