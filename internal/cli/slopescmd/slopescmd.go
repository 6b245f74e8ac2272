// Package slopescmd holds the command that measures the slopes of the capacity model.
package slopescmd

import (
	"encoding/json"
	"fmt"
	"io"
	"runtime"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jedib0t/go-pretty/v6/table"

	"coveferry/internal/capacity"
	"coveferry/internal/capacity/slopes"
	"coveferry/internal/cli"
)

// baseCommandLine is the command line in the report's Command field, as mounted in coveferryctl.
const baseCommandLine = "coveferryctl bench slopes --json"

// Cmd measures the slopes on this machine.
type Cmd struct {
	JSON    bool     `name:"json" help:"Write the slopes as a file for 'coveferryctl capacity --slopes'."`
	Repeats int      `help:"How often each line is measured." default:"3"`
	Only    []string `help:"Measure only these probes." placeholder:"PROBE"`
	Shrink  int      `help:"Divide all sizes, to try the probes out quickly; the figures are of no use." default:"1"`
}

// Help lists the probes.
func (c *Cmd) Help() string {
	return "Each slope is a line through four sizes or more. Nothing else should run meanwhile.\n\n" +
		"Probes: " + strings.Join(slopes.Probes(), ", ") + "."
}

// Run measures and writes the slopes.
func (c *Cmd) Run(env *cli.Env) error {
	opts := slopes.Options{
		Repeats: c.Repeats,
		Only:    c.Only,
		Shrink:  c.Shrink,
		Progress: func(probe string) {
			fmt.Fprintln(env.Stderr, "measuring", probe)
		},
	}
	measured, err := slopes.Measure(env.Ctx, opts)
	if err != nil {
		return err
	}
	run, err := newRun(measured, c.commandLine(), time.Now())
	if err != nil {
		return err
	}
	if c.JSON {
		return writeJSON(env.Stdout, capacity.Slopes{Runs: []capacity.Run{run}})
	}
	_, err = fmt.Fprintln(env.Stdout, renderTable(run))
	return errors.Wrap(err, "write the slopes")
}

// commandLine returns the command with the flags that affect the measurement.
func (c *Cmd) commandLine() string {
	args := baseCommandLine
	if c.Repeats != slopes.DefaultRepeats {
		args += fmt.Sprintf(" --repeats=%d", c.Repeats)
	}
	if len(c.Only) > 0 {
		args += " --only=" + strings.Join(c.Only, ",")
	}
	if c.Shrink != 1 {
		args += fmt.Sprintf(" --shrink=%d", c.Shrink)
	}
	return args
}

// newRun adds the machine and the date to measured slopes.
func newRun(measured []capacity.Slope, commandLine string, now time.Time) (capacity.Run, error) {
	var info syscall.Sysinfo_t
	if err := syscall.Sysinfo(&info); err != nil {
		return capacity.Run{}, errors.Wrap(err, "read the memory's size")
	}
	return capacity.Run{
		Machine: capacity.Machine{
			Cores:       runtime.NumCPU(),
			MemoryBytes: info.Totalram * uint64(info.Unit),
			Go:          runtime.Version(),
			Platform:    runtime.GOOS + "/" + runtime.GOARCH,
		},
		Date:    now.UTC().Format(time.DateOnly),
		Command: commandLine,
		Slopes:  measured,
	}, nil
}

func writeJSON(w io.Writer, s capacity.Slopes) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return errors.Wrap(enc.Encode(s), "write the slopes")
}

func renderTable(run capacity.Run) string {
	t := table.NewWriter()
	t.AppendHeader(table.Row{"slope", "value", "unit", "per", "least", "most", "residual"})
	for _, s := range run.Slopes {
		t.AppendRow(table.Row{
			s.ID, capacity.FormatSlope(s, s.Value), s.Unit, s.Per,
			capacity.FormatSlope(s, s.Spread.Min), capacity.FormatSlope(s, s.Spread.Max),
			fmt.Sprintf("%.1f%%", 100*s.Residual),
		})
	}
	return t.Render()
}
