package slo_test

import (
	"fmt"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"go.yaml.in/yaml/v3"

	"coveferry/internal/slo"
)

const rulesFile = "../../examples/prometheus/slo.rules.yml"

type promRule struct {
	Record string            `yaml:"record"`
	Alert  string            `yaml:"alert"`
	Expr   string            `yaml:"expr"`
	Labels map[string]string `yaml:"labels"`
}

func readRules(t *testing.T) []promRule {
	text, err := os.ReadFile(rulesFile)
	if err != nil {
		t.Fatal(err)
	}
	var file struct {
		Groups []struct {
			Rules []promRule `yaml:"rules"`
		} `yaml:"groups"`
	}
	if err := yaml.Unmarshal(text, &file); err != nil {
		t.Fatal(err)
	}
	var rules []promRule
	for _, group := range file.Groups {
		rules = append(rules, group.Rules...)
	}
	return rules
}

var (
	seriesName  = regexp.MustCompile(`[a-z_:]*coveferry[a-z_:0-9]*`)
	resultLabel = regexp.MustCompile(`result(?:=~|!=)"([a-z|]+)"`)
)

// The example rules must use only metrics that a router exports, series that the
// rules record, and existing results.
func TestExampleRulesUseExistingMetrics(t *testing.T) {
	g := gomega.NewWithT(t)
	reg := prometheus.NewRegistry()
	m := slo.NewMetrics(reg, func() []slo.Row { return nil })
	known := make(map[string]bool)
	var results []string
	for res := slo.Good; res <= slo.Canceled; res++ {
		results = append(results, res.String())
		m.Count(slo.Key{}, res)
	}
	families, err := reg.Gather()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for _, f := range families {
		known[f.GetName()] = true
	}
	rules := readRules(t)
	for _, rule := range rules {
		known[rule.Record] = true
	}
	for _, rule := range rules {
		names := seriesName.FindAllString(rule.Expr, -1)
		g.Expect(names).NotTo(gomega.BeEmpty(), rule.Expr)
		for _, name := range names {
			g.Expect(known).To(gomega.HaveKey(name))
		}
		for _, match := range resultLabel.FindAllStringSubmatch(rule.Expr, -1) {
			for _, res := range strings.Split(match[1], "|") {
				g.Expect(results).To(gomega.ContainElement(res))
			}
		}
	}
}

// Each rule of the report must be in the example with the same threshold, windows,
// minimum number of requests and level.
func TestExampleRulesMatchReportRules(t *testing.T) {
	rules := readRules(t)
	for _, rule := range slo.Rules() {
		parts := []string{
			fmt.Sprintf("ratio_rate%s >= %g * 0.05", rule.Long, rule.Burn),
			fmt.Sprintf("ratio_rate%s >= %g * 0.05", rule.Short, rule.Burn),
			fmt.Sprintf("[%s])) >= %d", rule.Long, slo.MinRequests),
		}
		found := slices.ContainsFunc(rules, func(r promRule) bool {
			hasAll := r.Labels["severity"] == string(rule.Level)
			for _, part := range parts {
				hasAll = hasAll && strings.Contains(r.Expr, part)
			}
			return hasAll
		})
		gomega.NewWithT(t).Expect(found).To(gomega.BeTrue(), "%+v", rule)
	}
}
