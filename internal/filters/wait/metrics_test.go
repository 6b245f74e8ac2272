package wait_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"coveferry/internal/filters/wait"
)

// gather returns the values of the metrics; of a histogram, how often it was observed.
func gather(g *WithT, reg *prometheus.Registry) map[string]float64 {
	families, err := reg.Gather()
	g.Expect(err).NotTo(HaveOccurred())
	values := make(map[string]float64)
	for _, family := range families {
		for _, m := range family.GetMetric() {
			values[family.GetName()] += m.GetGauge().GetValue() + m.GetCounter().GetValue() + float64(m.GetHistogram().GetSampleCount())
		}
	}
	return values
}

// Guards against an operator who can't see that requests wait or why they were refused.
func TestMetricsShowWhatWaitsAndWasRefused(t *testing.T) {
	reg := prometheus.NewRegistry()
	inSingleRouter(t, func(c *wait.Config) { c.Metrics = reg }, func(g *WithT, s *singleRouter) {
		s.startAll(places+2, "/b/")
		s.start(context.Background(), s.request("/a/", 500*time.Millisecond))
		values := gather(g, reg)
		g.Expect(values).To(HaveKeyWithValue("coveferry_router_waiting_requests", 3.0))
		g.Expect(values).To(HaveKeyWithValue("coveferry_router_inflight_limit", float64(places)))
		g.Expect(<-s.ended).NotTo(Succeed())
		values = gather(g, reg)
		g.Expect(values).To(HaveKeyWithValue("coveferry_router_waiting_requests", 2.0))
		g.Expect(values).To(HaveKeyWithValue("coveferry_router_waiting_refused_total", 1.0))
		g.Expect(values).To(HaveKeyWithValue("coveferry_router_waited_seconds", 1.0))
	})
}
