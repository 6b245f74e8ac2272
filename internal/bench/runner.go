// Package bench runs benchmark scenarios: it sends the same seeded load to a new
// fleet for each policy, and compares what callers received with what the
// engines produced. Package scenario declares the scenarios; package report
// describes the format of the result.
package bench

import (
	"cmp"
	"context"
	"math"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"coveferry/internal/bench/arrivals"
	"coveferry/internal/bench/report"
	"coveferry/internal/bench/scenario"
	"coveferry/internal/standin/engine"
)

// The fleet at scale 1. A decode step with all slots in use takes 19.5 ms, so
// that it produces some 4,900 tokens/s.
const (
	baseEngines     = 12
	routers         = 3
	slots           = 8
	tokenTime       = 16 * time.Millisecond
	batchSlope      = 500 * time.Microsecond
	prefillPerToken = 20 * time.Microsecond
	// prefixCache, in tokens, holds the shared prompts of some of the teams only.
	prefixCache = 12_000
)

// MaxOpen bounds the requests that the bench keeps open at once.
const MaxOpen = 20_000

// ErrInvalid marks the error of invalid options.
var ErrInvalid = errors.New("invalid bench options")

// Options configures a run.
type Options struct {
	Scenario scenario.Scenario
	Mix      arrivals.Mix
	// Seed is used for both the load and the fleet.
	Seed uint64
	// Duration is the time during which load arrives.
	Duration time.Duration
	// Scale multiplies the number of engines, and the load with it.
	Scale float64
	// Policies run one after the other.
	Policies []string
}

// Progress receives the progress of a run.
type Progress interface {
	// Begin is called when the run of a policy starts.
	Begin(policy string, requests int)
	// Step is called when a request has ended. It may be called concurrently.
	Step()
	// End is called when the run of a policy has ended.
	End()
}

// Runner runs scenarios on fleets that it launches.
type Runner struct {
	Launch   Launcher
	Log      zerolog.Logger
	Progress Progress
	// Transport replaces the usual HTTP transport to the routers, if set.
	Transport http.RoundTripper
}

// Run measures the policies in turn. If ctx ends during the run, the result
// holds the measurements so far and is marked as partial. The error is marked
// ErrInvalid or ErrUnknownPolicy if the options are invalid.
func (r *Runner) Run(ctx context.Context, o Options) (report.Result, error) {
	if err := o.validate(); err != nil {
		return report.Result{}, err
	}
	e := newExperiment(o)
	result := e.header()
	for _, name := range o.Policies {
		if ctx.Err() != nil {
			break
		}
		p, err := r.runPolicy(ctx, e, name)
		if err != nil {
			return report.Result{}, errors.Wrapf(err, "policy %s", name)
		}
		result.Policies = append(result.Policies, p)
	}
	result.Partial = ctx.Err() != nil
	result.Ratios = report.Compare(result.Policies, PolicyBaseline)
	return result, nil
}

func (o Options) validate() error {
	switch {
	case o.Duration <= 0:
		return errors.Mark(errors.Newf("duration %s must be positive", o.Duration), ErrInvalid)
	case o.Scale <= 0 || math.IsNaN(o.Scale) || math.IsInf(o.Scale, 0):
		return errors.Mark(errors.Newf("scale %g must be positive", o.Scale), ErrInvalid)
	case len(o.Policies) == 0:
		return errors.Mark(errors.New("no policy to run"), ErrInvalid)
	}
	return nil
}

// experiment holds what is the same for all policies of a run.
type experiment struct {
	opt      Options
	scenario scenario.Scenario
	shape    arrivals.Shape
	arrivals []arrivals.Arrival
}

func newExperiment(o Options) experiment {
	shape := arrivals.Shape{
		Engines:         max(1, int(math.Round(baseEngines*o.Scale))),
		Slots:           slots,
		TokenTime:       cmp.Or(o.Scenario.TokenTime, tokenTime),
		BatchSlope:      cmp.Or(o.Scenario.BatchSlope, batchSlope),
		PrefillPerToken: prefillPerToken,
	}
	s := o.Scenario.WithDuration(o.Duration)
	list := arrivals.Generate(arrivals.Plan{
		Seed:     o.Seed,
		Mix:      o.Mix,
		Duration: o.Duration,
		Shape:    shape,
		Load:     s.Load,
	})
	return experiment{opt: o, scenario: s, shape: shape, arrivals: list}
}

func (e experiment) header() report.Result {
	tokens := 0
	for _, a := range e.arrivals {
		tokens += a.Tokens
	}
	return report.Result{
		Format:   report.Format,
		Scenario: e.scenario.Name,
		Doc:      e.scenario.Doc,
		Seed:     e.opt.Seed,
		Mix:      e.opt.Mix.Name,
		Duration: e.opt.Duration.Seconds(),
		Scale:    e.opt.Scale,
		Arrivals: len(e.arrivals),
		Fleet: report.Fleet{
			Routers:  routers,
			Engines:  e.shape.Engines,
			Slots:    e.shape.Slots,
			Step:     e.shape.StepTime().Seconds() * 1e3,
			Capacity: e.shape.TokensPerSecond(),
			Offered:  float64(tokens) / e.opt.Duration.Seconds(),
			Load:     e.shape.Load(e.arrivals, e.opt.Duration),
		},
	}
}

func (e experiment) spec(policy string, now time.Time) Spec {
	return Spec{
		Policy:  policy,
		Seed:    e.opt.Seed,
		Routers: routers,
		Engines: e.shape.Engines,
		Engine: engine.Config{
			Slots:             e.shape.Slots,
			TokenTime:         e.shape.TokenTime,
			BatchSlope:        e.shape.BatchSlope,
			PrefillPerToken:   e.shape.PrefillPerToken,
			PrefixCacheTokens: prefixCache,
			LoadLag:           e.scenario.ReportLag,
			Seed:              e.opt.Seed,
			Priorities:        true,
		},
		Bundle: newBundle(e.opt.Mix, now),
	}
}
