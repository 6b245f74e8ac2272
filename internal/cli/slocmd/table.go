package slocmd

import (
	"fmt"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/jedib0t/go-pretty/v6/text"

	"coveferry/internal/slo"
)

// render formats a report for a terminal. The counts are those of the longest window.
func render(rep slo.Report) string {
	t := table.NewWriter()
	t.SetStyle(table.StyleLight)
	t.Style().Format.Header = text.FormatDefault
	t.Style().Options.SeparateColumns = false
	t.Style().Options.DrawBorder = false
	t.AppendHeader(header())
	for _, row := range rep.Rows {
		t.AppendRow(cells(row))
	}
	t.SetColumnConfigs(alignment())
	return t.Render() + "\n" + footer(rep)
}

func header() table.Row {
	head := table.Row{"class", "tier", "objective"}
	for _, w := range slo.Windows() {
		head = append(head, "burn "+w.String())
	}
	return append(head, "good 6h", "late", "failed", "refused", "canceled", "alert")
}

func cells(row slo.Row) table.Row {
	line := table.Row{row.Class, row.Tier, fmt.Sprintf("%.4g%%", 100*row.Objective)}
	for _, s := range row.Windows {
		line = append(line, fmt.Sprintf("%.2f", s.Burn))
	}
	counts := row.Windows[slo.Window6h].Counts
	return append(line, counts.Good, counts.Late, counts.Failed, counts.Refused, counts.Canceled, string(row.Alert))
}

// alignment right-aligns numeric columns: all but the names and the alert level.
func alignment() []table.ColumnConfig {
	last := len(header())
	var cols []table.ColumnConfig
	for n := 3; n < last; n++ {
		cols = append(cols, table.ColumnConfig{Number: n, Align: text.AlignRight, AlignHeader: text.AlignRight})
	}
	return cols
}

func footer(rep slo.Report) string {
	routers := fmt.Sprintf("%d routers", len(rep.Routers))
	if len(rep.Routers) == 1 {
		routers = "router " + rep.Routers[0]
	}
	return fmt.Sprintf("%s at %s; most urgent: %s", routers, rep.At.Format(time.RFC3339), rep.Worst())
}
