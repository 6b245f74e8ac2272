package router

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"coveferry/internal/request"
)

// maxTierLabel bounds the tier label of the forecast metrics; less urgent tiers share its value.
const maxTierLabel = 9

// forecastMetrics compares the forecast times to the first event with the actual ones, for requests
// of services whose endpoints are chosen by forecast.
type forecastMetrics struct {
	predicted *prometheus.HistogramVec
	actual    *prometheus.HistogramVec
	ratio     *prometheus.HistogramVec
}

func newForecastMetrics(reg prometheus.Registerer) forecastMetrics {
	histogram := func(name, help string, buckets []float64) *prometheus.HistogramVec {
		return prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: name, Help: help, Buckets: buckets}, []string{"tier"})
	}
	times := prometheus.ExponentialBuckets(0.01, 2, 12)
	m := forecastMetrics{
		predicted: histogram("coveferry_router_forecast_first_event_seconds",
			"Forecast time to the first event, of requests that were answered at the first attempt.", times),
		actual: histogram("coveferry_router_forecast_first_event_actual_seconds",
			"Actual time from arrival to the first event, of the same requests.", times),
		ratio: histogram("coveferry_router_forecast_first_event_ratio",
			"Actual time to the first event divided by the forecast one.", prometheus.ExponentialBuckets(0.125, 2, 8)),
	}
	if reg != nil {
		reg.MustRegister(m.predicted, m.actual, m.ratio)
	}
	return m
}

// record compares the forecast of a request with what happened. Requests that were sent more than
// once are left out: the time of the first attempts isn't part of the forecast.
func (m forecastMetrics) record(r *request.Request) {
	actual, ok := answeredAfter(r)
	if !ok {
		return
	}
	tier := strconv.Itoa(min(max(r.Tier, 0), maxTierLabel))
	m.predicted.WithLabelValues(tier).Observe(r.ExpectedWait.Seconds())
	m.actual.WithLabelValues(tier).Observe(actual.Seconds())
	if r.ExpectedWait > 0 {
		m.ratio.WithLabelValues(tier).Observe(actual.Seconds() / r.ExpectedWait.Seconds())
	}
}

// answeredAfter returns the time from arrival to the first event of a request whose only attempt was
// forecast, and false for others.
func answeredAfter(r *request.Request) (time.Duration, bool) {
	if !r.Forecast || len(r.Tried) != 1 || r.Delivered.FirstToken.IsZero() {
		return 0, false
	}
	return r.Delivered.FirstToken.Sub(r.Arrived), true
}
