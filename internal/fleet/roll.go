package fleet

import (
	"fmt"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"

	"coveferry/internal/bundle"
)

// retired holds the replaced processes, which may still be stopping.
type retired struct {
	stopping sync.WaitGroup
	mu       sync.Mutex
	errs     error
	// agents and routers are guarded by Fleet.mu.
	agents  []*AgentNode
	routers []*RouterNode
}

func (r *retired) add(stop func() error) {
	r.stopping.Go(func() {
		err := stop()
		r.mu.Lock()
		defer r.mu.Unlock()
		r.errs = errors.CombineErrors(r.errs, err)
	})
}

// RollRouter replaces a router by a new one at the same address. It returns once
// the new one serves; the old one stops in the background by Spec.RouterStop.
func (f *Fleet) RollRouter(i int) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.routers[i]
	node, err := f.startRouter(i, old.front)
	if err != nil {
		return err
	}
	f.routers[i] = node
	f.retired.routers = append(f.retired.routers, old)
	f.retired.add(func() error { return old.stopBy(f.spec.RouterStop) })
	return nil
}

// RollAgent replaces an agent and its engine by new ones at another address, as
// if its VM were replaced, and applies a bundle that lists them. The old ones
// stop in the background by Spec.AgentStop.
func (f *Fleet) RollAgent(i int) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.agentReplacements++
	node, err := f.startAgent(fmt.Sprintf("engine-%02d-r%d", i, f.agentReplacements), f.spec.Engines[i])
	if err != nil {
		return err
	}
	old := f.agents[i]
	f.agents[i] = node
	f.retired.agents = append(f.retired.agents, old)
	f.bundle = f.fillBundle()
	f.bundle.Version += uint64(f.agentReplacements)
	adopt(f.bundle, slices.Concat(f.agents, f.retired.agents)...)
	snapshot := bundle.NewSnapshot(f.bundle)
	for _, r := range slices.Concat(f.routers, f.retired.routers) {
		r.Router.Swap(snapshot)
		r.member.setBundle(f.bundle)
	}
	f.retired.add(func() error { return old.replace(f.spec.AgentStop) })
	return nil
}

// Retired returns the replaced agents, whose engines keep their records.
func (f *Fleet) Retired() []*AgentNode {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.retired.agents)
}
