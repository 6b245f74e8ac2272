package daemon

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"

	"coveferry/internal/balance"
)

// refusalLogInterval and refusalLogBurst bound the log lines about endpoints whose refusals contradict
// their load: two for each of a few endpoints, and then two a second.
const (
	refusalLogInterval = 500 * time.Millisecond
	refusalLogBurst    = 20
)

func newRefusalLogLimit() *rate.Limiter {
	return rate.NewLimiter(rate.Every(refusalLogInterval), refusalLogBurst)
}

// logRefusals logs when an endpoint begins and ends to be distrusted.
func (d *directRouter) logRefusals(e balance.RefusalEvent) {
	if !d.refusalLog.Allow() {
		return
	}
	line := d.log.Info().Str("endpoint", e.Endpoint)
	if e.Distrusted {
		line.Msg("endpoint is distrusted: it refuses requests though its stated load leaves room")
		return
	}
	line.Msg("endpoint is trusted again: it serves requests, or refused none lately")
}

// registerRefusals registers metrics of endpoints whose refusals contradict their load.
func (d *directRouter) registerRefusals() {
	d.reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "coveferry_distrusted_endpoints",
		Help: "Endpoints that get probes or the share that they serve, since their refusals contradict their stated load.",
	}, func() float64 { return float64(d.pool.Refusals().Endpoints) }))
	d.reg.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "coveferry_contradicting_refusals_total",
		Help: "Refusals for lack of room whose stated load leaves room.",
	}, func() float64 { return float64(d.pool.Refusals().Contradictions) }))
}
