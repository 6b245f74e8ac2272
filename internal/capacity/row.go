package capacity

import "strings"

// Role is a kind of process.
type Role string

// The roles of the fleet.
const (
	RoleRouter   Role = "router"
	RoleAgent    Role = "agent"
	RoleReader   Role = "configuration reader"
	RoleOperator Role = "operator's tool"
)

// Roles returns the roles in the order of the report.
func Roles() []Role { return []Role{RoleRouter, RoleAgent, RoleReader, RoleOperator} }

// Plane distinguishes the data plane, which carries the callers' answers, from
// the control plane. Only the control plane has an allowance.
type Plane string

// The planes.
const (
	PlaneControl Plane = "control"
	PlaneData    Plane = "data"
)

// Stage is the state of implementation of a row's mechanism.
type Stage string

// The stages of a mechanism.
const (
	// StageBuilt: implemented, and part of the design.
	StageBuilt Stage = "built"
	// StageReplaced: implemented, but replaced by another mechanism in the
	// design.
	StageReplaced Stage = "built, to be replaced"
	// StageOff: implemented, but disabled unless the settings enable it.
	StageOff Stage = "built, off by default"
	// StageDesigned: not implemented; the row is an estimate.
	StageDesigned Stage = "not built yet"
)

// Plan is a set of mechanisms that run together.
type Plan string

// The plans.
const (
	PlanToday  Plan = "as built today"
	PlanDesign Plan = "as designed"
	// PlanNoCredits is the design without credits and permits, its most
	// expensive mechanism.
	PlanNoCredits Plan = "as designed, without team limits"
	// PlanBoth marks rows that are part of both PlanToday and PlanDesign.
	PlanBoth Plan = "in both"
)

// Plans returns PlanToday and PlanDesign, in the order of the report.
func Plans() []Plan { return []Plan{PlanToday, PlanDesign} }

// In reports whether mechanisms of the stage are part of the plan.
func (s Stage) In(p Plan) bool {
	return s == StageBuilt || (s == StageReplaced) == (p == PlanToday)
}

// inPlan reports whether the row is part of the plan.
func (r Row) inPlan(p Plan) bool {
	if p == PlanNoCredits {
		return r.Stage.In(PlanDesign) && !strings.HasPrefix(string(r.ID), creditRowPrefix)
	}
	return r.Stage.In(p)
}

// Verdict compares an amount with its allowance.
type Verdict string

// The verdicts.
const (
	VerdictWithin  Verdict = "within"
	VerdictOver    Verdict = "OVER"
	VerdictUnknown Verdict = "unknown"
	// VerdictNone: there is no allowance for it.
	VerdictNone Verdict = "no allowance set"
)

// Mechanism is the mechanism whose cost a row describes.
type Mechanism struct {
	Name string `json:"name"`
	// File is its path in the repository; empty if it isn't implemented.
	File string `json:"file,omitempty"`
}

// RowID identifies a row.
type RowID string

// Row is the cost of one piece of state, or of one kind of message or work, of a
// role.
type Row struct {
	ID    RowID  `json:"id"`
	Role  Role   `json:"role"`
	Plane Plane  `json:"plane"`
	Item  string `json:"item"`
	// Entries and EntryBytes are the number of entries of the state and the
	// size of one.
	Entries    Quantity `json:"entries"`
	EntryBytes Quantity `json:"entry_bytes"`
	// PerSecond is the rate of messages or other work, MessageBytes the bytes
	// on the wire and CPUEach the CPU seconds of one.
	PerSecond    Quantity  `json:"per_second"`
	MessageBytes Quantity  `json:"message_bytes"`
	CPUEach      Quantity  `json:"cpu_each"`
	Mechanism    Mechanism `json:"mechanism"`
	Stage        Stage     `json:"stage"`
	// Note states the assumptions of an estimate.
	Note    string  `json:"note,omitempty"`
	Verdict Verdict `json:"verdict"`
	// Worst is the row's largest share of an allowance.
	Worst Share `json:"worst"`
}

// Memory returns the memory of the row in bytes.
func (r Row) Memory() Quantity { return r.Entries.Times(r.EntryBytes) }

// Bandwidth returns the bytes per second that the row sends and receives.
func (r Row) Bandwidth() Quantity { return r.PerSecond.Times(r.MessageBytes) }

// CPU returns the CPU time of the row as a fraction of one core.
func (r Row) CPU() Quantity { return r.PerSecond.Times(r.CPUEach) }

// Amount returns the row's usage of a resource.
func (r Row) Amount(res Resource) Quantity {
	switch res {
	case ResourceMemory:
		return r.Memory()
	case ResourceBandwidth:
		return r.Bandwidth()
	default:
		return r.CPU()
	}
}

// sources returns the inputs that the row was computed from.
func (r Row) sources() []Source {
	return sum(r.Entries, r.EntryBytes, r.PerSecond, r.MessageBytes, r.CPUEach).Sources
}

// Resource is a resource with an allowance for the control plane.
type Resource string

// The resources.
const (
	ResourceMemory    Resource = "memory"
	ResourceBandwidth Resource = "bandwidth"
	ResourceCPU       Resource = "processor"
)

// Resources returns the resources in the order of the report.
func Resources() []Resource {
	return []Resource{ResourceMemory, ResourceBandwidth, ResourceCPU}
}

// AllowanceTable holds the allowances of a node for the control plane.
type AllowanceTable struct {
	Memory    Quantity `json:"memory"`    // bytes
	Bandwidth Quantity `json:"bandwidth"` // bytes per second
	CPU       Quantity `json:"cpu"`       // fraction of one core
}

// Of returns the allowance of a resource.
func (a AllowanceTable) Of(res Resource) Quantity {
	switch res {
	case ResourceMemory:
		return a.Memory
	case ResourceBandwidth:
		return a.Bandwidth
	default:
		return a.CPU
	}
}

// Share is a usage divided by its allowance.
type Share struct {
	Resource Resource `json:"resource,omitempty"`
	Ratio    Quantity `json:"ratio"`
}

// Verdict compares the share with the allowance.
func (s Share) Verdict() Verdict {
	switch {
	case !s.Ratio.Known():
		return VerdictUnknown
	case s.Ratio.Value > 1:
		return VerdictOver
	default:
		return VerdictWithin
	}
}

// withVerdict sets the verdict of a row, that of its worst resource.
func (a AllowanceTable) withVerdict(r Row) Row {
	if r.Plane == PlaneData || r.Role == RoleOperator {
		r.Verdict = VerdictNone
		return r
	}
	for _, res := range Resources() {
		s := Share{res, r.Amount(res).Per(a.Of(res))}
		if isWorse(s, r.Worst) {
			r.Worst = s
		}
	}
	r.Verdict = r.Worst.Verdict()
	return r
}

// isWorse reports whether s is worse than another share. An unknown share is
// worse than any known one.
func isWorse(s, than Share) bool {
	if !than.Ratio.Known() {
		return false
	}
	return !s.Ratio.Known() || than.Resource == "" || s.Ratio.Value > than.Ratio.Value
}
