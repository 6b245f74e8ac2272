package fleet

import (
	"context"
	"net/http"

	"coveferry/internal/agent"
	"coveferry/internal/bundle"
	"coveferry/internal/identity"
	"coveferry/internal/once"
	"coveferry/internal/server"
)

// keyConfig returns an agent's configuration for idempotency keys. By default it
// has no clock skew and no settling time, since all processes of the fleet share
// one clock and get each new list at once.
func (f *Fleet) keyConfig(name string) once.Config {
	cfg := once.DefaultConfig(once.Member{Name: name, VM: vmOf(name)})
	if f.spec.Keys != nil {
		cfg = *f.spec.Keys
		cfg.Self = once.Member{Name: name, VM: vmOf(name)}
	} else {
		cfg.MaxClockSkew = 0
		cfg.SettleTime = 0
	}
	cfg.Bootstrap = f.bundle == nil
	return cfg
}

func vmOf(agent string) string { return "vm-" + agent }

func (f *Fleet) keys(n *AgentNode) agent.Keys {
	return agent.Keys{
		Once:      f.keyConfig(n.Name),
		Peers:     n.peerClient,
		Scheme:    "https",
		SkipCheck: f.spec.Profile.IgnoreKeys,
	}
}

// peerClient returns a client for calls to other agents with the given identity.
func (f *Fleet) peerClient(name string, id *identity.Identity) *http.Client {
	return server.NewClient(id.ClientConfig(identity.RoleAgent, identity.AnyName), f.network.Dialer(name))
}

// runKeys maintains the agent's idempotency keys until stopKeys is called.
func (n *AgentNode) runKeys() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = n.Agent.RunKeys(ctx) // it returns only when the context ends
	}()
	n.stopKeys = func() {
		cancel()
		<-done
		n.peerClient.CloseIdleConnections()
	}
}

// adopt applies a bundle's endpoints to the agents' idempotency keys and
// placement.
func adopt(b *bundle.Bundle, agents ...*AgentNode) {
	s := bundle.NewSnapshot(b)
	for _, n := range agents {
		n.Agent.UpdateKeyHomes(s)
		n.followPlacement(b)
	}
}

// RestartAgent kills an agent and starts a new one without its state, at the same
// address and with the same engine. Spec.Keys defines how it handles keys after
// its start.
func (f *Fleet) RestartAgent(i int) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.agents[i]
	n.stopPlacement()
	n.stopKeys()
	if err := n.server.Kill(); err != nil {
		return err
	}
	id, err := f.identity(identity.RoleAgent, n.Name)
	if err != nil {
		return err
	}
	address := n.Address()
	n.Agent = f.newAgent(n, f.spec.Engines[i])
	n.server, err = f.serve(address, f.withPlacement(n, n.Agent.Handler()), id)
	if err != nil {
		return err
	}
	adopt(f.bundle, n)
	n.runKeys()
	return nil
}

// AdoptAt applies a bundle to one agent only, as during its distribution.
func (f *Fleet) AdoptAt(i int, b *bundle.Bundle) { adopt(b, f.Agents()[i]) }
