// Package local launches the bench's fleets in this process: the production
// routers and agents, on loopback sockets.
package local

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"coveferry/internal/bench"
	"coveferry/internal/fleet"
	"coveferry/internal/server"
	"coveferry/internal/standin/engine"
)

// grace bounds the shutdown of a fleet, when all callers have disconnected.
const grace = 5 * time.Second

// The shutdown of processes that are replaced under load. A router waits for its
// longest answers. An agent hands over movable requests after half its grace
// period, and gives non-idempotent requests the time of the longest deadline.
var (
	routerStop = server.ShutdownPlan{DrainTime: 2 * time.Second, Grace: 50 * time.Second, HandoverMargin: time.Second, QuietPeriod: time.Second}
	agentStop  = server.ShutdownPlan{DrainTime: time.Second, Grace: 25 * time.Second, HandoverMargin: 25 * time.Second}
)

// Profile creates the implementation of a policy for each fleet.
type Profile struct {
	Name string
	New  func() fleet.Profile
}

// Profiles returns the policies that the fleet supports. Those other than product
// and baseline are ablations: the product with one part removed, which show the
// benefit of that part.
func Profiles() []Profile {
	return []Profile{
		{Name: bench.PolicyProduct, New: fleet.Product},
		{Name: bench.PolicyBaseline, New: fleet.Baseline},
		{Name: "early-binding", New: func() fleet.Profile {
			p := fleet.Product()
			p.LateBinding = false
			return p
		}},
		{Name: "product-scheduler", New: func() fleet.Profile { return combine(fleet.Baseline(), fleet.Product()) }},
		{Name: "product-balance", New: func() fleet.Profile { return combine(fleet.Product(), fleet.Baseline()) }},
	}
}

// combine returns a profile with the routers' part of one profile and the agents'
// part of another.
func combine(routers, agents fleet.Profile) fleet.Profile {
	p := routers
	p.Scheduler = agents.Scheduler
	return p
}

// New returns a launcher for the given policies.
func New(profiles []Profile, log zerolog.Logger) bench.Launcher {
	return func(_ context.Context, spec bench.Spec) (bench.Fleet, error) {
		profile, err := findProfile(profiles, spec.Policy)
		if err != nil {
			return nil, err
		}
		f, err := fleet.Start(newSpec(spec, profile.New(), log))
		if err != nil {
			return nil, err
		}
		return fleetAdapter{f}, nil
	}
}

// Check returns an error marked bench.ErrUnknownPolicy if a policy is unknown.
func Check(policies []string) error {
	for _, name := range policies {
		if _, err := findProfile(Profiles(), name); err != nil {
			return err
		}
	}
	return nil
}

func findProfile(profiles []Profile, name string) (Profile, error) {
	i := slices.IndexFunc(profiles, func(p Profile) bool { return p.Name == name })
	if i < 0 {
		err := errors.Newf("no policy %q; there are %s", name, profileNames(profiles))
		return Profile{}, errors.Mark(err, bench.ErrUnknownPolicy)
	}
	return profiles[i], nil
}

func profileNames(profiles []Profile) string {
	list := make([]string, len(profiles))
	for i, p := range profiles {
		list[i] = p.Name
	}
	return strings.Join(list, ", ")
}

func newSpec(spec bench.Spec, profile fleet.Profile, log zerolog.Logger) fleet.Spec {
	engines := make([]engine.Config, spec.Engines)
	for i := range engines {
		engines[i] = spec.Engine
	}
	return fleet.Spec{
		Bundle:        spec.Bundle,
		Engines:       engines,
		Routers:       spec.Routers,
		ShutdownGrace: grace,
		RouterStop:    routerStop,
		AgentStop:     agentStop,
		Profile:       profile,
		Log:           log,
	}
}

// fleetAdapter fits a fleet to the bench.
type fleetAdapter struct{ fleet *fleet.Fleet }

// Routers implements bench.Fleet.
func (r fleetAdapter) Routers() []string {
	var urls []string
	for _, n := range r.fleet.Routers() {
		urls = append(urls, n.URL())
	}
	return urls
}

// Engines implements bench.Fleet. It returns the current engines by index,
// followed by those that were replaced.
func (r fleetAdapter) Engines() []bench.Engine {
	var engines []bench.Engine
	for _, n := range slices.Concat(r.fleet.Agents(), r.fleet.Retired()) {
		engines = append(engines, n.Engine)
	}
	return engines
}

// Roll implements bench.Roller: routers and agents in turn.
func (r fleetAdapter) Roll(_ context.Context, i int) error {
	routers, agents := len(r.fleet.Routers()), len(r.fleet.Agents())
	i %= routers + agents
	if i < routers {
		return r.fleet.RollRouter(i)
	}
	return r.fleet.RollAgent(i - routers)
}

// Cut implements bench.Partitioner.
func (r fleetAdapter) Cut(engine int) { r.fleet.PartitionAgent(engine) }

// Heal implements bench.Partitioner.
func (r fleetAdapter) Heal() { r.fleet.Heal() }

// Stop implements bench.Fleet.
func (r fleetAdapter) Stop() error { return r.fleet.Stop() }
