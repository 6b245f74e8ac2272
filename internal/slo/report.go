package slo

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// Format is the version of the report schema.
const Format = 1

// ErrNotReport: a text is not a valid report of this format.
var ErrNotReport = errors.New("not an SLO report")

// Report is the SLO state of all classes and tiers at one router, or at several
// routers if merged.
type Report struct {
	Format  int       `json:"format"`
	Routers []string  `json:"routers"`
	At      time.Time `json:"at"`
	Rows    []Row     `json:"rows"`
}

// Parse parses and validates a report. Unknown fields are ignored, because a newer
// router may send them.
func Parse(text []byte) (Report, error) {
	var rep Report
	if err := json.Unmarshal(text, &rep); err != nil {
		return Report{}, errors.Wrapf(ErrNotReport, "%v", err)
	}
	if rep.Format != Format {
		return Report{}, errors.Wrapf(ErrNotReport, "format %d, want %d", rep.Format, Format)
	}
	for _, row := range rep.Rows {
		if err := row.check(); err != nil {
			return Report{}, err
		}
	}
	return rep, nil
}

func (r Row) check() error {
	if !validObjective(r.Objective) {
		return errors.Wrapf(ErrNotReport, "%s/%s: objective %v", r.Class, r.Tier, r.Objective)
	}
	if len(r.Windows) != int(numWindows) {
		return errors.Wrapf(ErrNotReport, "%s/%s: %d windows, want %d", r.Class, r.Tier, len(r.Windows), numWindows)
	}
	for w, s := range r.Windows {
		if s.Window != Window(w).String() {
			return errors.Wrapf(ErrNotReport, "%s/%s: window %q, want %q", r.Class, r.Tier, s.Window, Window(w))
		}
	}
	return nil
}

// Merge sums the counts of several routers' reports and recomputes the burn rates.
// A mean of the rates would give an idle router the same weight as a busy one. If
// the objectives differ, as during the rollout of a bundle, the strictest applies.
// The reports must be valid according to Parse.
func Merge(reports ...Report) Report {
	merged := Report{Format: Format, Routers: []string{}, Rows: []Row{}}
	sums := make(map[Key][numWindows]Counts)
	strictest := make(map[Key]float64)
	for _, rep := range reports {
		merged.Routers = append(merged.Routers, rep.Routers...)
		if rep.At.After(merged.At) {
			merged.At = rep.At
		}
		for _, row := range rep.Rows {
			key := Key{Class: row.Class, Tier: row.Tier}
			sums[key] = addCounts(sums[key], row.counts())
			strictest[key] = max(strictest[key], row.Objective)
		}
	}
	for key, counts := range sums {
		merged.Rows = append(merged.Rows, newRow(key, strictest[key], counts))
	}
	slices.Sort(merged.Routers)
	sortRows(merged.Rows)
	return merged
}

func (r Row) counts() [numWindows]Counts {
	var counts [numWindows]Counts
	for w := range counts {
		counts[w] = r.Windows[w].Counts
	}
	return counts
}

// Worst returns the most severe alert level of all rows.
func (r Report) Worst() Level {
	worst := LevelNone
	for _, row := range r.Rows {
		if row.Alert.AtLeast(worst) {
			worst = row.Alert
		}
	}
	return worst
}
