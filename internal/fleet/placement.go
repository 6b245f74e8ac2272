package fleet

import (
	"context"
	"net/http"

	"coveferry/internal/bundle"
	"coveferry/internal/placement"
)

// withPlacement starts the placement runner of a node, if the fleet has
// placements, and wraps the handler so that other agents can query what the
// node keeps.
func (f *Fleet) withPlacement(n *AgentNode, h http.Handler) http.Handler {
	n.stopPlacement = func() {}
	if f.spec.Placement == nil {
		return h
	}
	n.PlacementRunner = placement.New(placement.Config{
		Endpoint:  n.Name,
		EngineURL: n.EngineURL(),
		Engine:    n.engineClient,
		Peers:     n.peerClient,
		Scheme:    "https",
		Rand:      f.spec.Rand,
		Log:       f.spec.Log,
	})
	n.runPlacement()
	return n.PlacementRunner.Wrap(h)
}

// runPlacement runs the node's placement until stopPlacement is called.
func (n *AgentNode) runPlacement() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	runner := n.PlacementRunner
	go func() {
		defer close(done)
		runner.Run(ctx)
	}()
	n.stopPlacement = func() {
		cancel()
		<-done
	}
}

// leave has the agent refuse new attempts. Other nodes no longer count the models
// that its engine holds.
func (n *AgentNode) leave() {
	if n.PlacementRunner != nil {
		n.PlacementRunner.Leave()
	}
	n.Agent.Leave()
}

// followPlacement applies a bundle's placement to the node.
func (n *AgentNode) followPlacement(b *bundle.Bundle) {
	if n.PlacementRunner != nil {
		n.PlacementRunner.SetBundle(b)
	}
}

// applyPlacement sets an endpoint's placement and the models that it serves.
func (f *Fleet) applyPlacement(i int, e *bundle.Endpoint) {
	if f.spec.Placement == nil {
		return
	}
	e.Placement = f.spec.Placement(i)
	if !e.Placement.IsZero() {
		e.Models = e.Placement.Models
	}
}
