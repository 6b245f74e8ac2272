package limits

import (
	"context"

	"coveferry/internal/control"
	"coveferry/internal/identity"
)

// methodLease requests credits and permits from the owner of limits.
var methodLease = control.NewMethod[LeaseRequests, Grants]("limits.ask", identity.RoleRouter)

// Register registers the handler of other routers' requests with a server. The
// certificate identifies the requesting router.
func (l *Limiter) Register(srv *control.Server) {
	control.Register(srv, methodLease, func(_ context.Context, peer identity.Peer, requests LeaseRequests) (Grants, error) {
		return l.HandleRequests(peer.Name, requests), nil
	})
}

// NewSender returns a Sender that uses the control channel. The pool should keep
// as many connections as there are routers.
func NewSender(pool *control.Pool) Sender { return controlSender{pool} }

type controlSender struct{ pool *control.Pool }

// Request implements Sender.
func (c controlSender) Request(ctx context.Context, to Peer, requests LeaseRequests) (Grants, error) {
	client := c.pool.Client(control.Target{
		Address: to.Address,
		Peer:    identity.Peer{Role: identity.RoleRouter, Name: to.Name},
	})
	return control.Call(ctx, client, methodLease, requests)
}
