// Package pathcmd holds `coveferryctl bench path`.
package pathcmd

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"coveferry/internal/bench/path"
	"coveferry/internal/cli"
)

// Cmd measures the overhead of router and agent over a direct call.
type Cmd struct {
	JSON     bool          `name:"json" help:"Print the whole result as JSON."`
	Rate     int           `default:"1000" help:"Requests a second."`
	Duration time.Duration `default:"20s" help:"How long calls arrive, half of them direct."`
	Streams  int           `default:"1000" help:"Streams open at once, for the memory and the tokens of one."`
	Profiles string        `placeholder:"DIR" type:"existingdir" help:"Write CPU and heap profiles of each process to a directory."`
	Part     bool          `hidden:"" help:"Be one part of the measurement, as the measuring process orders on the standard input."`
}

// Run runs the command.
func (c *Cmd) Run(env *cli.Env) error {
	if c.Part {
		return path.ServePart(env.Stdin, env.Stdout)
	}
	o := path.Options{Rate: c.Rate, Duration: c.Duration, Streams: c.Streams, Launch: path.Exec("bench", "path", "--part"), Profiles: c.Profiles}
	r, err := path.Run(env.Ctx, o, func(what string) { fmt.Fprintln(env.Stderr, what) })
	if err != nil {
		return err
	}
	if c.JSON {
		enc := json.NewEncoder(env.Stdout)
		enc.SetIndent("", "  ")
		return enc.Encode(r)
	}
	_, err = fmt.Fprintf(env.Stdout, "%s\n%s\n%d requests/s of three tokens, %d streams; a stream for streams/core has 20 tokens/s\n",
		latencyTable(r).Render(), costTable(r).Render(), r.Rate, r.Streams)
	return err
}

func newTable(head ...any) table.Writer {
	t := table.NewWriter()
	t.SetStyle(table.StyleLight)
	t.AppendHeader(head)
	return t
}

func latencyTable(r *path.Result) table.Writer {
	t := newTable("", "direct", "routed", "added")
	d, w, a := r.Direct, r.Routed, r.Added
	t.AppendRow(table.Row{"first token p50", formatMicros(d.FirstToken.P50), formatMicros(w.FirstToken.P50), formatMicros(a.FirstTokenP50)})
	t.AppendRow(table.Row{"first token p99", formatMicros(d.FirstToken.P99), formatMicros(w.FirstToken.P99), formatMicros(a.FirstTokenP99)})
	t.AppendRow(table.Row{"whole answer p50", formatMicros(d.Total.P50), formatMicros(w.Total.P50), formatMicros(a.TotalP50)})
	t.AppendRow(table.Row{"whole answer p99", formatMicros(d.Total.P99), formatMicros(w.Total.P99), formatMicros(a.TotalP99)})
	t.AppendRow(table.Row{"between tokens p50", formatMicros(d.Gap.P50), formatMicros(w.Gap.P50), formatMicros(a.GapP50)})
	t.AppendRow(table.Row{"between tokens p99", formatMicros(d.Gap.P99), formatMicros(w.Gap.P99), formatMicros(a.GapP99)})
	t.AppendRow(table.Row{"failed", d.Failed, w.Failed, ""})
	return t
}

func costTable(r *path.Result) table.Writer {
	t := newTable("", "CPU a request", "requests/s a core", "CPU a token", "streams a core", "memory a stream")
	for _, row := range []struct {
		name string
		cost path.Cost
	}{{"router", r.Router}, {"agent", r.Agent}, {"stand-in engine", r.Engine}} {
		c := row.cost
		t.AppendRow(table.Row{
			row.name, formatCPU(c.CPUMicros), formatCount(c.RequestsPerCore),
			formatCPU(c.TokenMicros), formatCount(c.StreamsPerCore), formatKiB(c.StreamBytes),
		})
	}
	return t
}

func formatMicros(us int64) string { return fmt.Sprintf("%.2f ms", float64(us)/1000) }

func formatCPU(us float64) string { return fmt.Sprintf("%.1f us", us) }

func formatCount(n float64) string { return fmt.Sprintf("%.0f", n) }

func formatKiB(b float64) string { return fmt.Sprintf("%.1f KiB", b/1024) }
