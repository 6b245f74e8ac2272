package rolloutcmd

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/jedib0t/go-pretty/v6/text"

	"coveferry/internal/cli"
	"coveferry/internal/rollout/measure"
)

// Limits of a measurement on one machine.
const (
	maxNodes   = 1024
	maxChanges = 600
)

// benchFlags are the flags that the measurements share.
type benchFlags struct {
	Nodes    []int         `help:"Numbers of processes to measure with." default:"8,32,128,512"`
	Domains  int           `help:"Number of failure domains." default:"4"`
	Changes  int           `help:"How many versions are published." default:"10"`
	Every    time.Duration `help:"How long after one version the next is published." default:"1s"`
	Restart  float64       `help:"Part of the processes that are restarted meanwhile." default:"0.1"`
	Baseline bool          `help:"Measure the version in which every process watches the service, too." default:"true" negatable:""`
	JSON     bool          `name:"json" help:"Print JSON."`
}

// RolloutCmd is the command "bench rollout".
type RolloutCmd struct {
	benchFlags
}

// Help implements kong.HelpProvider.
func (*RolloutCmd) Help() string {
	return `Runs processes in this one over loopback sockets, publishes a version at each
interval, restarts some processes meanwhile, and reports calls at the service,
bytes and processor time of a process, and the time until a version is in force
everywhere, with slopes by least squares. 512 processes take some 3 GB.`
}

// Run measures with an available configuration service.
func (c *RolloutCmd) Run(env *cli.Env) error { return c.measure(env, measure.FaultNone) }

// StaleCmd is the command "bench stale-config".
type StaleCmd struct {
	benchFlags
}

// Help implements kong.HelpProvider.
func (*StaleCmd) Help() string {
	return `As "bench rollout", but each failure domain has one of three servers of the
configuration service. One is stuck at an old version and one is down.`
}

// Run measures with three configuration servers, of which one is stale and one is down; each
// failure domain uses one of them.
func (c *StaleCmd) Run(env *cli.Env) error { return c.measure(env, measure.FaultStaleAndDown) }

// result is the JSON output.
type result struct {
	Points []measure.Point `json:"points"`
	Slopes []measure.Slope `json:"slopes"`
}

func (s *benchFlags) measure(env *cli.Env, trouble measure.ServiceFault) error {
	if err := s.validate(); err != nil {
		return err
	}
	modes := []measure.Mode{measure.ModePeers}
	if s.Baseline {
		modes = append(modes, measure.ModeWatch)
	}
	var out result
	for _, nodes := range s.Nodes {
		for _, mode := range modes {
			fmt.Fprintf(env.Stderr, "%d processes, %s ...\n", nodes, mode)
			p, err := measure.Run(env.Ctx, measure.Scenario{
				Nodes: nodes, Domains: s.Domains, Mode: mode, Fault: trouble,
				Changes: s.Changes, Every: s.Every, RestartShare: s.Restart,
			})
			if err != nil {
				return errors.Wrapf(err, "%d processes, %s", nodes, mode)
			}
			out.Points = append(out.Points, p)
		}
	}
	out.Slopes = measure.Slopes(out.Points)
	return s.print(env, out)
}

func (s *benchFlags) validate() error {
	for _, n := range s.Nodes {
		if n < s.Domains || n > maxNodes {
			return cli.BadInput(errors.Newf("--nodes %d is outside %d (the failure domains) to %d", n, s.Domains, maxNodes))
		}
	}
	if s.Domains < 1 || s.Changes < 1 || s.Changes > maxChanges || s.Every < 100*time.Millisecond || s.Restart < 0 || s.Restart > 1 {
		return cli.BadInput(errors.Newf("--domains from 1, --changes from 1 to %d, --every from 100ms, --restart from 0 to 1", maxChanges))
	}
	return nil
}

func (s *benchFlags) print(env *cli.Env, out result) error {
	if s.JSON {
		enc := json.NewEncoder(env.Stdout)
		enc.SetIndent("", "  ")
		return enc.Encode(out)
	}
	_, err := fmt.Fprintf(env.Stdout, "%s\n\n%s\n", pointTable(out.Points), slopeTable(out.Slopes))
	return err
}

func newTable(head table.Row) table.Writer {
	t := table.NewWriter()
	t.SetStyle(table.StyleLight)
	t.Style().Format.Header = text.FormatDefault
	t.Style().Options.SeparateColumns = false
	t.Style().Options.DrawBorder = false
	t.AppendHeader(head)
	return t
}

func pointTable(points []measure.Point) string {
	t := newTable(table.Row{"nodes", "mode", "calls/s", "limited/s", "B/s a node", "busiest", "core a node",
		"in force p50", "p99", "max", "never", "ready p50", "max", "ready below", "sure below", "back"})
	for _, p := range points {
		t.AppendRow(table.Row{p.Nodes, p.Mode, fmt.Sprintf("%.1f", p.CallsPerSecond), fmt.Sprintf("%.1f", p.LimitedPerSecond),
			fmt.Sprintf("%.0f", p.BytesPerSecond), fmt.Sprintf("%.0f", p.MaxBytesPerSecond), fmt.Sprintf("%.2f%%", 100*p.CPUShare),
			fmt.Sprintf("%.3fs", p.InForce.P50), fmt.Sprintf("%.3fs", p.InForce.P99), fmt.Sprintf("%.3fs", p.InForce.Max),
			fmt.Sprintf("%.1f%%", 100*p.NeverInForce), fmt.Sprintf("%.3fs", p.Ready.P50), fmt.Sprintf("%.3fs", p.Ready.Max),
			p.ReadyBelow, p.ConfirmedBelow, p.Backwards})
	}
	return t.Render()
}

func slopeTable(slopes []measure.Slope) string {
	t := newTable(table.Row{"mode", "figure", "at 0 nodes", "a node more"})
	for _, s := range slopes {
		t.AppendRow(table.Row{s.Mode, s.Figure, fmt.Sprintf("%.4g", s.Intercept), fmt.Sprintf("%.4g", s.PerNode)})
	}
	return t.Render()
}
