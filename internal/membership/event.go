package membership

import "time"

// State is an endpoint's state as seen by one router.
type State string

// The states of an endpoint. Live endpoints receive new requests. Suspect ones
// receive them only if no live endpoint is available; leaving and gone ones never
// do.
const (
	Live    State = "live"
	Leaving State = "leaving"
	Suspect State = "suspect"
	Gone    State = "gone"
)

// States returns all states in a fixed order.
func States() []State { return []State{Live, Leaving, Suspect, Gone} }

// acceptsRequests reports whether an endpoint in this state may receive new
// requests.
func (s State) acceptsRequests() bool { return s == Live || s == Suspect }

// Reason is the source of information that determined a state.
type Reason string

// The reasons for a state.
const (
	ReasonBundle     Reason = "bundle"     // defined in the bundle, or removed from it
	ReasonList       Reason = "list"       // the platform's list
	ReasonReport     Reason = "report"     // the agent's load report
	ReasonNotice     Reason = "notice"     // the agent's leaving notice
	ReasonCheck      Reason = "check"      // the response to a health check
	ReasonConnection Reason = "connection" // failed connections, or no response to requests
	ReasonReturned   Reason = "returned"   // live again after another state
	ReasonRestarted  Reason = "restarted"  // a new process runs under the endpoint's name
)

// Event is an input of Core: BundleApplied, ListRead, ListUnchanged, AgentStatus,
// ConnectionFailure or Unresponsive.
type Event interface{ event() }

// EndpointSpec describes an endpoint of the bundle.
type EndpointSpec struct {
	Endpoint, VM, Address string
	// Incarnation identifies the process, if the source of the endpoints provides it;
	// a different value means a new process. It is empty for endpoints whose agents
	// report their own incarnation.
	Incarnation string
}

// BundleApplied provides all endpoints that may be used. No other endpoint is used,
// even if the platform lists its VM.
type BundleApplied struct{ Endpoints []EndpointSpec }

// VM is an entry in the platform's list.
type VM struct {
	Name    string
	Leaving bool
}

// ListRead provides the content of the platform's list.
type ListRead struct {
	VMs []VM
	// At is the time as of which the list is valid, by the platform's clock. It is
	// only compared with the times of other lists.
	At time.Time
}

// ListUnchanged reports that the list is unchanged as of a later time.
type ListUnchanged struct{ At time.Time }

// AgentStatus is the status that an agent reports in a response or a notice.
type AgentStatus struct {
	Endpoint string
	// Incarnation identifies the agent's process. Seq orders the statuses of an
	// incarnation and, unless the clock is set back, the incarnations.
	Incarnation string
	Seq         uint64
	Leaving     bool
	// Accepting says that the process itself accepts new requests, which ends an earlier Leaving
	// if the request was sent after it. A status without it says nothing about that.
	Accepting bool
	// Via is ReasonReport, ReasonNotice or ReasonCheck.
	Via Reason
	// Sent is when the request was sent to which this is the response; zero if
	// unknown.
	Sent time.Time
}

// FailureKind says how a connection to an agent failed.
type FailureKind uint8

// The kinds of connection failures.
const (
	// Refused means that no connection was established, because no process is
	// listening or the network path is down; nothing was sent.
	Refused FailureKind = iota
	// Broken means that the connection was reset or no response arrived.
	Broken
)

// ConnectionFailure reports a failed connection. A response is reported as an
// AgentStatus.
type ConnectionFailure struct {
	Endpoint string
	// Incarnation is that of the process at the other end; empty if unknown.
	Incarnation string
	Kind        FailureKind
}

// Unresponsive reports that requests are in flight at an endpoint that has sent no
// data for a long time. It is repeated while the condition holds. The endpoint may
// still pass health checks: only a response to a request clears it at once.
type Unresponsive struct{ Endpoint string }

func (Unresponsive) event()      {}
func (BundleApplied) event()     {}
func (ListRead) event()          {}
func (ListUnchanged) event()     {}
func (AgentStatus) event()       {}
func (ConnectionFailure) event() {}

// Member is an endpoint with its state.
type Member struct {
	Endpoint string
	VM       string
	State    State
	Reason   Reason
	// Since is when the state and the reason took their current values.
	Since       time.Time
	Incarnation string // the latest reported; empty if none
}

// Change is a state transition. For an endpoint that was removed from the bundle, To
// is Gone and Reason is ReasonBundle.
type Change struct {
	Endpoint string
	From, To State
	Reason   Reason
	// PossiblyRestarted is set on a return to Live if another process may be running:
	// connections were refused, or they broke and the endpoint then answered a request
	// that was sent after the first failure.
	PossiblyRestarted bool
}
