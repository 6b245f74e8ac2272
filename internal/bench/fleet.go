package bench

import (
	"context"

	"github.com/cockroachdb/errors"

	"coveferry/internal/bundle"
	"coveferry/internal/standin/engine"
)

// Names of the policies that every fleet supports.
const (
	PolicyProduct  = "product"
	PolicyBaseline = "baseline" // round-robin, FIFO, retry on any error
)

// ErrUnknownPolicy marks the error of a Launcher that doesn't know the policy.
var ErrUnknownPolicy = errors.New("unknown policy")

// Spec describes the fleet that a run needs.
type Spec struct {
	Policy string
	// Seed makes the fleet's random choices reproducible.
	Seed uint64
	// Routers and Engines are their numbers; each engine has an agent.
	Routers int
	Engines int
	// Engine configures each engine.
	Engine engine.Config
	// Bundle lacks the endpoints, which the launcher adds.
	Bundle bundle.Bundle
}

// Launcher starts a fleet. Its error is marked ErrUnknownPolicy if it doesn't
// know the policy.
type Launcher func(ctx context.Context, spec Spec) (Fleet, error)

// Fleet is a running fleet.
type Fleet interface {
	// Routers are the base URLs of the routers.
	Routers() []string
	// Engines are the stub engines; their records remain readable after Stop.
	Engines() []Engine
	// Stop ends all processes and connections of the fleet, and returns when
	// the engines' records are final. It returns an error if the shutdown
	// wasn't clean.
	Stop() error
}

// Engine is a stub engine as the bench uses it.
type Engine interface {
	Record() []engine.Run
	SetSpeed(speed float64)
	Crash()
	Restart()
	Pause()
	Resume()
}

// Roller is a Fleet that can replace its processes under load.
type Roller interface {
	// Roll replaces process i of the routers and agents; i wraps around after
	// the last of them.
	Roll(ctx context.Context, i int) error
}

// Partitioner is a Fleet that can partition routers from agents.
type Partitioner interface {
	// Cut blocks all traffic between the first half of the routers and the
	// given engine's agent until Heal.
	Cut(engine int)
	Heal()
}
