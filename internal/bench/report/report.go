// Package report defines the result of a bench run and its JSON format, which is
// the same for every scenario:
//
//	format       version of this format
//	scenario, doc, seed, mix, duration_s, scale, arrivals
//	partial      true if the run was interrupted; the figures then cover the
//	             requests that ended before, and later policies are missing
//	fleet        routers, engines, slots, step_ms (a decode step with all slots
//	             in use), capacity_tokens_per_s, offered_tokens_per_s,
//	             offered_load (work that arrived, including prefill, as a
//	             multiple of the engines' capacity)
//	policies[]   one for each policy, on the same arrivals:
//	  policy, elapsed_s, window_s (time during which load arrived), cpu_cores
//	  max_open, open_limit_hit (requests that the bench didn't send; must be 0)
//	  send_lag   delay between due time and sending of requests
//	  checks     correctness violations seen by callers; all must be 0
//	  unattributed_runs  engine runs that can't be attributed to a request;
//	             their tokens count as wasted in all, but in no group
//	  all        measures of all requests; see package measure for each key
//	  groups[]   the same for each class, each tier, each class in each tier
//	  phases[]   offered load, attainment and goodput of phases of the run
//	  recovery   fraction of requests answered in time after a disturbance
//	             divided by that before it, if the run has these phases
//	ratios[]     each policy divided by the baseline: goodput, goodput in tokens,
//	             attainment and wasted work, for all requests and for each group;
//	             null where the baseline's figure is 0
//
// Times are in seconds where a key ends in _s, in milliseconds where it ends
// in _ms; fractions are between 0 and 1.
package report

import (
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"

	"coveferry/internal/bench/check"
	"coveferry/internal/bench/measure"
)

// Format is the version of the JSON format of Result.
const Format = 1

// Result is the outcome of one scenario.
type Result struct {
	Format   int     `json:"format"`
	Scenario string  `json:"scenario"`
	Doc      string  `json:"doc"`
	Seed     uint64  `json:"seed"`
	Mix      string  `json:"mix"`
	Duration float64 `json:"duration_s"`
	Scale    float64 `json:"scale"`
	Arrivals int     `json:"arrivals"`
	Partial  bool    `json:"partial"`

	Fleet    Fleet    `json:"fleet"`
	Policies []Policy `json:"policies"`
	Ratios   []Ratio  `json:"ratios"`
}

// Fleet describes the fleet that the policies ran on.
type Fleet struct {
	Routers  int     `json:"routers"`
	Engines  int     `json:"engines"`
	Slots    int     `json:"slots"`
	Step     float64 `json:"step_ms"`
	Capacity float64 `json:"capacity_tokens_per_s"`
	Offered  float64 `json:"offered_tokens_per_s"`
	Load     float64 `json:"offered_load"`
}

// Policy holds the measurements of one policy.
type Policy struct {
	Policy       string          `json:"policy"`
	Elapsed      float64         `json:"elapsed_s"`
	Window       float64         `json:"window_s"`
	CPUCores     float64         `json:"cpu_cores"`
	MaxOpen      int             `json:"max_open"`
	LimitHit     int             `json:"open_limit_hit"`
	SendLag      measure.Latency `json:"send_lag"`
	Checks       check.Counts    `json:"checks"`
	Unattributed int             `json:"unattributed_runs"`

	All      measure.Measures        `json:"all"`
	Groups   []measure.Group         `json:"groups"`
	Phases   []measure.PhaseMeasures `json:"phases,omitempty"`
	Recovery *float64                `json:"recovery,omitempty"`
}

// Ratio compares a policy with the baseline.
type Ratio struct {
	Policy  string       `json:"policy"`
	Against string       `json:"against"`
	All     GroupRatio   `json:"all"`
	Groups  []GroupRatio `json:"groups"`
}

// GroupRatio holds a group's figures divided by the baseline's; nil where the
// baseline's is 0.
type GroupRatio struct {
	Class         string   `json:"class,omitempty"`
	Tier          string   `json:"tier,omitempty"`
	Goodput       *float64 `json:"goodput"`
	GoodputTokens *float64 `json:"goodput_tokens"`
	Attainment    *float64 `json:"attainment"`
	Wasted        *float64 `json:"wasted"`
}

// Names of the phases that Recovery compares.
const (
	phaseBefore = "before"
	phaseAfter  = "after"
)

// Recovery returns the fraction of requests answered in time after a disturbance
// divided by that before it. Fractions of the requests due in a phase are used
// instead of goodput, since they don't depend on random variation of the arrivals
// or on answers that end after the phase. It is nil if the run lacks these phases.
func Recovery(phases []measure.PhaseMeasures) *float64 {
	var before, after *measure.PhaseMeasures
	for i := range phases {
		switch phases[i].Name {
		case phaseBefore:
			before = &phases[i]
		case phaseAfter:
			after = &phases[i]
		}
	}
	if before == nil || after == nil {
		return nil
	}
	return quotient(after.InTime, before.InTime)
}

// Compare returns the ratios of all other policies to the baseline; none if the
// baseline wasn't measured.
func Compare(policies []Policy, baseline string) []Ratio {
	base := findPolicy(policies, baseline)
	ratios := []Ratio{}
	if base == nil {
		return ratios
	}
	for _, p := range policies {
		if p.Policy != baseline {
			ratios = append(ratios, p.ratioTo(base))
		}
	}
	return ratios
}

func findPolicy(policies []Policy, name string) *Policy {
	for i := range policies {
		if policies[i].Policy == name {
			return &policies[i]
		}
	}
	return nil
}

func (p Policy) ratioTo(base *Policy) Ratio {
	r := Ratio{Policy: p.Policy, Against: base.Policy, All: compare(p.All, base.All)}
	for _, g := range p.Groups {
		if other, ok := base.group(g.Class, g.Tier); ok {
			ratio := compare(g.Measures, other)
			ratio.Class, ratio.Tier = g.Class, g.Tier
			r.Groups = append(r.Groups, ratio)
		}
	}
	return r
}

// Group returns the measures of a class and tier, where empty matches any. It
// returns the zero value if there were no requests.
func (p Policy) Group(class, tier string) measure.Measures {
	m, _ := p.group(class, tier)
	return m
}

func (p Policy) group(class, tier string) (measure.Measures, bool) {
	for _, g := range p.Groups {
		if g.Class == class && g.Tier == tier {
			return g.Measures, true
		}
	}
	return measure.Measures{}, false
}

func compare(m, base measure.Measures) GroupRatio {
	return GroupRatio{
		Goodput:       quotient(m.Goodput, base.Goodput),
		GoodputTokens: quotient(m.GoodputTokens, base.GoodputTokens),
		Attainment:    quotient(m.Attainment, base.Attainment),
		Wasted:        quotient(m.Wasted, base.Wasted),
	}
}

func quotient(a, b float64) *float64 {
	if b == 0 {
		return nil
	}
	q := a / b
	return &q
}

// WriteJSON writes the result as indented JSON with a trailing newline.
func (r Result) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return errors.Wrap(enc.Encode(r), "write the result")
}
