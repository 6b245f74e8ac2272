package peers

import (
	"time"

	"coveferry/internal/balance"
	"coveferry/internal/control"
	"coveferry/internal/directory"
	"coveferry/internal/fairshare"
	"coveferry/internal/identity"
	"coveferry/internal/poison"
)

// callTimeout bounds a call to a peer. Calls take milliseconds; the bound leaves time to query
// another peer or the origin itself.
const callTimeout = 300 * time.Millisecond

// pageTimeout bounds a call for one page, and maxPage the endpoints in it. At some 200 bytes each
// a page takes a tenth of a second on a link of 10 Mbit/s, and the configuration of some hundred
// routes takes another tenth.
const (
	pageTimeout = time.Second
	maxPage     = 500
)

// JSON-RPC methods between routers.
var (
	methodHello  = control.NewMethod[helloRequest, helloReply]("peers.hello", identity.RoleRouter).WithTimeout(callTimeout)
	methodUpdate = control.NewMethod[updateRequest, updateReply]("peers.news", identity.RoleRouter).WithTimeout(callTimeout)
	methodPage   = control.NewMethod[pageRequest, pageReply]("peers.page", identity.RoleRouter).WithTimeout(pageTimeout)
)

// Member is a router as others know it.
type Member struct {
	VM            string `json:"vm"`
	FailureDomain string `json:"failure_domain"`
	Address       string `json:"address"` // of its control listener
	// Cores and LinkMbps are the capacity of its VM, 0 if unknown. The readers are chosen by
	// them.
	Cores    float64 `json:"cores,omitempty"`
	LinkMbps float64 `json:"link_mbps,omitempty"`
}

// listedMember is a member and how long ago it was last seen alive.
type listedMember struct {
	Member
	AgoMillis int64 `json:"ago_ms"`
}

// domainDemand is the demand at the routers of a failure domain.
type domainDemand struct {
	Demand  balance.Demand `json:"demand"`
	Routers int            `json:"of"`
}

type helloRequest struct {
	From   Member         `json:"from"`
	Demand balance.Demand `json:"demand"`
	// TeamWork is the work of teams at the sender and the routers that poll it, where capacity is short
	// and the sender is a reader, and RestTeamWork that at all routers which the receiver doesn't cover.
	TeamWork     fairshare.Sums `json:"teams,omitempty"`
	RestTeamWork fairshare.Sums `json:"rest_teams,omitempty"`
	// Domain is the demand of the sender's failure domain if the sender is a reader.
	Domain       domainDemand   `json:"domain,omitzero"`
	Poison       poison.Message `json:"poison,omitzero"`
	OriginUptime uptimeReport   `json:"steady,omitzero"`
	// Limits are the rate limits stated by endpoints that the sender knows of.
	Limits balance.LimitSummaries `json:"limits,omitzero"`
}

type helloReply struct {
	From Member `json:"from"`
	// Members are those that the requester needs to reach, and Known is the number of routers
	// that the sender knows besides the requester.
	Members []listedMember `json:"members"`
	Known   int            `json:"known"`
	// Starting reports that the sender may not yet know all routers that started with it.
	Starting bool `json:"new,omitempty"`
	// Demand is that of this router's own requests, and Domain is as in the request.
	Demand       balance.Demand `json:"demand"`
	Domain       domainDemand   `json:"domain,omitzero"`
	Poison       poison.Message `json:"poison,omitzero"`
	OriginUptime uptimeReport   `json:"steady,omitzero"`
	// Limits are the rate limits stated by endpoints that the sender knows of.
	Limits balance.LimitSummaries `json:"limits,omitzero"`
}

// listRevision is a directory.Revision on the wire. Routers of older software know no eras.
type listRevision struct {
	Era      uint64 `json:"era,omitempty"`
	Revision uint64 `json:"revision"`
}

func toListRevision(r directory.Revision) listRevision {
	return listRevision{Era: r.Era, Revision: r.Number}
}

func (r listRevision) value() directory.Revision {
	return directory.Revision{Era: r.Era, Number: r.Revision}
}

// updateRequest requests all changes since the requester's state.
type updateRequest struct {
	From Member `json:"from"`
	// Version is that of the requester's configuration, 0 if it has none.
	Version uint64 `json:"version"`
	// The revision and Digest are those of the requester's list. UnversionedDigest is all that routers
	// send and compare that don't know the versions of endpoints.
	listRevision
	UnversionedDigest uint64         `json:"digest"`
	Digest            uint64         `json:"list_digest,omitempty"`
	Demand            balance.Demand `json:"demand"`
	// TeamWork is the work of teams at the requester where capacity is short.
	TeamWork fairshare.Sums `json:"teams,omitempty"`
	// Loads are the load reports that the requester received recently.
	Loads []balance.LoadSummary `json:"loads,omitempty"`
	// Failures are the failed attempts that the requester observed itself.
	Failures []balance.FailureSummary `json:"failures,omitempty"`
	// Poison is what the requester knows of requests that crash endpoints.
	Poison poison.Message `json:"poison,omitzero"`
	// Limits are the rate limits stated by endpoints that the requester knows of.
	Limits balance.LimitSummaries `json:"limits,omitzero"`
	// OriginUptime is the span in which the origin was readable, as far as the requester knows.
	OriginUptime uptimeReport `json:"steady,omitzero"`
}

// holds reports whether the requester has the list, as far as its software knows it.
func (r *updateRequest) holds(list *directory.Directory) bool {
	if r.Digest == 0 {
		return r.UnversionedDigest == list.UnversionedDigest()
	}
	return r.Digest == list.Digest()
}

type updateReply struct {
	// Config is the change since the requester's configuration; nil if that is the newest.
	Config packedChange `json:"config,omitempty"`
	// Entries are the changed entries of the list, and Removed the names of the removed ones.
	// HistoryLost reports that these changes are unknown, which requires a full read.
	Entries     []directory.Entry `json:"entries,omitempty"`
	Removed     []string          `json:"gone,omitempty"`
	HistoryLost bool              `json:"lost,omitempty"`
	listRevision
	// Evacuated lists all evacuated failure domains.
	Evacuated []string `json:"evacuated,omitempty"`
	// AgeMillis is how long ago the sender's state was last confirmed to be the newest; absent if
	// that is unknown.
	AgeMillis *int64 `json:"age_ms,omitempty"`
	// OriginUnavailable reports that the reader's own calls to the origin fail at present, so
	// that it gets no further changes.
	OriginUnavailable bool `json:"source_lost,omitempty"`
	// ConfigPending reports that the reader has received a part of a configuration, the rest of
	// which may never arrive.
	ConfigPending bool `json:"pending,omitempty"`
	// Demand and TeamWork are the totals that the reader knows of except the requester's, and
	// DemandRouters is the number of routers that they cover.
	Demand        balance.Demand `json:"demand"`
	DemandRouters int            `json:"demand_of"`
	TeamWork      fairshare.Sums `json:"teams,omitempty"`
	// Loads are the newest load reports that the reader knows of.
	Loads []balance.LoadSummary `json:"loads,omitempty"`
	// Failures are those of all routers that the reader knows of, except the requester's.
	Failures []balance.FailureSummary `json:"failures,omitempty"`
	// Poison is what the reader knows of requests that crash endpoints.
	Poison poison.Message `json:"poison,omitzero"`
	// Limits are the rate limits stated by endpoints that the reader knows of.
	Limits balance.LimitSummaries `json:"limits,omitzero"`
	// OriginUptime is the span in which the origin was readable, as far as the reader knows.
	OriginUptime uptimeReport `json:"steady,omitzero"`
}

// pageRequest requests one page of a full read.
type pageRequest struct {
	From Member `json:"from"`
	// After is the last endpoint of the previous page; empty requests the first page, which
	// includes the configuration.
	After string `json:"behind,omitempty"`
	// Version is that of the requester's configuration, 0 if it has none. The reply has only
	// the changes since: a list takes some kilobytes, a configuration of 4,200 routes over a
	// hundred, and all routers of a failure domain may query the same one at once.
	Version uint64 `json:"version,omitempty"`
}

type pageReply struct {
	Config    packedChange      `json:"config,omitempty"`
	Entries   []directory.Entry `json:"entries"`
	Evacuated []string          `json:"evacuated,omitempty"` // as in updateReply
	More      bool              `json:"more,omitempty"`
	listRevision
	AgeMillis *int64 `json:"age_ms,omitempty"` // as in updateReply
}
