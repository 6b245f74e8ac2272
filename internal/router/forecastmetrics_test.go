package router

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"coveferry/internal/request"
)

// Requests that were sent twice, or whose wait is a mean of endpoints, would make good forecasts
// look bad.
func TestForecastsAreComparedWithTheFirstEventsOfSingleAttempts(t *testing.T) {
	g := NewWithT(t)
	reg := prometheus.NewRegistry()
	m := newForecastMetrics(reg)
	arrived := time.Unix(1000, 0)
	record := func(tier int, forecast bool, tried ...string) {
		r := &request.Request{Forecast: forecast, Tried: tried, Tier: tier, Arrived: arrived, ExpectedWait: 200 * time.Millisecond}
		r.Delivered.FirstToken = arrived.Add(300 * time.Millisecond)
		m.record(r)
	}
	record(2, true, "a")
	record(2, true, "a", "b")
	record(2, false, "a")
	m.record(&request.Request{Forecast: true, Tried: []string{"a"}, ExpectedWait: time.Second}) // no event
	for tier := range 100 {
		record(100+tier, true, "a")
	}
	families, err := reg.Gather()
	g.Expect(err).NotTo(HaveOccurred())
	sums := make(map[string]float64)
	for _, f := range families {
		g.Expect(f.GetMetric()).To(HaveLen(2), "the tiers of %s aren't bounded", f.GetName())
		h := f.GetMetric()[0].GetHistogram()
		g.Expect(h.GetSampleCount()).To(Equal(uint64(1)), f.GetName())
		sums[f.GetName()] = h.GetSampleSum()
	}
	g.Expect(sums).To(HaveLen(3))
	g.Expect(sums["coveferry_router_forecast_first_event_seconds"]).To(BeNumerically("~", 0.2, 1e-9))
	g.Expect(sums["coveferry_router_forecast_first_event_actual_seconds"]).To(BeNumerically("~", 0.3, 1e-9))
	g.Expect(sums["coveferry_router_forecast_first_event_ratio"]).To(BeNumerically("~", 1.5, 1e-9))
}
