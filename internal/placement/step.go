package placement

import (
	"slices"
	"time"
)

// Kind is what an order asks of the engine.
type Kind string

const (
	LoadModel   Kind = "load_model"
	UnloadModel Kind = "unload_model"
	LoadAdapter Kind = "load_adapter"
	SetVersion  Kind = "set_version"
	SetRole     Kind = "set_role"
)

// Order is the body of a request to the engine.
type Order struct {
	Kind   Kind   `json:"kind"`
	Target string `json:"target"`
	Fence  uint64 `json:"fence"`
}

// Reason explains a step.
type Reason string

const (
	ReasonPlaced      Reason = "placed"      // the engine is as the bundle specifies
	ReasonSet         Reason = "set"         // a version or role is to be set
	ReasonMissing     Reason = "missing"     // something specified isn't loaded
	ReasonSurplus     Reason = "surplus"     // something loaded isn't specified, and enough others keep it
	ReasonNeeded      Reason = "needed"      // too few others are known to keep a surplus model
	ReasonBackoff     Reason = "backoff"     // the engine refused recently
	ReasonUnreachable Reason = "unreachable" // the engine doesn't list what it holds
	ReasonFenced      Reason = "fenced"      // a newer agent sends the orders
)

// Step is the next order and when to send it; the zero Order means to wait.
type Step struct {
	Order  Order
	At     time.Time
	Reason Reason
}

// State is the known state of the engine.
type State struct {
	Loaded []string // models and adapters, as the engine lists them
	// MaybeUnloaded lists models whose unload was decided on and isn't known to
	// be done or dropped; it may still take effect, even if its response never
	// arrived.
	MaybeUnloaded []string
	// Version and Role are the ones set since the engine last started; engines
	// don't list them.
	Version, Role string
	// OutOfMemory says that the engine had no memory for the last load.
	OutOfMemory bool
	// NotBefore is when the engine may be asked to load again.
	NotBefore time.Time
}

func (s *State) holds(name string) bool {
	return slices.Contains(s.Loaded, name) && !slices.Contains(s.MaybeUnloaded, name)
}

// TimedReport is a report of another agent and when it was requested.
type TimedReport struct {
	Report      Report
	RequestedAt time.Time
}

// NextStep decides on the next step. It loads what the plan specifies before it
// unloads anything, unless the engine is out of memory. reports are those of
// other agents, by endpoint name, and count up to the age maxAge.
func NextStep(now time.Time, p *Plan, s *State, reports map[string]TimedReport, maxAge time.Duration) Step {
	if o, ok := nextSetting(p, s); ok {
		return Step{Order: o, At: now, Reason: ReasonSet}
	}
	load, missing := nextLoad(p, s)
	if missing && !s.OutOfMemory {
		if now.Before(s.NotBefore) {
			return Step{At: s.NotBefore, Reason: ReasonBackoff}
		}
		return Step{Order: load, At: p.FetchSlots.Next(now), Reason: ReasonMissing}
	}
	if step, surplus := nextUnload(now, p, s, reports, maxAge); surplus {
		return step
	}
	if missing {
		return Step{Order: load, At: p.FetchSlots.Next(later(now, s.NotBefore)), Reason: ReasonMissing}
	}
	return Step{Reason: ReasonPlaced}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func nextSetting(p *Plan, s *State) (Order, bool) {
	if v := p.Want.Version; v != "" && v != s.Version {
		return Order{Kind: SetVersion, Target: v}, true
	}
	if r := p.Want.Role; r != "" && r != s.Role {
		return Order{Kind: SetRole, Target: r}, true
	}
	return Order{}, false
}

func nextLoad(p *Plan, s *State) (Order, bool) {
	for _, m := range p.Want.Models {
		if !s.holds(m) {
			return Order{Kind: LoadModel, Target: m}, true
		}
	}
	for _, a := range p.Want.Adapters {
		if !s.holds(a) {
			return Order{Kind: LoadAdapter, Target: a}, true
		}
	}
	return Order{}, false
}

// nextUnload picks the first surplus model that enough others keep. It returns
// false if there is no surplus.
func nextUnload(now time.Time, p *Plan, s *State, reports map[string]TimedReport, maxAge time.Duration) (Step, bool) {
	surplus := Surplus(p, s)
	at := p.UnloadSlots.Next(now)
	for _, m := range surplus {
		if countKeepers(at, p, m, reports, maxAge) >= p.MinReady {
			return Step{Order: Order{Kind: UnloadModel, Target: m}, At: at, Reason: ReasonSurplus}, true
		}
	}
	return Step{At: at, Reason: ReasonNeeded}, len(surplus) > 0
}

// Surplus lists the models that the engine holds and the plan doesn't specify.
func Surplus(p *Plan, s *State) []string {
	var out []string
	for _, name := range s.Loaded {
		if slices.Contains(p.Managed, name) && !p.wants(name) {
			out = append(out, name)
		}
	}
	return out
}

func (p *Plan) wants(name string) bool {
	return slices.Contains(p.Want.Models, name) || slices.Contains(p.Want.Adapters, name)
}

// countKeepers counts the others that keep a model, by reports no older than
// maxAge at the time of the order. An agent with an older bundle doesn't count,
// whatever it holds: a newer bundle may make it unload the model while it
// counts on this agent to keep it.
func countKeepers(at time.Time, p *Plan, model string, reports map[string]TimedReport, maxAge time.Duration) int {
	n := 0
	for name, s := range reports {
		recent := at.Sub(s.RequestedAt) <= maxAge
		if name != p.Self && recent && s.Report.Bundle >= p.Version && slices.Contains(s.Report.Keeps, model) {
			n++
		}
	}
	return n
}
