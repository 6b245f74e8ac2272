package fleet

import (
	"context"
	"net/http"

	"coveferry/internal/bundle"
	"coveferry/internal/placement"
)

// withPlacement starts what gives orders to a node's engine, if the fleet has
// placements, and has the handler tell others what the node keeps.
func (f *Fleet) withPlacement(n *AgentNode, h http.Handler) http.Handler {
	n.stopPlacement = func() {}
	if f.spec.Placement == nil {
		return h
	}
	n.Placement = placement.New(placement.Config{
		Endpoint:  n.Name,
		EngineURL: n.EngineURL(),
		Engine:    n.engineClient,
		Peers:     n.peerClient,
		Scheme:    "https",
		Rand:      f.spec.Rand,
		Log:       f.spec.Log,
	})
	n.runPlacement()
	return n.Placement.Wrap(h)
}

// runPlacement has the node give orders until its end.
func (n *AgentNode) runPlacement() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	runner := n.Placement
	go func() {
		defer close(done)
		runner.Run(ctx)
	}()
	n.stopPlacement = func() {
		cancel()
		<-done
	}
}

// leave has the agent refuse new attempts, and what its engine holds count for
// nobody.
func (n *AgentNode) leave() {
	if n.Placement != nil {
		n.Placement.Leave()
	}
	n.Agent.Leave()
}

// followPlacement has the node act by a bundle's placement.
func (n *AgentNode) followPlacement(b *bundle.Bundle) {
	if n.Placement != nil {
		n.Placement.SetBundle(b)
	}
}

// place fills in what an endpoint is to hold, and so what it serves.
func (f *Fleet) place(i int, e *bundle.Endpoint) {
	if f.spec.Placement == nil {
		return
	}
	e.Placement = f.spec.Placement(i)
	if !e.Placement.IsZero() {
		e.Models = e.Placement.Models
	}
}
