package placement

import "github.com/prometheus/client_golang/prometheus"

// Outcomes of orders.
const (
	outcomeDone    = "done"
	outcomeRefused = "refused"
	outcomeFenced  = "fenced"
	outcomeUnknown = "unknown"
)

type metrics struct {
	orders  *prometheus.CounterVec
	missing prometheus.Gauge
	surplus prometheus.Gauge
	fenced  prometheus.Gauge
}

func newMetrics(reg prometheus.Registerer) *metrics {
	m := &metrics{
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "coveferry_placement_orders_total",
			Help: "Orders given to the engine, by kind and outcome.",
		}, []string{"kind", "outcome"}),
		missing: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "coveferry_placement_missing",
			Help: "Models and adapters that the bundle wants and the engine lacks.",
		}),
		surplus: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "coveferry_placement_surplus",
			Help: "Models that the engine holds and the bundle doesn't want there.",
		}),
		fenced: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "coveferry_placement_fenced",
			Help: "1 if the engine refused an order for its fencing number, so that this agent gives no more.",
		}),
	}
	if reg != nil {
		reg.MustRegister(m.orders, m.missing, m.surplus, m.fenced)
	}
	return m
}
