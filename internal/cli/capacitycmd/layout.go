package capacitycmd

import (
	"fmt"
	"strings"

	"github.com/jedib0t/go-pretty/v6/table"

	"coveferry/internal/capacity"
)

// Markers around a table in the page.
const (
	beginMarker = "<!-- begin: %s -->"
	endMarker   = "<!-- end: %s -->"
)

// markerName returns the name of a table in its markers.
func markerName(size string, t capacity.Table) string { return size + "/" + t.ID }

// renderMarkdown formats a table as Markdown between its markers.
func renderMarkdown(size string, t capacity.Table) string {
	name := markerName(size, t)
	return fmt.Sprintf(beginMarker+"\n\n%s\n\n"+endMarker+"\n", name, newTable(t).RenderMarkdown(), name)
}

// renderText formats a table for a terminal.
func renderText(r capacity.Report, t capacity.Table) string {
	w := newTable(t)
	w.SetTitle("%s: %s", r.Size.Name, t.Title)
	return w.Render() + "\n"
}

func newTable(t capacity.Table) table.Writer {
	w := table.NewWriter()
	style := table.StyleLight
	style.Format.Header = 0 // as written
	w.SetStyle(style)
	w.AppendHeader(cells(t.Header))
	for _, row := range t.Rows {
		w.AppendRow(cells(row))
	}
	return w
}

func cells(texts []string) table.Row {
	row := make(table.Row, len(texts))
	for i, text := range texts {
		row[i] = strings.TrimSpace(text)
	}
	return row
}
