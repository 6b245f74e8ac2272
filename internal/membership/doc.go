// Package membership tracks the state of each endpoint at a router: live,
// leaving, suspect or gone. The state decides whether the endpoint receives new
// requests. There are three sources of information, and any one of them alone
// stops new requests to an endpoint within seconds: the platform's list of VMs,
// which lags and may be stale, empty or unavailable; the agent's own status, from
// load reports, leaving notices and health checks; and the results of the router's
// own connections.
//
// Core is the state machine: its inputs are events and the current time, and it
// performs no I/O. Tracker applies its decisions to the router's pool of
// endpoints. Feed, Prober and the control channel's notice method supply events;
// Announcer is the agent's side and sends the notices.
package membership
