package follow

import (
	"math"

	"github.com/prometheus/client_golang/prometheus"
)

func (f *Follower) registerMetrics(metrics prometheus.Registerer) {
	f.confirmationsRejected = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "coveferry_confirmations_rejected_total",
		Help: "Confirmations of the configuration and the list as of a time that had not come yet.",
	})
	if metrics == nil {
		return
	}
	metrics.MustRegister(f.confirmationsRejected, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "coveferry_list_kept_endpoints",
		Help: "Endpoints that are used though the list lacks them, since it may have lost their entries in an outage.",
	}, func() float64 { return float64(f.Directory().KeptCount()) }), prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "coveferry_configuration_age_seconds",
		Help: "Time since the configuration and the list were last confirmed to be the newest; infinite before the first time.",
	}, f.ageSeconds))
}

func (f *Follower) ageSeconds() float64 {
	age, known := f.Age().Get()
	if !known {
		return math.Inf(1)
	}
	return age.Seconds()
}
