package identity

import "github.com/prometheus/client_golang/prometheus"

// MetricNotAfter is the metric for alerts on certificates that expire soon.
const MetricNotAfter = "coveferry_identity_not_after_timestamp_seconds"

// RegisterMetrics registers the expiry of the process's certificate, as a Unix
// time in seconds. It panics if reg already has the metric.
func (id *Identity) RegisterMetrics(reg prometheus.Registerer) {
	reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: MetricNotAfter,
		Help: "When this process's certificate ends, as a Unix time in seconds.",
	}, func() float64 { return float64(id.NotAfter().Unix()) }))
}
