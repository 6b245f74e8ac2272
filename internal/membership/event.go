package membership

import "time"

// State is what a router makes of an endpoint.
type State string

// The states of an endpoint. Live endpoints are sent work; suspect ones only
// where nothing else is left; leaving and gone ones never.
const (
	Live    State = "live"
	Leaving State = "leaving"
	Suspect State = "suspect"
	Gone    State = "gone"
)

// States lists all states in a fixed order.
func States() []State { return []State{Live, Leaving, Suspect, Gone} }

// takesWork says whether endpoints in the state may be sent new work at all.
func (s State) takesWork() bool { return s == Live || s == Suspect }

// Reason is the source that a state rests on.
type Reason string

// The reasons of a state.
const (
	ReasonBundle     Reason = "bundle"     // the bundle names it and nothing speaks against it
	ReasonList       Reason = "list"       // the platform's list says so
	ReasonReport     Reason = "report"     // the agent's load report says so
	ReasonNotice     Reason = "notice"     // the agent's notice says so
	ReasonCheck      Reason = "check"      // it answered a health check
	ReasonConnection Reason = "connection" // connections to the agent fail
	ReasonReturned   Reason = "returned"   // it came back
	ReasonRestarted  Reason = "restarted"  // another process is there under its name
)

// Event is something that was learnt: Bundle, ListRead, ListRenewed, OwnWord,
// ConnectionResult or Silence.
type Event interface{ event() }

// Place is an endpoint of the bundle, the VM that it runs on and its address.
type Place struct {
	Endpoint, VM, Address string
	// Incarnation names the process there where the source of endpoints tells; another
	// one is a new process. Empty where agents tell it themselves.
	Incarnation string
}

// Bundle names all endpoints that may be used. Others never are, whatever the
// list says.
type Bundle struct{ Places []Place }

// VM is an entry of the platform's list.
type VM struct {
	Name    string
	Leaving bool
}

// ListRead is a reading of the platform's list.
type ListRead struct {
	VMs []VM
	// At is the moment that the list describes, by the platform's clock. It
	// is compared with other readings only.
	At time.Time
}

// ListRenewed says that the list is the same at a later moment.
type ListRenewed struct{ At time.Time }

// OwnWord is what an agent says of itself, in an answer or a notice.
type OwnWord struct {
	Endpoint string
	// Incarnation names the agent's process; Seq orders what it says and,
	// clocks permitting, its incarnations.
	Incarnation string
	Seq         uint64
	Leaving     bool
	// Via is ReasonReport, ReasonNotice or ReasonCheck.
	Via Reason
	// Sent is when the request was sent that it answers; zero if that isn't known.
	Sent time.Time
}

// Result is how a connection to an agent went.
type Result uint8

// The results on a connection.
const (
	// Refused: there is no process, or the way there is closed; nothing was sent.
	Refused Result = iota
	// Broken: it was reset, or no answer came.
	Broken
)

// ConnectionResult is a failure on a connection. An answer is an OwnWord.
type ConnectionResult struct {
	Endpoint string
	// Incarnation is that of the process to which it led; empty if unknown.
	Incarnation string
	Result      Result
}

// Silence says that requests are open at an endpoint from which nothing at all
// has come for long. It is said again and again while that holds. A health check
// may be answered all the while: only an answer to a request ends it at once.
type Silence struct{ Endpoint string }

func (Silence) event()          {}
func (Bundle) event()           {}
func (ListRead) event()         {}
func (ListRenewed) event()      {}
func (OwnWord) event()          {}
func (ConnectionResult) event() {}

// Member is an endpoint's state.
type Member struct {
	Endpoint string
	VM       string
	State    State
	Reason   Reason
	// Since is when the state and the reason were first found.
	Since       time.Time
	Incarnation string // last heard of; empty if none
}

// Change is a state that has changed. An endpoint that the bundle names no more
// has To Gone with ReasonBundle.
type Change struct {
	Endpoint string
	From, To State
	Reason   Reason
	// MayBeNew says of one that returned that another process may be there: connections were
	// refused, or broke until it answered a request that was sent afterwards.
	MayBeNew bool
}
