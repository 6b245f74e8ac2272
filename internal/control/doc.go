// Package control implements the control channel by which the system's own
// processes call each other and operators call them: JSON-RPC 2.0 over mutual TLS.
// Each method has a typed request and reply and a list of roles that may call it:
//
//	var methodPing = control.NewMethod[PingRequest, PingReply]("ping", identity.RoleRouter)
//
//	control.Register(srv, methodPing, func(ctx context.Context, peer identity.Peer, req PingRequest) (PingReply, error) { ... })
//	reply, err := control.Call(ctx, client, methodPing, PingRequest{})
//
// There are limits on the size of messages, the duration of calls, the number of
// connections and the concurrent calls of each. A client connects on its first
// call and reconnects with exponential backoff after a failure. It never retries a
// call.
package control
