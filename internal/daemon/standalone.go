package daemon

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"

	"coveferry/internal/bundle"
	"coveferry/internal/cli"
	"coveferry/internal/filters/attempts"
	"coveferry/internal/fleet"
	"coveferry/internal/logging"
	"coveferry/internal/sched"
	"coveferry/internal/settings"
	"coveferry/internal/standin/engine"
	"coveferry/internal/telemetry"
	"coveferry/internal/units"
)

// The API key and model of the embedded bundle.
const (
	demoKey   = "demo-key"
	demoModel = "stand-in"
)

// demoBundle returns the bundle that is used if none is configured: one team, two classes, two
// tiers.
func demoBundle() bundle.Bundle {
	now := time.Now().UTC()
	return bundle.Bundle{
		Format: bundle.Format, Version: 1,
		Issued: now, Expires: now.AddDate(1, 0, 0),
		Tiers: []bundle.Tier{{Name: "gold"}, {Name: "bronze"}},
		Classes: []bundle.Class{
			{Name: "queries", FirstToken: mustDuration("760ms"), BetweenTokens: mustDuration("77ms"), Deadline: mustDuration("60s")},
			{Name: "reviews", FirstToken: mustDuration("10s"), Deadline: mustDuration("10m")},
		},
		Models: []bundle.Model{{Name: demoModel}},
		Teams: []bundle.Team{{
			Name: "demo", KeyHashes: []string{bundle.HashKey(demoKey)},
			Grants: []bundle.Grant{{Class: "queries", Tier: "gold"}, {Class: "reviews", Tier: "bronze"}},
		}},
		Limits: bundle.Limits{RequestBytes: 4 << 20, QueueEntries: 1000, QueueBytes: 64 << 20},
	}
}

func mustDuration(text string) units.Duration {
	var d units.Duration
	if err := d.UnmarshalText([]byte(text)); err != nil {
		panic(err) // a constant of this file
	}
	return d
}

// printQuickStart prints a command for a first request.
func printQuickStart(w io.Writer, url string) {
	fmt.Fprintf(w, `coveferry is ready. Try:

  curl -N %s/v1/chat/completions -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' -d '{"model":"%s","stream":true,"messages":[{"role":"user","content":"Hello"}]}'

Stop it with Ctrl-C: answers under way are finished first.
`, url, demoKey, demoModel)
}

func demoEngines(s *settings.Standalone) []engine.Config {
	engines := make([]engine.Config, s.Engines)
	for i := range engines {
		engines[i] = engine.Config{
			Slots:             s.Slots,
			TokenTime:         s.TokenTime.Std(),
			PrefixCacheTokens: s.PrefixCacheTokens,
			Priorities:        true,
		}
	}
	return engines
}

// Standalone runs a router, agents and stub engines in this process until the
// environment's context ends, then finishes open requests.
func Standalone(env *cli.Env, s *settings.Standalone) error {
	log := logging.New(s.Log, env.Stderr)
	reg := telemetry.NewRegistry()
	ready := telemetry.NewReadiness(gateServing)
	var f *fleet.Fleet
	sloTracker := newSLOTracker("standalone", reg, func() *bundle.Snapshot { return f.Routers()[0].Router.Snapshot() })
	b, err := standaloneBundle(s)
	if err != nil {
		return err
	}
	f, err = fleet.Start(fleet.Spec{
		Bundle:        b,
		Engines:       demoEngines(s),
		Routers:       1,
		RouterAddress: s.Listen.String(),
		ShutdownGrace: s.Shutdown.StreamsGrace.Std(),
		Profile:       standaloneProfile(s),
		Log:           log,
		Metrics:       reg,
		SLO:           sloTracker,
	})
	if err != nil {
		return err
	}
	var g run.Group
	var stopErr error
	addContextActor(&g, env.Ctx)
	stopped := make(chan struct{})
	g.Add(func() error { <-stopped; return nil }, func(error) {
		log.Info().Msg("stopping: finishing open requests")
		ready.Close(gateServing)
		stopErr = errors.CombineErrors(stopErr, f.Stop())
		close(stopped)
	})
	admin, err := newAdminServer(s.MetricsListen.String(), newRouterMux(reg, ready, sloTracker, f.Routers()[0].Members()))
	if err != nil {
		return errors.CombineErrors(err, f.Stop())
	}
	addServer(&g, admin, admin.Stop, &stopErr)
	ready.Open(gateServing)
	printQuickStart(env.Stdout, f.Routers()[0].URL())
	return errors.CombineErrors(g.Run(), stopErr)
}

// standaloneBundle reads the bundle from the settings, which needs no signature, or returns
// the embedded one.
func standaloneBundle(s *settings.Standalone) (bundle.Bundle, error) {
	if s.BundleFile == "" {
		return demoBundle(), nil
	}
	src, err := os.ReadFile(string(s.BundleFile))
	if err != nil {
		return bundle.Bundle{}, cli.BadInput(errors.Wrap(err, "read the bundle"))
	}
	b, err := bundle.Parse(string(s.BundleFile), src)
	if err != nil {
		return bundle.Bundle{}, cli.BadInput(err)
	}
	return *b, nil
}

func standaloneProfile(s *settings.Standalone) fleet.Profile {
	return fleet.Profile{
		Name:        "standalone",
		Balance:     balancePolicy(s.Balance),
		LateBinding: s.Balance.LateBinding,
		Scheduler: func(slots int, limits bundle.Limits) sched.Policy {
			return schedulerPolicy(s.Scheduler, slots, limits)
		},
		Retry: func() attempts.Policy { return retryPolicy(s.Retry) },
	}
}
