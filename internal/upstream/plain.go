package upstream

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Headers of Plain.
const (
	headerRequestID     = "Coveferry-Request-Id"
	headerDeadline      = "Coveferry-Deadline" // how long the sender waits, such as "30s"
	headerTeam          = "Coveferry-Team"
	headerTier          = "Coveferry-Tier" // 0 is the highest
	headerNotRun        = "Coveferry-Not-Run"
	headerLastEvent     = "Last-Event-Id"
	headerAuthorization = "Authorization"
	bearerPrefix        = "Bearer "
)

// Plain is the product's own protocol for endpoints without agents, which works with any HTTP
// service. For services that echo the request ID and mark requests that they didn't run, more
// retries are safe.
type Plain struct{}

// Incoming implements Protocol.
func (Plain) Incoming(h http.Header) Incoming {
	in := Incoming{ID: h.Get(headerRequestID), LastEvent: h.Get(headerLastEvent)}
	if key, ok := strings.CutPrefix(h.Get(headerAuthorization), bearerPrefix); ok {
		in.APIKey = key
	}
	if d, err := time.ParseDuration(h.Get(headerDeadline)); err == nil && d > 0 {
		in.CallerTimeout = d
	}
	return in
}

// Encode implements Protocol.
func (Plain) Encode(h http.Header, a Attempt) {
	h.Del(headerAuthorization)
	h.Del(headerTeam)
	h.Set(headerRequestID, a.ID)
	h.Set(headerDeadline, a.TimeLeft.String())
	h.Set(headerTier, strconv.Itoa(a.Rank))
	if a.Team != "" {
		h.Set(headerTeam, a.Team)
	}
	if a.LastEvent != "" {
		h.Set(headerLastEvent, a.LastEvent)
	}
}

// Decode implements Protocol. An answer without a request ID is attributed to the request that
// was sent on its connection.
func (Plain) Decode(resp *http.Response) Reply {
	id := resp.Header.Get(headerRequestID)
	if id == "" && resp.Request != nil {
		id = resp.Request.Header.Get(headerRequestID)
	}
	return Reply{
		ID: id, NotRun: resp.Header.Get(headerNotRun) != "", Signed: true,
		Signals: Signals{Backoff: RetryAfter(resp)},
	}
}
