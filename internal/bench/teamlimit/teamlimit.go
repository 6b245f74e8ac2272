// Package teamlimit measures how well a team's limit holds across the routers
// of a fleet on loopback sockets: what is let in beyond the limit and what of
// the limit stays unused, with skewed demand, for each way to enforce it.
package teamlimit

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"coveferry/internal/bundle"
	"coveferry/internal/fleet"
	"coveferry/internal/limits"
	"coveferry/internal/standin/engine"
	"coveferry/internal/units"
)

// Name is that of the scenario, Doc says what it shows.
const (
	Name = "team-limit"
	Doc  = "a team at twice its limit, 0.8 of it through one router: shared credits, each router alone, fixed fair shares"
)

// The load: a multiple of the limit, and the part of it that one router gets.
const (
	pressure = 2.0
	busiest  = 0.8
)

const (
	key     = "bench-key-of-team-limit"
	team    = "limited"
	engines = 2
	slots   = 512
	// warm is how long load arrives before it counts.
	warm  = 4 * time.Second
	grace = 5 * time.Second
)

// ErrInvalid marks options that don't make sense.
var ErrInvalid = errors.New("invalid bench options")

// Options say what to run.
type Options struct {
	// Routers are the sizes of fleets, each two at least.
	Routers []int
	// Limit is the team's, in requests a second.
	Limit float64
	// Duration is how long load counts, for each size and way.
	Duration time.Duration
}

// Check returns an error marked ErrInvalid if the options make no sense.
func (o Options) Check() error {
	if len(o.Routers) == 0 || !(o.Limit > 0) || o.Duration <= 0 {
		return errors.Mark(errors.New("sizes, limit and duration must be positive"), ErrInvalid)
	}
	for _, n := range o.Routers {
		if n < 2 {
			return errors.Mark(errors.Newf("%d routers share nothing; take two at least", n), ErrInvalid)
		}
	}
	return nil
}

// way is a way to enforce a limit.
type way struct {
	name string
	mode limits.Mode
}

func ways() []way {
	return []way{{"shared", limits.Shared}, {"alone", limits.PerRouter}, {"fair-share", limits.FairShare}}
}

// Run measures each way with each number of routers in turn. If ctx ends
// meanwhile the result holds what was measured and is marked as partial.
func Run(ctx context.Context, o Options, log zerolog.Logger) (Result, error) {
	if err := o.Check(); err != nil {
		return Result{}, err
	}
	result := Result{Format: Format, Scenario: Name, Doc: Doc, Limit: o.Limit, Duration: o.Duration.Seconds()}
	for _, routers := range o.Routers {
		for _, w := range ways() {
			row, err := o.measure(ctx, routers, w, log)
			if ctx.Err() != nil {
				result.Partial = true
				return result, nil
			}
			if err != nil {
				return result, errors.Wrapf(err, "%s with %d routers", w.name, routers)
			}
			result.Rows = append(result.Rows, row)
		}
	}
	return result, nil
}

func (o Options) measure(ctx context.Context, routers int, w way, log zerolog.Logger) (Row, error) {
	f, err := fleet.Start(o.spec(routers, w.mode, log))
	if err != nil {
		return Row{}, err
	}
	counts := newLoad(f, o).run(ctx)
	if err := f.Stop(); err != nil {
		return Row{}, errors.Wrap(err, "stop the fleet")
	}
	return newRow(routers, w.name, o, counts), nil
}

func (o Options) spec(routers int, mode limits.Mode, log zerolog.Logger) fleet.Spec {
	profile := fleet.Product()
	profile.TeamLimits = mode
	fast := engine.Config{Slots: slots, TokenTime: time.Millisecond, Priorities: true}
	spec := fleet.Spec{Routers: routers, ShutdownGrace: grace, Profile: profile, Bundle: o.bundle(), Log: log}
	for range engines {
		spec.Engines = append(spec.Engines, fast)
	}
	return spec
}

func (o Options) bundle() bundle.Bundle {
	return bundle.Bundle{
		Format: bundle.Format, Version: 1,
		Tiers: []bundle.Tier{{Name: "gold"}},
		Classes: []bundle.Class{{
			Name: "queries", FirstToken: units.Duration(time.Second), Deadline: units.Duration(time.Minute),
		}},
		Models: []bundle.Model{{Name: engine.DefaultModel}},
		Teams: []bundle.Team{{
			Name: team, KeyHashes: []string{bundle.HashKey(key)},
			Grants: []bundle.Grant{{Class: "queries", Tier: "gold"}},
			Limits: bundle.TeamLimits{RequestsPerSecond: o.Limit},
		}},
		Limits: bundle.Limits{RequestBytes: 1 << 16, QueueEntries: 1000, QueueBytes: 1 << 20},
	}
}
