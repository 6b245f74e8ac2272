package rolloutcmd

import (
	"fmt"
	"strings"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/jedib0t/go-pretty/v6/text"

	"coveferry/internal/rollout"
)

const (
	// maxListedProcesses is the number of processes up to which all are listed, not only
	// lagging ones.
	maxListedProcesses = 40
)

// render formats a survey for a terminal.
func render(s *rollout.FleetStatus, now time.Time, all bool) string {
	lagging := s.Lagging()
	list := lagging
	if all || len(s.Processes) <= maxListedProcesses {
		list = s.Processes
	}
	var out strings.Builder
	fmt.Fprintf(&out, "%s  version %d in force at %d of %d processes, %d lag\n",
		now.Format(time.TimeOnly), s.Highest, len(s.Processes)-len(lagging), len(s.Processes), len(lagging))
	if len(list) > 0 {
		fmt.Fprintln(&out, processTable(s, list))
	}
	for _, f := range s.Failed {
		fmt.Fprintf(&out, "no answer from %s: %s\n", f.Where, f.Error)
	}
	for _, asked := range s.Asked {
		for _, r := range asked.Refused {
			fmt.Fprintf(&out, "%s refused %s (%d times, last %s ago): %s\n", asked.Self.ID, r.Source, r.Count, formatAge(r.AgeMillis), r.Message)
		}
	}
	return strings.TrimSuffix(out.String(), "\n")
}

func processTable(s *rollout.FleetStatus, list []rollout.ProcessStatus) string {
	t := table.NewWriter()
	t.SetStyle(table.StyleLight)
	t.Style().Format.Header = text.FormatDefault
	t.Style().Options.SeparateColumns = false
	t.Style().Options.DrawBorder = false
	t.AppendHeader(table.Row{"failure domain", "process", "version", "digest", "state", "heard", "note"})
	for _, p := range list {
		t.AppendRow(table.Row{p.FailureDomain, p.ID, p.Version, p.Digest, p.State, lastHeard(p), statusNote(s, p)})
	}
	return t.Render()
}

func lastHeard(p rollout.ProcessStatus) string {
	if p.AgeMillis == rollout.NeverReported {
		return "never"
	}
	return formatAge(p.AgeMillis) + " ago"
}

func formatAge(millis int64) string {
	d := time.Duration(millis) * time.Millisecond
	return d.Round(100 * time.Millisecond).String()
}

// statusNote describes the problems of a process.
func statusNote(s *rollout.FleetStatus, p rollout.ProcessStatus) string {
	var notes []string
	switch {
	case p.AgeMillis == rollout.NeverReported:
		notes = append(notes, "not heard of")
	case s.Lags(p):
		notes = append(notes, "lags")
	}
	if p.ServiceUnusable {
		notes = append(notes, "reads the service in vain")
	}
	return strings.Join(notes, ", ")
}
