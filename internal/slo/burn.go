package slo

import (
	"slices"

	"github.com/cockroachdb/errors"
)

// DefaultObjective is the share of requests that must be good.
const DefaultObjective = 0.95

// MinRequests is how many requests the long window of a rule must hold before
// the rule can fire: of a handful, one bad one would call somebody out of bed.
const MinRequests = 20

// ErrObjective: an objective is not a share strictly between 0 and 1.
var ErrObjective = errors.New("objective is not between 0 and 1")

// Objectives say what share of each class's requests must be good.
type Objectives struct {
	// Default is for the classes not named; 0 stands for DefaultObjective.
	Default float64
	ByClass map[string]float64
}

// For returns a class's objective.
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

// Level is how urgent a burn is.
type Level string

// The levels, least urgent first.
const (
	LevelNone   Level = "none"
	LevelTicket Level = "ticket" // look at it within days
	LevelPage   Level = "page"   // wake somebody
)

var levels = []Level{LevelNone, LevelTicket, LevelPage}

// AtLeast says whether l is as urgent as other, or more.
func (l Level) AtLeast(other Level) bool {
	return slices.Index(levels, l) >= slices.Index(levels, other)
}

// Rule fires when the burn rate is at its threshold or above in both windows:
// the long one shows that it matters, the short one that it still goes on.
type Rule struct {
	Level Level
	Burn  float64
	Long  Window
	Short Window
}

// Rules are the SRE workbook's for what a router can see; its slower ones need
// days, which no process of the system lives for sure, and stand in the
// example rules for Prometheus.
func Rules() []Rule {
	return []Rule{
		{Level: LevelPage, Burn: 14.4, Long: Window1h, Short: Window5m},
		{Level: LevelPage, Burn: 6, Long: Window6h, Short: Window30m},
		{Level: LevelTicket, Burn: 3, Long: Window6h, Short: Window30m},
	}
}

// Row is the state of one class and tier.
type Row struct {
	Class     string   `json:"class"`
	Tier      string   `json:"tier"`
	Objective float64  `json:"objective"`
	Windows   []Sample `json:"windows"` // shortest first, one for each Window
	Alert     Level    `json:"alert"`
}

// Sample is what one window holds.
type Sample struct {
	Window string `json:"window"`
	Counts
	// Burn is how many times faster than the objective allows the budget
	// is used up: 1 uses all of it, 0 none. It is 0 without requests.
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

// alertLevel returns the most urgent level of the rules that fire.
func (r Row) alertLevel() Level {
	worst := LevelNone
	for _, rule := range Rules() {
		if rule.fires(r) && rule.Level.AtLeast(worst) {
			worst = rule.Level
		}
	}
	return worst
}

// roundingSlack keeps a burn that is exactly at a threshold from missing it by
// the rounding of 1 - objective.
const roundingSlack = 1e-9

func (u Rule) fires(r Row) bool {
	long, short := r.Windows[u.Long], r.Windows[u.Short]
	least := u.Burn - roundingSlack
	return long.Total() >= MinRequests && long.Burn >= least && short.Burn >= least
}
