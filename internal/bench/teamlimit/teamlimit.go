// Package teamlimit measures how accurately a team's limit is enforced across
// the routers of a fleet on loopback sockets. For each enforcement mode it
// measures over-admission and unused limit under skewed demand.
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

// Name is the name of the scenario and Doc its description.
const (
	Name = "team-limit"
	Doc  = "a team at twice its limit, 0.8 of it through one router: shared credits, each router alone, fixed fair shares"
)

// The load as a multiple of the limit, and the fraction of it that one router
// gets.
const (
	demandFactor = 2.0
	busiestShare = 0.8
)

const (
	key     = "bench-key-of-team-limit"
	team    = "limited"
	engines = 2
	slots   = 512
	// warmUp is the time during which load arrives before it is counted.
	warmUp = 4 * time.Second
	grace  = 5 * time.Second
)

// ErrInvalid marks the error of invalid options.
var ErrInvalid = errors.New("invalid bench options")

// Options configures a run.
type Options struct {
	// Routers are the numbers of routers to measure, each at least two.
	Routers []int
	// Limit is the team's limit in requests per second.
	Limit float64
	// Duration is the measured time of each row, after the warm-up.
	Duration time.Duration
}

// Check returns an error marked ErrInvalid if the options are invalid.
func (o Options) Check() error {
	if len(o.Routers) == 0 || !(o.Limit > 0) || o.Duration <= 0 {
		return errors.Mark(errors.New("numbers of routers, limit and duration must be positive"), ErrInvalid)
	}
	for _, n := range o.Routers {
		if n < 2 {
			return errors.Mark(errors.Newf("%d routers share no limit; use at least two", n), ErrInvalid)
		}
	}
	return nil
}

// enforcement is a named mode of enforcing a limit.
type enforcement struct {
	name string
	mode limits.Mode
}

func enforcements() []enforcement {
	return []enforcement{{"shared", limits.Shared}, {"alone", limits.PerRouter}, {"fair-share", limits.FairShare}}
}

// Run measures each enforcement mode with each number of routers in turn. If ctx
// ends during the run, the result holds the completed rows and is marked as
// partial.
func Run(ctx context.Context, o Options, log zerolog.Logger) (Result, error) {
	if err := o.Check(); err != nil {
		return Result{}, err
	}
	result := Result{Format: Format, Scenario: Name, Doc: Doc, Limit: o.Limit, Duration: o.Duration.Seconds()}
	for _, routers := range o.Routers {
		for _, e := range enforcements() {
			row, err := o.measure(ctx, routers, e, log)
			if ctx.Err() != nil {
				result.Partial = true
				return result, nil
			}
			if err != nil {
				return result, errors.Wrapf(err, "%s with %d routers", e.name, routers)
			}
			result.Rows = append(result.Rows, row)
		}
	}
	return result, nil
}

func (o Options) measure(ctx context.Context, routers int, e enforcement, log zerolog.Logger) (Row, error) {
	f, err := fleet.Start(o.spec(routers, e.mode, log))
	if err != nil {
		return Row{}, err
	}
	counts := newLoad(f, o).run(ctx)
	if err := f.Stop(); err != nil {
		return Row{}, errors.Wrap(err, "stop the fleet")
	}
	return newRow(routers, e.name, o, counts), nil
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
