package report_test

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/onsi/gomega"

	"coveferry/internal/bench/check"
	"coveferry/internal/bench/measure"
	"coveferry/internal/bench/report"
)

func samplePolicies() []report.Policy {
	queries := func(goodput float64) []measure.Group {
		return []measure.Group{
			{Class: "queries", Measures: measure.Measures{Requests: 4, Goodput: goodput}},
			{Class: "queries", Tier: "gold", Measures: measure.Measures{Requests: 4, Goodput: goodput}},
		}
	}
	return []report.Policy{
		{Policy: "product", All: measure.Measures{Goodput: 6, Attainment: 0.9, Wasted: 0.1}, Groups: queries(6)},
		{Policy: "baseline", All: measure.Measures{Goodput: 4, Attainment: 0.3}, Groups: queries(0)},
	}
}

func TestRatiosAreByTheBaseline(t *testing.T) {
	g := gomega.NewWithT(t)
	ratios := report.Compare(samplePolicies(), "baseline")
	g.Expect(ratios).To(gomega.HaveLen(1))
	r := ratios[0]
	g.Expect(r.Policy).To(gomega.Equal("product"))
	g.Expect(*r.All.Goodput).To(gomega.BeNumerically("~", 1.5, 1e-9))
	g.Expect(*r.All.Attainment).To(gomega.BeNumerically("~", 3, 1e-9))
	g.Expect(r.All.Wasted).To(gomega.BeNil())
	g.Expect(r.Groups).To(gomega.HaveLen(2))
	g.Expect(r.Groups[0].Class).To(gomega.Equal("queries"))
	g.Expect(r.Groups[0].Goodput).To(gomega.BeNil())
	g.Expect(report.Compare(samplePolicies()[:1], "baseline")).To(gomega.BeEmpty())
}

func TestRecoveryNeedsBothPhases(t *testing.T) {
	g := gomega.NewWithT(t)
	before := measure.PhaseMeasures{Name: "before", InTime: 0.8, Goodput: 1}
	after := measure.PhaseMeasures{Name: "after", InTime: 0.6, Goodput: 2}
	g.Expect(*report.Recovery([]measure.PhaseMeasures{before, after})).To(gomega.BeNumerically("~", 0.75, 1e-9))
	g.Expect(report.Recovery([]measure.PhaseMeasures{before})).To(gomega.BeNil())
}

// Readers of the JSON depend on the documented keys.
func TestJSONHasTheDocumentedKeys(t *testing.T) {
	g := gomega.NewWithT(t)
	var out bytes.Buffer
	result := report.Result{Policies: samplePolicies(), Ratios: report.Compare(samplePolicies(), "baseline")}
	g.Expect(result.WriteJSON(&out)).To(gomega.Succeed())
	var got map[string]any
	g.Expect(json.Unmarshal(out.Bytes(), &got)).To(gomega.Succeed())
	for _, key := range []string{
		"format", "scenario", "doc", "seed", "mix", "duration_s", "scale", "arrivals",
		"partial", "fleet", "policies", "ratios",
	} {
		g.Expect(got).To(gomega.HaveKey(key))
	}
	policy := got["policies"].([]any)[0].(map[string]any)
	g.Expect(policy["all"]).To(gomega.HaveKeyWithValue("goodput_per_s", 6.0))
	g.Expect(policy["groups"].([]any)[1]).To(gomega.HaveKeyWithValue("tier", "gold"))
	g.Expect(policy["checks"]).To(gomega.HaveKeyWithValue("second_runs", 0.0))
}

func TestTableShowsWarningsAndFailedChecks(t *testing.T) {
	g := gomega.NewWithT(t)
	list := samplePolicies()
	list[0].LimitHit = 3
	list[1].Checks = check.Counts{Mixed: 7}
	var out bytes.Buffer
	g.Expect(report.Result{Scenario: "steady", Partial: true, Policies: list}.WriteTable(&out)).To(gomega.Succeed())
	g.Expect(out.String()).To(gomega.And(
		gomega.ContainSubstring("steady (partial: interrupted)"),
		gomega.ContainSubstring("hit 3 times"),
		gomega.ContainSubstring("mixed 7"),
		gomega.ContainSubstring("90.0%"),
	))
}
