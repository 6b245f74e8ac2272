package peers

import (
	"time"

	"coveferry/internal/balance"
	"coveferry/internal/control"
	"coveferry/internal/directory"
	"coveferry/internal/identity"
	"coveferry/internal/poison"
)

// callTimeout bounds a call to a peer: long beside the milliseconds that it
// takes, and short enough to ask another one or the source itself.
const callTimeout = 300 * time.Millisecond

// pageTimeout bounds a call for a part of everything, and maxPage the endpoints
// in it: with some 200 bytes each a part takes a tenth of a second on a link of
// 10 Mbit/s, and the configuration of some hundred routes as long again.
const (
	pageTimeout = time.Second
	maxPage     = 500
)

// Methods of routers that share what they read.
var (
	methodHello = control.NewMethod[helloRequest, helloReply]("peers.hello", identity.RoleRouter).WithTimeout(callTimeout)
	methodNews  = control.NewMethod[newsRequest, newsReply]("peers.news", identity.RoleRouter).WithTimeout(callTimeout)
	methodPage  = control.NewMethod[pageRequest, pageReply]("peers.page", identity.RoleRouter).WithTimeout(pageTimeout)
)

// Member is a router as others know it.
type Member struct {
	VM            string `json:"vm"`
	FailureDomain string `json:"failure_domain"`
	Address       string `json:"address"` // of its control channel
	// Cores and LinkMbps are what its VM has, 0 if that isn't known. They decide
	// who reads for others.
	Cores    float64 `json:"cores,omitempty"`
	LinkMbps float64 `json:"link_mbps,omitempty"`
}

// heardMember is a member with how long ago it was heard of.
type heardMember struct {
	Member
	AgoMillis int64 `json:"ago_ms"`
}

// domainDemand is what the requests at the routers of a failure domain ask for.
type domainDemand struct {
	Demand  balance.Demand `json:"demand"`
	Routers int            `json:"of"`
}

type helloRequest struct {
	From   Member         `json:"from"`
	Demand balance.Demand `json:"demand"`
	// Domain is what a reader heard in its failure domain, itself included.
	Domain domainDemand `json:"domain,omitzero"`
	Poison poison.Words `json:"poison,omitzero"`
	Steady steadyWord   `json:"steady,omitzero"`
	// Limits is what this router knows of limits that endpoints name.
	Limits balance.LimitWords `json:"limits,omitzero"`
}

type helloReply struct {
	From Member `json:"from"`
	// Members are those that the asker needs to know by name, and Known is how many there
	// are in all besides the asker.
	Members []heardMember `json:"members"`
	Known   int           `json:"known"`
	// New says that this router may not have heard yet of all that started with it.
	New bool `json:"new,omitempty"`
	// Demand is what this router's own requests ask for, and Domain as in the request.
	Demand balance.Demand `json:"demand"`
	Domain domainDemand   `json:"domain,omitzero"`
	Poison poison.Words   `json:"poison,omitzero"`
	Steady steadyWord     `json:"steady,omitzero"`
	// Limits is what this router knows of limits that endpoints name.
	Limits balance.LimitWords `json:"limits,omitzero"`
}

// newsRequest asks what changed since what the asker knows.
type newsRequest struct {
	From Member `json:"from"`
	// Version is that of the asker's configuration, 0 if it has none.
	Version uint64 `json:"version"`
	// Revision and Digest are those of the asker's list.
	Revision uint64         `json:"revision"`
	Digest   uint64         `json:"digest"`
	Demand   balance.Demand `json:"demand"`
	// Loads are the load reports that the asker received lately.
	Loads []balance.LoadWord `json:"loads,omitempty"`
	// Failures are the asker's own attempts of late where some failed.
	Failures []balance.FailureWord `json:"failures,omitempty"`
	// Poison is what the asker knows of requests under which endpoints end.
	Poison poison.Words `json:"poison,omitzero"`
	// Limits is what the asker knows of limits that endpoints name.
	Limits balance.LimitWords `json:"limits,omitzero"`
	// Steady is the span over which the asker knows that the source was read.
	Steady steadyWord `json:"steady,omitzero"`
}

type newsReply struct {
	// Config is what changed since the asker's configuration; nil if it has the
	// newest.
	Config packedChange `json:"config,omitempty"`
	// Entries are those of the list that changed, and Gone the names of those
	// that left. Lost says that this isn't known: the whole has to be read.
	Entries  []directory.Entry `json:"entries,omitempty"`
	Gone     []string          `json:"gone,omitempty"`
	Lost     bool              `json:"lost,omitempty"`
	Revision uint64            `json:"revision"`
	// Evacuated are all failure domains that are to get nothing.
	Evacuated []string `json:"evacuated,omitempty"`
	// AgeMillis is how long ago all this was certainly the newest.
	AgeMillis int64 `json:"age_ms"`
	// SourceLost says that the reader's own calls to the source fail at present, so that it
	// won't know of what changes from now on.
	SourceLost bool `json:"source_lost,omitempty"`
	// Pending says that a configuration has begun to reach the reader, which it doesn't know
	// whole yet and may never.
	Pending bool `json:"pending,omitempty"`
	// Demand is what all requests ask for that the reader knows of, but for
	// the asker's, and DemandOf at how many routers.
	Demand   balance.Demand `json:"demand"`
	DemandOf int            `json:"demand_of"`
	// Loads are the newest load reports that the reader knows of.
	Loads []balance.LoadWord `json:"loads,omitempty"`
	// Failures are those of all routers that the reader knows of, but for the
	// asker's.
	Failures []balance.FailureWord `json:"failures,omitempty"`
	// Poison is what the reader knows of requests under which endpoints end.
	Poison poison.Words `json:"poison,omitzero"`
	// Limits is what the reader knows of limits that endpoints name.
	Limits balance.LimitWords `json:"limits,omitzero"`
	// Steady is the span over which the reader knows that the source was read.
	Steady steadyWord `json:"steady,omitzero"`
}

// pageRequest asks for everything, in parts.
type pageRequest struct {
	From Member `json:"from"`
	// Behind is the endpoint that ended the last part; empty asks for the first
	// part, and the configuration with it.
	Behind string `json:"behind,omitempty"`
	// Version is that of the asker's configuration, 0 if it has none. It is told what
	// changed since: a list alone is some kilobytes, a configuration of 4,200 routes
	// over a hundred, and all routers of a failure domain may ask one at once.
	Version uint64 `json:"version,omitempty"`
}

type pageReply struct {
	Config    packedChange      `json:"config,omitempty"`
	Entries   []directory.Entry `json:"entries"`
	Evacuated []string          `json:"evacuated,omitempty"` // as in newsReply
	More      bool              `json:"more,omitempty"`
	Revision  uint64            `json:"revision"`
	AgeMillis int64             `json:"age_ms"`
}
