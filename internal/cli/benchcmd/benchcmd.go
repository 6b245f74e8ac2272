// Package benchcmd holds the commands of `coveferryctl bench`.
package benchcmd

import (
	"cmp"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/rs/zerolog"

	"coveferry/internal/bench"
	"coveferry/internal/bench/arrivals"
	"coveferry/internal/bench/local"
	"coveferry/internal/bench/plot"
	"coveferry/internal/bench/report"
	"coveferry/internal/bench/scenario"
	"coveferry/internal/cli"
)

// Cmd is the command group.
type Cmd struct {
	Scenario  RunCmd       `cmd:"" name:"run" default:"withargs" help:"Run a scenario: open-loop load against a fleet in this process, for each policy in turn."`
	TeamLimit TeamLimitCmd `cmd:"" name:"team-limit" help:"Measure how a team's limit holds across routers, against each router alone and fixed fair shares."`
	List      ListCmd      `cmd:"" help:"List the scenarios."`
}

// ListCmd lists the scenarios.
type ListCmd struct{}

// Run runs the command.
func (*ListCmd) Run(env *cli.Env, k *kong.Context) error {
	t := table.NewWriter()
	t.SetStyle(table.StyleLight)
	t.AppendHeader(table.Row{"scenario", "seed", "what it is"})
	for _, s := range scenario.All() {
		t.AppendRow(table.Row{s.Name, s.Seed, s.Doc})
	}
	for _, command := range measurements(k.Selected()) {
		t.AppendRow(table.Row{command.Name, "", command.Help})
	}
	_, err := fmt.Fprintln(env.Stdout, t.Render())
	return errors.Wrap(err, "write the list")
}

// measurements returns the other commands of the group, which aren't scenarios.
func measurements(list *kong.Node) []*kong.Node {
	return slices.DeleteFunc(slices.Clone(list.Parent.Children), func(n *kong.Node) bool {
		return n == list || n.Name == "run"
	})
}

// RunCmd runs a scenario.
type RunCmd struct {
	Scenario string        `arg:"" help:"Name of the scenario; 'bench list' names all."`
	JSON     bool          `name:"json" help:"Print the whole result as JSON."`
	Seed     *uint64       `help:"Seed of the load and of the fleet; each scenario has a default."`
	Duration time.Duration `default:"60s" help:"How long load arrives. The moments of bursts and faults move in proportion."`
	Scale    float64       `default:"1" help:"Multiplies the number of engines, and the load with it."`
	Mix      string        `default:"" enum:"registry,fleet,both,small," help:"Whose requests: registry, fleet, both or small; each scenario has a default, mostly both."`
	Policy   []string      `default:"product,baseline" help:"Policies to compare, in this order."`
	Plot     string        `placeholder:"FILE.png" type:"path" help:"Draw attainment and goodput to a file."`
	Verbose  bool          `short:"v" help:"Log what happens to the fleet."`
}

// Run runs the command.
func (c *RunCmd) Run(env *cli.Env) error {
	o, err := c.options()
	if err != nil {
		return cli.BadInput(err)
	}
	log := c.logger(env)
	runner := bench.Runner{
		Launch:   local.New(local.Profiles(), log),
		Log:      log,
		Progress: newProgress(env.Stderr),
	}
	result, err := runner.Run(env.Ctx, o)
	if err != nil {
		return markBadInput(err)
	}
	if err := c.write(env, result); err != nil {
		return err
	}
	return c.plot(result)
}

func (c *RunCmd) options() (bench.Options, error) {
	s, err := scenario.ByName(c.Scenario)
	if err != nil {
		return bench.Options{}, err
	}
	mix, err := arrivals.MixByName(cmp.Or(c.Mix, s.Mix, arrivals.MixBoth))
	if err != nil {
		return bench.Options{}, err
	}
	if err := local.Check(c.Policy); err != nil {
		return bench.Options{}, err
	}
	seed := s.Seed
	if c.Seed != nil {
		seed = *c.Seed
	}
	return bench.Options{
		Scenario: s,
		Mix:      mix,
		Seed:     seed,
		Duration: c.Duration,
		Scale:    c.Scale,
		Policies: c.Policy,
	}, nil
}

func (c *RunCmd) logger(env *cli.Env) zerolog.Logger {
	level := zerolog.WarnLevel
	if c.Verbose {
		level = zerolog.DebugLevel
	}
	return zerolog.New(zerolog.ConsoleWriter{Out: env.Stderr}).Level(level).With().Timestamp().Logger()
}

// markBadInput marks errors that are caused by the flags.
func markBadInput(err error) error {
	for _, invalid := range []error{bench.ErrInvalid, bench.ErrUnknownPolicy, bench.ErrUnsupported} {
		if errors.Is(err, invalid) {
			return cli.BadInput(err)
		}
	}
	return err
}

func (c *RunCmd) write(env *cli.Env, r report.Result) error {
	if c.JSON {
		return r.WriteJSON(env.Stdout)
	}
	return r.WriteTable(env.Stdout)
}

func (c *RunCmd) plot(r report.Result) error {
	if c.Plot == "" {
		return nil
	}
	f, err := os.Create(c.Plot)
	if err != nil {
		return cli.BadInput(errors.Wrap(err, "create the plot"))
	}
	if err := plot.WritePNG(f, r); err != nil {
		return errors.CombineErrors(err, f.Close())
	}
	return errors.Wrap(f.Close(), "close the plot")
}
