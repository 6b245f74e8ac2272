package soak

import (
	"context"
	"net/http"
	"time"
)

// Router is a router as its settings describe it.
type Router struct {
	Name, FailureDomain string
	// FailureDomains are all that there are.
	FailureDomains []string
	// Callers, Ready and Control are what it listens on; Store is where it reaches
	// the store, and Seeds the control addresses of other routers.
	Callers, Ready, Control, Store string
	Seeds                          []string
	Bounds                         Bounds
	// LinkMbps is what its settings say of its link; 0 says nothing.
	LinkMbps float64
	// StopWithin is the time from SIGTERM to SIGKILL.
	StopWithin time.Duration
}

// Route is a kind of request.
type Route struct {
	Name, Service string
	// Prefix begins the paths of its requests.
	Prefix             string
	Stream, Repeatable bool
	// Deadly says that a request is always the same one, and ends each endpoint that runs it
	// after DeadlyGrace.
	Deadly bool
}

// Config is what the operator publishes.
type Config struct {
	Version int
	Routes  []Route
	// Unused is how many routes there are besides that nobody asks for.
	Unused  int
	Timeout time.Duration
	// ColdRate is how many requests a second a cold endpoint takes from all routers; 0
	// bounds nothing.
	ColdRate float64
	// Keys are those of each team.
	Keys map[string][]string
}

// Endpoint is an entry of the list.
type Endpoint struct {
	Name, Service, FailureDomain, Address string
	Draining                              bool
	// Cold is how long it is cold after its start.
	Cold time.Duration
	// Born is when its process started.
	Born time.Time
}

// Record is a line by which an endpoint tells what it runs.
type Record struct {
	ID      string    `json:"id"`
	Team    string    `json:"team"`
	Resumed bool      `json:"resumed,omitempty"`
	Ended   bool      `json:"ended,omitempty"`
	At      time.Time `json:"at"`
}

// Wire is how the programs are spoken to: names and formats, and stand-ins of the
// store and of endpoints. Package platformtest has that of the users' platform.
type Wire interface {
	// Store serves the store's calls.
	Store() http.Handler
	Publish(Config)
	List(Endpoint)
	Unlist(name string)
	// NameLimit has the stand-in of an endpoint at an address name a limit in its answers, in
	// requests a second; a negative one is none.
	NameLimit(ctx context.Context, address string, perSecond float64) error
	// Fail has the stand-in of an endpoint at an address fail requests from now on.
	Fail(ctx context.Context, address string, f Failing) error
	// Evacuate writes or removes the order that a failure domain gets nothing.
	Evacuate(domain string, ordered bool)
	// ListStrange writes an entry under a name that names no endpoint to use; which, the
	// number says.
	ListStrange(name string, number int)
	// FailStore has the store fail its callers; HarmNone ends that.
	FailStore(Harm)
	// SettingsVariable names the variable that holds the path of a settings file,
	// and Settings is its text.
	SettingsVariable() string
	Settings(Router) string
	// Request makes a request for a route to a router.
	Request(ctx context.Context, address string, route Route, id, key string, patience time.Duration) (*http.Request, error)
	// Signed says whether an answer bears the mark of the endpoint that ran it.
	Signed(*http.Response) bool
	// EndpointArgs are the arguments by which the operators' tool runs a stand-in
	// of an endpoint that writes its records to standard output.
	EndpointArgs(e Endpoint, events int, pause time.Duration) []string
}
