package capacity

import (
	"math"

	"github.com/cockroachdb/errors"
)

// SlopeID identifies a slope.
type SlopeID string

// The slopes that the model uses. Memory is the live heap and stacks in bytes;
// CPU is in CPU seconds.
const (
	PoolEntryMemory        SlopeID = "pool_entry_memory"
	SnapshotEndpointMemory SlopeID = "snapshot_endpoint_memory"
	SnapshotTeamMemory     SlopeID = "snapshot_team_memory"
	SnapshotRouterMemory   SlopeID = "snapshot_router_memory"
	BundleEndpointBytes    SlopeID = "bundle_endpoint_bytes"
	BundleTeamBytes        SlopeID = "bundle_team_bytes"
	BundleRouterBytes      SlopeID = "bundle_router_bytes"
	BundleEndpointWire     SlopeID = "bundle_endpoint_wire_bytes"
	BundleTeamWire         SlopeID = "bundle_team_wire_bytes"
	BundleRouterWire       SlopeID = "bundle_router_wire_bytes"
	ApplyEndpointCPU       SlopeID = "bundle_apply_endpoint_cpu"
	ApplyTeamCPU           SlopeID = "bundle_apply_team_cpu"
	ApplyRouterCPU         SlopeID = "bundle_apply_router_cpu"
	ChangeEndpointBytes    SlopeID = "change_endpoint_bytes"
	ChangeTeamBytes        SlopeID = "change_team_bytes"
	ChangeRouterBytes      SlopeID = "change_router_bytes"
	ChangeEndpointWire     SlopeID = "change_endpoint_wire_bytes"
	ChangeTeamWire         SlopeID = "change_team_wire_bytes"
	ChangeRouterWire       SlopeID = "change_router_wire_bytes"
	ChangeEndpointCPU      SlopeID = "change_endpoint_cpu"
	ChangeTeamCPU          SlopeID = "change_team_cpu"
	ChangeRouterCPU        SlopeID = "change_router_cpu"
	JoinedEndpointMemory   SlopeID = "joined_endpoint_memory"
	JoinedTeamMemory       SlopeID = "joined_team_memory"
	JoinedRouterMemory     SlopeID = "joined_router_memory"
	NextEndpointMemory     SlopeID = "next_endpoint_memory"
	NextTeamMemory         SlopeID = "next_team_memory"
	NextRouterMemory       SlopeID = "next_router_memory"
	ChooseCPU              SlopeID = "choose_cpu"
	SchedCPU               SlopeID = "sched_decision_cpu"
	SchedJobMemory         SlopeID = "sched_job_memory"
	ReportBytes            SlopeID = "load_report_bytes"
	ReportEncodeCPU        SlopeID = "load_report_encode_cpu"
	ReportDecodeCPU        SlopeID = "load_report_decode_cpu"
	RPCBytes               SlopeID = "control_call_bytes"
	SmallRPCBytes          SlopeID = "control_small_call_bytes"
	SmallRPCCPU            SlopeID = "control_small_call_cpu"
	RPCCPU                 SlopeID = "control_call_cpu"
	ControlConnMemory      SlopeID = "control_conn_memory"
	ConnRouterPlain        SlopeID = "idle_conn_router_plain_memory"
	ConnRouterTLS          SlopeID = "idle_conn_router_tls_memory"
	ConnAgentPlain         SlopeID = "idle_conn_agent_plain_memory"
	ConnAgentTLS           SlopeID = "idle_conn_agent_tls_memory"
	RouterStreamMemory     SlopeID = "router_stream_memory"
	RouterTokenCPU         SlopeID = "router_token_cpu"
	RouterRequestCPU       SlopeID = "router_request_cpu"
	AgentStreamMemory      SlopeID = "agent_stream_memory"
	AgentTokenCPU          SlopeID = "agent_token_cpu"
	AgentRequestCPU        SlopeID = "agent_request_cpu"
	TokenBytes             SlopeID = "token_bytes"
	HandshakeCPU           SlopeID = "mtls_handshake_cpu"
	HandshakeBytes         SlopeID = "mtls_handshake_bytes"
	WatchBytes             SlopeID = "service_watch_bytes"
	WatchCPU               SlopeID = "service_watch_cpu"
	PingBytes              SlopeID = "ping_bytes"
	PingCPU                SlopeID = "ping_cpu"
	SubsetCPU              SlopeID = "subset_cpu"
	CreditHomeCPU          SlopeID = "credit_home_cpu"
	CreditHomeMemory       SlopeID = "credit_home_memory"
	CreditHolderCPU        SlopeID = "credit_holder_cpu"
	CreditHolderMemory     SlopeID = "credit_holder_memory"
	CreditBytes            SlopeID = "credit_bytes"
	KeyMemory              SlopeID = "key_memory"
	KeyCPU                 SlopeID = "key_cpu"
	LimitMemory            SlopeID = "team_limit_memory"
	SLOMemory              SlopeID = "slo_series_memory"
	SLOBytes               SlopeID = "slo_report_bytes"
	MemberMemory           SlopeID = "member_memory"
	VMListBytes            SlopeID = "vm_list_bytes"
	VMListCPU              SlopeID = "vm_list_cpu"
	GCHeadroom             SlopeID = "gc_headroom"
)

// Slopes is the content of a file of measured slopes.
type Slopes struct {
	Runs []Run `json:"runs"`
}

// Run is one run of the measuring command on one machine.
type Run struct {
	Machine Machine `json:"machine"`
	Date    string  `json:"date"` // YYYY-MM-DD
	Command string  `json:"command"`
	Slopes  []Slope `json:"slopes"`
}

// Machine describes the machine on which slopes were measured.
type Machine struct {
	Cores       int    `json:"cores"`
	MemoryBytes uint64 `json:"memory_bytes"`
	Go          string `json:"go"`
	Platform    string `json:"platform"`
}

// Slope is the fitted line y = Intercept + Value*x. Value, Intercept and
// Residual are those of the repeated run with the median Value.
type Slope struct {
	ID    SlopeID `json:"id"`
	Title string  `json:"title"`
	// Unit is the unit of y, Per that of x.
	Unit      string  `json:"unit"`
	Per       string  `json:"per"`
	Value     float64 `json:"value"`
	Intercept float64 `json:"intercept"`
	Spread    Spread  `json:"spread"`
	Sizes     []int   `json:"sizes"`
	// Residual is the root mean square distance of the points from the line,
	// divided by the mean of y.
	Residual float64 `json:"residual"`
	// Substitute describes what was measured instead of the real code, if
	// anything, often a stub (stand-in) of a service.
	Substitute string `json:"stand_in,omitempty"`
}

// Spread is the range of a slope's value over repeated runs.
type Spread struct {
	Min  float64 `json:"min"`
	Max  float64 `json:"max"`
	Runs int     `json:"runs"`
}

// Units of slopes.
const (
	UnitBytes   = "bytes"
	UnitSeconds = "seconds of a core"
)

// minSizes is the minimum number of sizes of a fitted line, and minRuns the
// minimum number of runs of a spread.
const (
	minSizes = 4
	minRuns  = 3
)

// Find returns the slope with an ID, from the last run that measured it.
func (s Slopes) Find(id SlopeID) (Slope, bool) {
	for i := len(s.Runs) - 1; i >= 0; i-- {
		for _, slope := range s.Runs[i].Slopes {
			if slope.ID == id {
				return slope, true
			}
		}
	}
	return Slope{}, false
}

// Check returns an error marked ErrBadInput for a slope without the data that
// make it reproducible: unit, machine, date, command, sizes and spread.
func (s Slopes) Check() error {
	for _, run := range s.Runs {
		if run.Date == "" || run.Command == "" || run.Machine.Cores == 0 || run.Machine.Go == "" {
			return errors.Mark(errors.New("a run needs its machine, date and command"), ErrBadInput)
		}
		for _, slope := range run.Slopes {
			if err := slope.check(); err != nil {
				return errors.Mark(err, ErrBadInput)
			}
		}
	}
	return nil
}

func (s Slope) check() error {
	switch {
	case s.Unit == "" || s.Per == "":
		return errors.Newf("slope %s lacks a unit", s.ID)
	case math.IsNaN(s.Value) || math.IsInf(s.Value, 0):
		return errors.Newf("slope %s has no finite value", s.ID)
	case len(s.Sizes) < minSizes:
		return errors.Newf("slope %s was measured at %d sizes; %d are needed", s.ID, len(s.Sizes), minSizes)
	case s.Spread.Runs < minRuns:
		return errors.Newf("slope %s was measured %d times; %d are needed", s.ID, s.Spread.Runs, minRuns)
	case s.Value < s.Spread.Min || s.Value > s.Spread.Max:
		return errors.Newf("slope %s lies outside its spread", s.ID)
	}
	return nil
}
