package soak

import (
	"context"
	"net/http"
	"time"
)

// Router holds the settings of a router.
type Router struct {
	Name, FailureDomain string
	// FailureDomains lists all failure domains of the soak.
	FailureDomains []string
	// CallerAddr, ReadyAddr and ControlAddr are its listen addresses. StoreAddr is the address of
	// the store, and Seeds are the control addresses of other routers.
	CallerAddr, ReadyAddr, ControlAddr, StoreAddr string
	Seeds                                         []string
	Bounds                                        Bounds
	// LinkMbps is the bandwidth of its link in the settings; 0 omits it.
	LinkMbps float64
	// StopWithin is the time from SIGTERM to SIGKILL.
	StopWithin time.Duration
}

// Route is a route of the configuration and the kind of its requests.
type Route struct {
	Name, Service string
	// Prefix is the path prefix of its requests.
	Prefix             string
	Stream, Repeatable bool
	// Crashing marks the crash request: all its requests are identical but for Prompt, and
	// crash each endpoint that runs one after CrashDelay.
	Crashing bool
	Prompt   PromptKind
}

// PromptKind is the kind of prompt that a request states.
type PromptKind int

// The kinds of prompts. PromptSound has a part that other requests share and one of its own;
// PromptCrashing has both, and between them the part that crashes endpoints. Requests with
// PromptCrashing have nothing else in common. PromptShort has a part of the request's own only, and is
// short beside the output.
const (
	PromptNone PromptKind = iota
	PromptSound
	PromptCrashing
	PromptShort
)

// Config is the configuration that the operator publishes.
type Config struct {
	Version int
	Routes  []Route
	// UnusedRoutes is the number of additional routes without requests.
	UnusedRoutes int
	Timeout      time.Duration
	// ColdRate is the rate limit of a cold endpoint over all routers, in requests per
	// second; 0 means unlimited.
	ColdRate float64
	// Copies says that services of streams keep copies of runs at other endpoints.
	Copies bool
	// Keys maps each team to its API keys.
	Keys map[string][]string
}

// Endpoint is an endpoint's entry in the list.
type Endpoint struct {
	Name, Service, FailureDomain, Address string
	// Version is that of its software.
	Version  string
	Draining bool
	// Cold is the time for which it is cold after its start.
	Cold time.Duration
	// StartedAt is the start time of its process.
	StartedAt time.Time
	// ClosingShare is the share of its answers that end with their connection, from 0 to 1.
	ClosingShare float64
	// Linger is how long its streams run on after their callers have left.
	Linger time.Duration
	// RepeatsRefusals says that it sends some refusals once more, before the next answer on the connection.
	RepeatsRefusals bool
}

// Record is a line that an endpoint writes when it begins or ends a request.
type Record struct {
	ID      string    `json:"id"`
	Team    string    `json:"team"`
	Resumed bool      `json:"resumed,omitempty"`
	Ended   bool      `json:"ended,omitempty"`
	At      time.Time `json:"at"`
	// Backoff is set if the request was turned away with a request to back off.
	Backoff time.Duration `json:"backoff,omitempty"`
	// BrokeOff says that the endpoint breaks off the answer of a request that it began.
	BrokeOff bool `json:"broke_off,omitempty"`
	// FromCopy says that the endpoint goes on from a copy of the run that another one began.
	FromCopy bool `json:"from_copy,omitempty"`
	// Leaving says that the answer of an ended request said that the endpoint leaves.
	Leaving bool `json:"leaving,omitempty"`
}

// Wire adapts the soak to a platform's names and formats, and provides stub servers
// of its store and endpoints. Package platformtest implements it.
type Wire interface {
	// Store returns the stub server of the store.
	Store() http.Handler
	Publish(Config)
	List(Endpoint)
	Unlist(name string)
	// SetLimit has the stub endpoint at address state a rate limit in its answers, in
	// requests per second; a negative value means none.
	SetLimit(ctx context.Context, address string, perSecond float64) error
	// Say sets what the stub endpoint at address says of itself in its answers.
	Say(ctx context.Context, address string, s Signals) error
	// Fail has the stub endpoint at address fail requests from now on.
	Fail(ctx context.Context, address string, f Failing) error
	// Evacuate writes or removes the evacuation order of a failure domain.
	Evacuate(domain string, ordered bool)
	// ListInvalid writes an entry that doesn't describe a usable endpoint. The number
	// selects one of several kinds.
	ListInvalid(name string, number int)
	// ListOdd writes an entry with odd content: deeply nested, with numbers out of range, or with an
	// address that can't be used. The number selects one of several kinds.
	ListOdd(name string, number int)
	// FailStore injects a fault into the calls to the store; NetFaultNone ends it.
	FailStore(NetFault)
	// GoBack has the store come back from a copy of the given age. With historyLost it refuses
	// watches from revisions that it doesn't have. WriteAgain writes what it lost.
	GoBack(age time.Duration, historyLost bool)
	WriteAgain()
	// SettingsVariable returns the name of the environment variable with the path of
	// the settings file; Settings returns the contents of that file.
	SettingsVariable() string
	Settings(Router) string
	// Request returns a request for a route, to the router at address.
	Request(ctx context.Context, address string, route Route, id, key string, timeout time.Duration) (*http.Request, error)
	// Resume makes a request one for the rest of a stream, after the event with the given number.
	Resume(req *http.Request, first string, last int)
	// Signed reports whether an answer has the header by which endpoints mark theirs.
	Signed(*http.Response) bool
	// EndpointArgs returns the arguments with which the operators' tool runs a stub
	// endpoint that writes its records to standard output.
	EndpointArgs(e Endpoint, events int, pause time.Duration) []string
}
