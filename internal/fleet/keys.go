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

// keyConfig is by what an agent vouches for idempotency keys. All processes of
// a fleet here go by the same clock, and all that held an earlier list are told
// of each new one, so that there is nobody to wait for.
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

// peerClient reaches the other agents as the agent of that identity.
func (f *Fleet) peerClient(name string, id *identity.Identity) *http.Client {
	return server.NewClient(id.ClientConfig(identity.RoleAgent, identity.AnyName), f.network.Dialer(name))
}

// runKeys has the agent look after its keys until the node's end.
func (n *AgentNode) runKeys() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = n.Agent.RunKeys(ctx) // it ends with the context alone
	}()
	n.stopKeys = func() {
		cancel()
		<-done
		n.peerClient.CloseIdleConnections()
	}
}

// adopt puts a bundle's endpoints in force at the agents, for their keys and
// their placement.
func adopt(b *bundle.Bundle, agents ...*AgentNode) {
	s := bundle.NewSnapshot(b)
	for _, n := range agents {
		n.Agent.UpdateKeyHomes(s)
		n.followPlacement(b)
	}
}

// RestartAgent ends an agent at once and starts one without memory in its
// place, at the same address and with the same engine. It takes keys by what
// Spec.Keys says of a start.
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

// AdoptAt puts a bundle in force at one agent alone, as while a bundle spreads.
func (f *Fleet) AdoptAt(i int, b *bundle.Bundle) { adopt(b, f.Agents()[i]) }
