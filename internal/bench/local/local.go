// Package local launches the bench's fleets in this process, with the routers
// and agents of the daemons on loopback sockets.
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

// grace bounds the end of a fleet. Its callers have all left by then.
const grace = 5 * time.Second

// How processes stop that are replaced under load. A router waits for its longest
// answers. An agent hands over what can be moved after half its grace, and leaves
// what must not run twice the time of its longest deadline.
var (
	routerStop = server.ShutdownPlan{DrainTime: 2 * time.Second, Grace: 50 * time.Second, HandoverMargin: time.Second, QuietPeriod: time.Second}
	agentStop  = server.ShutdownPlan{DrainTime: time.Second, Grace: 25 * time.Second, HandoverMargin: 25 * time.Second}
)

// Profile makes the decisions of a policy, anew for each fleet.
type Profile struct {
	Name string
	New  func() fleet.Profile
}

// Profiles lists the policies that the fleet knows. Those besides product and
// baseline are the product with one part taken out, and show what it is worth.
func Profiles() []Profile {
	return []Profile{
		{Name: bench.PolicyProduct, New: fleet.Product},
		{Name: bench.PolicyBaseline, New: fleet.Baseline},
		{Name: "early-binding", New: func() fleet.Profile {
			p := fleet.Product()
			p.LateBinding = false
			return p
		}},
		{Name: "product-scheduler", New: func() fleet.Profile { return mixed(fleet.Baseline(), fleet.Product()) }},
		{Name: "product-balance", New: func() fleet.Profile { return mixed(fleet.Product(), fleet.Baseline()) }},
	}
}

// mixed takes the routers' part of one profile and the agents' of another.
func mixed(routers, agents fleet.Profile) fleet.Profile {
	p := routers
	p.Scheduler = agents.Scheduler
	return p
}

// New returns a launcher for the given policies.
func New(profiles []Profile, log zerolog.Logger) bench.Launcher {
	return func(_ context.Context, spec bench.Spec) (bench.Fleet, error) {
		profile, err := find(profiles, spec.Policy)
		if err != nil {
			return nil, err
		}
		f, err := fleet.Start(newSpec(spec, profile.New(), log))
		if err != nil {
			return nil, err
		}
		return running{f}, nil
	}
}

// Check tells before anything runs if all policies are known; its error is
// marked bench.ErrUnknownPolicy.
func Check(policies []string) error {
	for _, name := range policies {
		if _, err := find(Profiles(), name); err != nil {
			return err
		}
	}
	return nil
}

func find(profiles []Profile, name string) (Profile, error) {
	i := slices.IndexFunc(profiles, func(p Profile) bool { return p.Name == name })
	if i < 0 {
		err := errors.Newf("no policy %q; there are %s", name, names(profiles))
		return Profile{}, errors.Mark(err, bench.ErrUnknownPolicy)
	}
	return profiles[i], nil
}

func names(profiles []Profile) string {
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

// running fits a fleet to the bench.
type running struct{ fleet *fleet.Fleet }

// Routers implements bench.Fleet.
func (r running) Routers() []string {
	var urls []string
	for _, n := range r.fleet.Routers() {
		urls = append(urls, n.URL())
	}
	return urls
}

// Engines implements bench.Fleet: the present engines, by their numbers, and
// behind them those that were replaced.
func (r running) Engines() []bench.Engine {
	var engines []bench.Engine
	for _, n := range slices.Concat(r.fleet.Agents(), r.fleet.Retired()) {
		engines = append(engines, n.Engine)
	}
	return engines
}

// Roll implements bench.Roller: routers and agents in turn.
func (r running) Roll(_ context.Context, i int) error {
	routers, agents := len(r.fleet.Routers()), len(r.fleet.Agents())
	i %= routers + agents
	if i < routers {
		return r.fleet.RollRouter(i)
	}
	return r.fleet.RollAgent(i - routers)
}

// Cut implements bench.Partitioner.
func (r running) Cut(engine int) { r.fleet.PartitionAgent(engine) }

// Heal implements bench.Partitioner.
func (r running) Heal() { r.fleet.Heal() }

// Stop implements bench.Fleet.
func (r running) Stop() error { return r.fleet.Stop() }
