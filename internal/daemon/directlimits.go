package daemon

import (
	"github.com/prometheus/client_golang/prometheus"

	"coveferry/internal/balance"
)

// logLimit logs when an endpoint states a rate limit, another one, or none any more.
func (d *directRouter) logLimit(e balance.LimitEvent) {
	line := d.log.Info().Str("endpoint", e.Endpoint).Bool("from_router", e.FromPeer)
	if !e.Limited {
		line.Msg("endpoint no longer has a rate limit")
		return
	}
	line.Float64("limit", e.PerSecond).Msg("endpoint limits the requests per second from all routers")
}

// registerLimits registers metrics of endpoints' rate limits. Summed over the routers, the
// routers' shares (the metric with "part" in its name) are the allowed rate and the requests the
// actual one; the limits are the same on each router.
func (d *directRouter) registerLimits() {
	gauge := func(name, help string, value func(balance.LimitTotals) float64) {
		d.reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, func() float64 {
			return value(d.pool.Limits())
		}))
	}
	gauge("coveferry_limited_endpoints", "Endpoints that limit how many requests a second they take from all routers.",
		func(s balance.LimitTotals) float64 { return float64(s.Endpoints) })
	gauge("coveferry_limited_endpoints_requests_per_second", "What these endpoints take together from all routers.",
		func(s balance.LimitTotals) float64 { return s.PerSecond })
	gauge("coveferry_limited_endpoints_part_requests_per_second", "This router's part of what these endpoints take.",
		func(s balance.LimitTotals) float64 { return s.Share })
	d.reg.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "coveferry_limited_endpoints_requests_total",
		Help: "Requests and health checks that this router sent to endpoints while they limited them.",
	}, func() float64 { return float64(d.pool.Limits().Sent) }))
}
