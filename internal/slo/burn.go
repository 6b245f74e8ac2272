package slo

import (
	"slices"

	"github.com/cockroachdb/errors"
)

// DefaultObjective is the default share of requests that must be good.
const DefaultObjective = 0.95

// MinRequests is the minimum number of requests in the long window for a rule to
// fire. Without it, one bad request among a few would page somebody.
const MinRequests = 20

// ErrObjective: an objective is not a share strictly between 0 and 1.
var ErrObjective = errors.New("objective is not between 0 and 1")

// Objectives hold the share of requests that must be good, by class.
type Objectives struct {
	// Default applies to classes not in ByClass; 0 means DefaultObjective.
	Default float64
	ByClass map[string]float64
}

// For returns the objective of a class.
func (o Objectives) For(class string) float64 {
	if v, ok := o.ByClass[class]; ok {
		return v
	}
	if o.Default != 0 {
		return o.Default
	}
	return DefaultObjective
}

// Check returns ErrObjective for the first objective out of range.
func (o Objectives) Check() error {
	if v := o.For(""); !validObjective(v) {
		return errors.Wrapf(ErrObjective, "default %v", v)
	}
	for class, v := range o.ByClass {
		if !validObjective(v) {
			return errors.Wrapf(ErrObjective, "class %q: %v", class, v)
		}
	}
	return nil
}

func validObjective(v float64) bool { return v > 0 && v < 1 }

// Level is the severity of an alert.
type Level string

// The levels, least severe first.
const (
	LevelNone   Level = "none"
	LevelTicket Level = "ticket" // to be handled within days
	LevelPage   Level = "page"   // to be handled immediately
)

var levels = []Level{LevelNone, LevelTicket, LevelPage}

// AtLeast reports whether l is at least as severe as other.
func (l Level) AtLeast(other Level) bool {
	return slices.Index(levels, l) >= slices.Index(levels, other)
}

// Rule fires if the burn rate is at or above its threshold in both windows. The
// long window shows that the burn is significant, the short one that it continues.
type Rule struct {
	Level Level
	Burn  float64
	Long  Window
	Short Window
}

// Rules returns the alerting rules of the SRE workbook that a router can evaluate.
// The slower rules of the workbook need windows of days, longer than a process is
// certain to run; they are in the example rules for Prometheus.
func Rules() []Rule {
	return []Rule{
		{Level: LevelPage, Burn: 14.4, Long: Window1h, Short: Window5m},
		{Level: LevelPage, Burn: 6, Long: Window6h, Short: Window30m},
		{Level: LevelTicket, Burn: 3, Long: Window6h, Short: Window30m},
	}
}

// Row is the SLO state of one class and tier.
type Row struct {
	Class     string   `json:"class"`
	Tier      string   `json:"tier"`
	Objective float64  `json:"objective"`
	Windows   []Sample `json:"windows"` // shortest first, one for each Window
	Alert     Level    `json:"alert"`
}

// Sample holds the counts and burn rate of one window.
type Sample struct {
	Window string `json:"window"`
	Counts
	// Burn is how many times faster than the objective allows the error budget
	// is used up: 1 uses exactly the budget, 0 none of it. It is 0 without
	// requests.
	Burn float64 `json:"burn"`
}

func newRow(key Key, objective float64, counts [numWindows]Counts) Row {
	row := Row{Class: key.Class, Tier: key.Tier, Objective: objective}
	for w, c := range counts {
		row.Windows = append(row.Windows, Sample{Window: Window(w).String(), Counts: c, Burn: burnRate(c, objective)})
	}
	row.Alert = row.alertLevel()
	return row
}

func burnRate(c Counts, objective float64) float64 {
	if c.Total() == 0 {
		return 0
	}
	share := float64(c.Bad()) / float64(c.Total())
	return share / (1 - objective)
}

// alertLevel returns the most severe level of the rules that fire.
func (r Row) alertLevel() Level {
	worst := LevelNone
	for _, rule := range Rules() {
		if rule.fires(r) && rule.Level.AtLeast(worst) {
			worst = rule.Level
		}
	}
	return worst
}

// roundingSlack lets a burn rate exactly at a threshold fire despite the rounding
// of 1 - objective.
const roundingSlack = 1e-9

func (u Rule) fires(r Row) bool {
	long, short := r.Windows[u.Long], r.Windows[u.Short]
	threshold := u.Burn - roundingSlack
	return long.Total() >= MinRequests && long.Burn >= threshold && short.Burn >= threshold
}
