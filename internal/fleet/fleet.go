// Package fleet runs routers, agents and stub engines in one process, over
// real sockets on the loopback interface. coveferryd standalone and the
// experiments of coveferryctl bench use it; the routers and agents are those
// of the daemons.
package fleet

import (
	"context"
	"fmt"
	"math"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"coveferry/internal/bundle"
	"coveferry/internal/clock"
	"coveferry/internal/identity"
	"coveferry/internal/once"
	"coveferry/internal/server"
	"coveferry/internal/slo"
	"coveferry/internal/standin/engine"
)

// Bounds of the processes in a fleet.
const (
	headerTimeout  = 5 * time.Second
	maxHeaderBytes = 64 << 10
	bodyTimeout    = 10 * time.Second
	maxOpen        = 20_000
	maxBodyBytes   = 512 << 20
	certValidity   = 24 * time.Hour
	anyPort        = "127.0.0.1:0"
	failureDomains = 3
	region         = "local"
)

// Spec describes a fleet.
type Spec struct {
	// Bundle defines teams, classes, tiers, models and limits. Start adds one
	// endpoint for each engine, which serves all models.
	Bundle bundle.Bundle
	// Engines are the engines, one agent each.
	Engines []engine.Config
	Routers int
	// RouterAddress is the listen address of the first router; empty means any
	// port of the loopback interface.
	RouterAddress string
	// ShutdownGrace is the time for which Stop waits for open requests.
	ShutdownGrace time.Duration
	// RouterStop and AgentStop are the stop plans of replaced processes.
	RouterStop, AgentStop server.ShutdownPlan
	Profile               Profile
	Membership            Membership
	// Network connects the processes; nil means the loopback interface.
	Network Network
	// NewID generates the routers' request IDs; nil means random IDs.
	NewID func() string
	// Rand returns the routers' random numbers from [0, 1); nil uses math/rand.
	Rand func() float64
	// Clock is the clock of routers and agents; nil means clock.Boot.
	Clock clock.Clock
	// Placement returns the placement of the i-th endpoint, which then serves only
	// the models placed there; nil leaves the engines with all models.
	Placement func(i int) bundle.Placement
	// Keys configures the handling of idempotency keys at agents; nil means the
	// default without a wait for processes that may hold an earlier list.
	Keys    *once.Config
	Log     zerolog.Logger
	Metrics prometheus.Registerer // of the first router; may be nil
	// SLO tracks the service levels of the first router; may be nil.
	SLO *slo.Tracker
}

// Network connects the routers, agents and engines of a fleet.
type Network interface {
	Listen(address string) (net.Listener, error)
	// Dialer returns the dial function of the named router, agent or caller.
	Dialer(from string) func(ctx context.Context, network, address string) (net.Conn, error)
}

// loopback is the loopback interface of the machine.
type loopback struct{}

func (loopback) Listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

func (loopback) Dialer(string) func(context.Context, string, string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext
}

// Fleet is a running set of routers, agents and engines.
type Fleet struct {
	spec      Spec
	authority *identity.Authority
	network   *partition
	// mu guards the fields below while processes are replaced.
	mu      sync.Mutex
	agents  []*AgentNode
	routers []*RouterNode
	// controls are the control listeners, one per router.
	controls          []*front
	bundle            *bundle.Bundle
	agentReplacements int
	retired           retired
}

// Start starts the engines, agents and routers and returns once they serve.
func Start(spec Spec) (*Fleet, error) {
	authority, err := identity.Ephemeral()
	if err != nil {
		return nil, errors.Wrap(err, "fleet: make the authority")
	}
	if spec.Network == nil {
		spec.Network = loopback{}
	}
	f := &Fleet{spec: spec, authority: authority, network: newPartition(spec.Network)}
	if err := f.start(); err != nil {
		_ = f.Stop() // the first error is the one to report
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start() error {
	for i, cfg := range f.spec.Engines {
		node, err := f.startAgent(fmt.Sprintf("engine-%02d", i), cfg)
		if err != nil {
			return err
		}
		f.agents = append(f.agents, node)
	}
	if err := f.openControls(); err != nil {
		return err
	}
	f.bundle = f.fillBundle()
	adopt(f.bundle, f.agents...)
	for i := range f.spec.Routers {
		node, err := f.startRouter(i, nil)
		if err != nil {
			return err
		}
		f.routers = append(f.routers, node)
	}
	return nil
}

// fillBundle returns the spec's bundle with one endpoint for each agent. Of the
// spec's own endpoints it keeps only direct ones.
func (f *Fleet) fillBundle() *bundle.Bundle {
	b := f.spec.Bundle
	b.Endpoints = slices.DeleteFunc(slices.Clone(b.Endpoints), func(e bundle.Endpoint) bool { return !e.Direct })
	b.Routers = f.listRouters()
	models := make([]string, len(b.Models))
	for i, m := range b.Models {
		models[i] = m.Name
	}
	for i, a := range f.agents {
		b.Endpoints = append(b.Endpoints, bundle.Endpoint{
			Name:          a.Name,
			Address:       a.Address(),
			VM:            vmOf(a.Name),
			FailureDomain: domainOf(i),
			Region:        region,
			Models:        models,
			Slots:         f.spec.Engines[i].Slots,
		})
		f.applyPlacement(i, &b.Endpoints[len(b.Endpoints)-1])
	}
	return &b
}

// Bundle returns the bundle in force; it must not be changed.
func (f *Fleet) Bundle() *bundle.Bundle {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.bundle
}

// Agents returns the current agents with their engines.
func (f *Fleet) Agents() []*AgentNode {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.agents)
}

// Routers returns the current routers.
func (f *Fleet) Routers() []*RouterNode {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.routers)
}

// Stop stops the routers gracefully, then the agents, then the engines. It
// continues after errors and returns all of them.
func (f *Fleet) Stop() error {
	var errs error
	for _, r := range f.Routers() {
		errs = errors.CombineErrors(errs, r.stop())
	}
	for _, a := range f.Agents() {
		errs = errors.CombineErrors(errs, a.stop())
	}
	f.retired.stopping.Wait()
	errs = errors.CombineErrors(errs, f.closeControls())
	return errors.CombineErrors(errs, f.retired.errs)
}

// maxBody returns the maximum body size of an attempt at an agent. That is twice
// the limit that routers enforce, since a resumed request also contains the
// answer so far.
func maxBody(limits bundle.Limits) int64 {
	if limits.RequestBytes <= 0 {
		return math.MaxInt64
	}
	return 2 * int64(limits.RequestBytes)
}
