package report

import (
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/jedib0t/go-pretty/v6/text"

	"coveferry/internal/bench/measure"
)

// WriteTable writes the result as a text table.
func (r Result) WriteTable(w io.Writer) error {
	t := table.NewWriter()
	t.SetStyle(table.StyleLight)
	t.AppendHeader(table.Row{
		"class", "tier", "policy", "requests", "attained", "in time/s", "tokens/s",
		"wasted", "refused", "first token p50", "p99",
	})
	t.SetColumnConfigs(rightAligned(4, 11))
	r.appendRows(t, "all", "all", func(p Policy) (measure.Measures, bool) { return p.All, true })
	for _, g := range r.tableGroups() {
		r.appendRows(t, orAll(g.Class), orAll(g.Tier), func(p Policy) (measure.Measures, bool) {
			return p.group(g.Class, g.Tier)
		})
	}
	_, err := fmt.Fprintf(w, "%s\n%s\n%s", r.heading(), t.Render(), r.footer())
	return errors.Wrap(err, "write the table")
}

func rightAligned(from, to int) []table.ColumnConfig {
	var configs []table.ColumnConfig
	for n := from; n <= to; n++ {
		configs = append(configs, table.ColumnConfig{Number: n, Align: text.AlignRight})
	}
	return configs
}

func (r Result) heading() string {
	partial := ""
	if r.Partial {
		partial = " (partial: interrupted)"
	}
	return fmt.Sprintf("%s%s: %s\nmix %s, seed %d, %d requests in %.3g s at %.0f tokens/s; %d engines can produce %.0f; load %.2fx",
		r.Scenario, partial, r.Doc, r.Mix, r.Seed, r.Arrivals, r.Duration, r.Fleet.Offered,
		r.Fleet.Engines, r.Fleet.Capacity, r.Fleet.Load)
}

// tableGroups returns the classes and tiers of the first policy, since all
// policies get the same requests. The table omits classes within tiers.
func (r Result) tableGroups() []measure.Group {
	if len(r.Policies) == 0 {
		return nil
	}
	var groups []measure.Group
	for _, g := range r.Policies[0].Groups {
		if g.Class == "" || g.Tier == "" {
			groups = append(groups, g)
		}
	}
	return groups
}

func (r Result) appendRows(t table.Writer, class, tier string, of func(Policy) (measure.Measures, bool)) {
	for _, p := range r.Policies {
		m, ok := of(p)
		if !ok {
			continue
		}
		t.AppendRow(table.Row{
			class, tier, p.Policy, m.Requests, percent(m.Attainment),
			fmt.Sprintf("%.1f", m.Goodput), fmt.Sprintf("%.0f", m.GoodputTokens),
			percent(m.Wasted), percent(m.RefusedShare),
			fmt.Sprintf("%.0f ms", m.FirstToken.P50), fmt.Sprintf("%.0f ms", m.FirstToken.P99),
		})
	}
	t.AppendSeparator()
}

// footer returns the failed checks and warnings about unreliable results.
func (r Result) footer() string {
	s := ""
	for _, p := range r.Policies {
		c := p.Checks
		s += fmt.Sprintf("%s: lost %d, doubled %d, mixed %d, truncated as whole %d, false \"not run\" %d, second runs %d, unknown runs %d; %.1f cores, sent late by %.0f ms at p99\n",
			p.Policy, c.Lost, c.Doubled, c.Mixed, c.TruncatedAsWhole, c.FalseNotRun, c.SecondRuns, c.UnknownRuns, p.CPUCores, p.SendLag.P99)
		if p.Unattributed > 0 {
			s += fmt.Sprintf("%s: %d runs of requests whose callers left before they were told an ID\n", p.Policy, p.Unattributed)
		}
		if p.LimitHit > 0 {
			s += fmt.Sprintf("%s: the bench's own limit of open requests was hit %d times; don't trust the figures\n", p.Policy, p.LimitHit)
		}
		if p.Recovery != nil {
			s += fmt.Sprintf("%s: share in time after the disturbance by that before: %.2f\n", p.Policy, *p.Recovery)
		}
	}
	return s
}

func percent(share float64) string { return fmt.Sprintf("%.1f%%", 100*share) }

func orAll(s string) string {
	if s == "" {
		return "all"
	}
	return s
}
