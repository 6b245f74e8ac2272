package daemon

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"coveferry/internal/balance"
)

// logBackoff logs when an endpoint asks this router to back off, and when it accepts requests
// again. Further answers during a backoff aren't logged.
func (d *directRouter) logBackoff(e balance.BackoffEvent) {
	line := d.log.Info().Str("endpoint", e.Endpoint)
	if e.Asked > 0 {
		line.Dur("for", e.Asked).Msg("endpoint asks this router to back off")
		return
	}
	line.Dur("since", e.Since).Msg("endpoint accepts requests again after a backoff")
}

// registerBackoffs registers metrics of endpoints that ask this router to back off.
func (d *directRouter) registerBackoffs() {
	d.reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "coveferry_backing_off_endpoints",
		Help: "Endpoints that get nothing from this router now since they asked it to back off.",
	}, func() float64 { return float64(d.pool.Backoffs(time.Now()).Endpoints) }))
	d.reg.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "coveferry_endpoint_backoffs_total",
		Help: "Answers of endpoints that asked this router to back off.",
	}, func() float64 { return float64(d.pool.Backoffs(time.Now()).Asked) }))
}
