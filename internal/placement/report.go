package placement

import "slices"

// PathReport is the path at which an agent serves its Report to other agents.
const PathReport = "/v1/placement"

// Report is an agent's report on its endpoint to other agents.
type Report struct {
	Endpoint string `json:"endpoint"`
	// Bundle is the version of the bundle that the agent has applied.
	Bundle uint64 `json:"bundle"`
	// Keeps lists the models that the engine holds and that this version of the
	// bundle places there. A model is removed from it as soon as its unload is
	// decided.
	Keeps []string `json:"keeps,omitempty"`
}

// newReport returns the report on an endpoint.
func newReport(p *Plan, s *State) Report {
	r := Report{Endpoint: p.Self, Bundle: p.Version}
	for _, m := range p.Want.Models {
		if s.holds(m) && !slices.Contains(r.Keeps, m) {
			r.Keeps = append(r.Keeps, m)
		}
	}
	return r
}
