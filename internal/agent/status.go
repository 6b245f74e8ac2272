package agent

import (
	"encoding/json"
	"net/http"

	"coveferry/internal/wire"
)

// Status returns the agent's current status.
func (ag *Agent) Status() wire.Status {
	return wire.Status{Endpoint: ag.cfg.Endpoint, Clock: ag.clockReading(), Load: ag.queue.loadReport()}
}

// serveStatus answers a router's probe. It sends nothing to the engine and
// doesn't change the queue.
func (ag *Agent) serveStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(ag.Status()) // the router may have disconnected
}
