package peers

import (
	"time"

	"coveferry/internal/balance"
	"coveferry/internal/control"
	"coveferry/internal/directory"
	"coveferry/internal/identity"
	"coveferry/internal/route"
)

// callTimeout bounds a call to a peer: long beside the milliseconds that it
// takes, and short enough to ask another one or the source itself.
const callTimeout = 300 * time.Millisecond

// Methods of routers that share what they read.
var (
	methodHello  = control.NewMethod[helloRequest, helloReply]("peers.hello", identity.RoleRouter).WithTimeout(callTimeout)
	methodConfig = control.NewMethod[configRequest, configReply]("peers.config", identity.RoleRouter).WithTimeout(callTimeout)
	methodList   = control.NewMethod[listRequest, listReply]("peers.list", identity.RoleRouter).WithTimeout(callTimeout)
)

// Member is a router as others know it.
type Member struct {
	VM            string `json:"vm"`
	FailureDomain string `json:"failure_domain"`
	Address       string `json:"address"` // of its control channel
}

// heardMember is a member with how long ago it was heard of.
type heardMember struct {
	Member
	AgoMillis int64 `json:"ago_ms"`
}

type helloRequest struct {
	From   Member         `json:"from"`
	Demand balance.Demand `json:"demand"`
}

type helloReply struct {
	From    Member        `json:"from"`
	Members []heardMember `json:"members"`
	// Demand is what this router's own requests ask for.
	Demand balance.Demand `json:"demand"`
}

type configRequest struct {
	From Member `json:"from"`
	// Version is the one that the asker has.
	Version uint64         `json:"version"`
	Demand  balance.Demand `json:"demand"`
}

type configReply struct {
	// Config is nil if the asker has it already.
	Config   *route.Config `json:"config,omitempty"`
	Revision uint64        `json:"revision"`
	// AgeMillis is how long ago the configuration was certainly the newest.
	AgeMillis int64 `json:"age_ms"`
	// Demand is what all requests ask for that the reader knows of, but for
	// the asker's.
	Demand balance.Demand `json:"demand"`
}

type listRequest struct {
	From Member `json:"from"`
	// Digest is that of the list which the asker has.
	Digest uint64 `json:"digest"`
}

type listReply struct {
	// Same says that the asker has the list already.
	Same      bool              `json:"same,omitempty"`
	Entries   []directory.Entry `json:"entries,omitempty"`
	Revision  uint64            `json:"revision"`
	AgeMillis int64             `json:"age_ms"`
}
