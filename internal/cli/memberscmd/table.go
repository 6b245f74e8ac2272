package memberscmd

import (
	"fmt"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/jedib0t/go-pretty/v6/text"

	"coveferry/internal/membership"
)

// render formats a router's members for a terminal.
func render(p membership.Snapshot) string {
	t := table.NewWriter()
	t.SetStyle(table.StyleLight)
	t.Style().Format.Header = text.FormatDefault
	t.Style().Options.SeparateColumns = false
	t.Style().Options.DrawBorder = false
	t.AppendHeader(table.Row{"endpoint", "VM", "state", "reason", "for", "incarnation"})
	for _, m := range p.Members {
		t.AppendRow(table.Row{m.Endpoint, m.VM, m.State, m.Reason, m.Age.Std().Round(time.Second), m.Incarnation})
	}
	return t.Render() + "\n" + footer(p)
}

func footer(p membership.Snapshot) string {
	list := "no list of VMs yet"
	if p.ListAge != nil {
		list = fmt.Sprintf("list of VMs %s old", p.ListAge.Std().Round(time.Second))
	}
	counts := make(map[membership.State]int)
	for _, m := range p.Members {
		counts[m.State]++
	}
	line := fmt.Sprintf("router %s at %s; %s", p.Router, p.At.Format(time.RFC3339), list)
	for _, s := range membership.States() {
		line += fmt.Sprintf("; %d %s", counts[s], s)
	}
	return line + "\n"
}
