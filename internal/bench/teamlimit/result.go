package teamlimit

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/jedib0t/go-pretty/v6/table"
)

// Format is the version of the result format.
const Format = 1

// Result holds the measurements of a run.
type Result struct {
	Format   int    `json:"format"`
	Scenario string `json:"scenario"`
	Doc      string `json:"doc"`
	// Limit is the team's limit in requests per second; Duration is in seconds.
	Limit    float64 `json:"limit"`
	Duration float64 `json:"duration"`
	Partial  bool    `json:"partial"`
	Rows     []Row   `json:"rows"`
}

// Row holds the measurements of one enforcement mode with one number of routers.
type Row struct {
	Routers  int    `json:"routers"`
	Mode     string `json:"way"`
	Sent     int64  `json:"sent"`
	Admitted int64  `json:"admitted"`
	Refused  int64  `json:"refused"`
	// Failed counts requests with another status or without a response.
	Failed int64 `json:"failed"`
	// Over is the admitted excess over the limit and Under the unused part of
	// the limit, as fractions of the limit.
	Over  float64 `json:"over_admission"`
	Under float64 `json:"under_use"`
}

func newRow(routers int, mode string, o Options, c *counts) Row {
	row := Row{
		Routers: routers, Mode: mode,
		Sent: c.sent.Load(), Admitted: c.admitted.Load(), Refused: c.refused.Load(), Failed: c.failed.Load(),
	}
	share := float64(row.Admitted)/(o.Limit*o.Duration.Seconds()) - 1
	row.Over, row.Under = max(0, share), max(0, -share)
	return row
}

// WriteJSON writes the result as JSON.
func (r Result) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return errors.Wrap(enc.Encode(r), "write the result")
}

// WriteTable writes the result as a text table.
func (r Result) WriteTable(w io.Writer) error {
	t := table.NewWriter()
	t.SetStyle(table.StyleLight)
	t.SetTitle(fmt.Sprintf("%s: %s; limit %g/s, %gs", r.Scenario, r.Doc, r.Limit, r.Duration))
	t.AppendHeader(table.Row{"routers", "way", "sent", "admitted", "refused", "failed", "over", "under"})
	for _, row := range r.Rows {
		t.AppendRow(table.Row{
			row.Routers, row.Mode, row.Sent, row.Admitted, row.Refused, row.Failed,
			percent(row.Over), percent(row.Under),
		})
	}
	_, err := fmt.Fprintln(w, t.Render())
	return errors.Wrap(err, "write the table")
}

func percent(share float64) string { return fmt.Sprintf("%.1f%%", 100*share) }
