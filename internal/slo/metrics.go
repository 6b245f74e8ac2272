package slo

import "github.com/prometheus/client_golang/prometheus"

// Names of the metrics.
const (
	MetricEvents = "coveferry_slo_events_total"
	MetricBurn   = "coveferry_slo_burn_rate"
)

// Metrics exports the results and the burn rates.
type Metrics struct {
	events *prometheus.CounterVec
	burn   *prometheus.Desc
	rows   func() []Row
}

// NewMetrics registers the metrics. It calls rows for the burn rates on each
// scrape. It panics if reg already has the metrics.
func NewMetrics(reg prometheus.Registerer, rows func() []Row) *Metrics {
	m := &Metrics{
		events: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: MetricEvents,
			Help: "Requests by class, tier and how they count towards the objective: good, late, failed, refused or canceled.",
		}, []string{"class", "tier", "result"}),
		burn: prometheus.NewDesc(MetricBurn,
			"How many times faster than the objective allows this router's error budget is used up, by window.",
			[]string{"class", "tier", "window"}, nil),
		rows: rows,
	}
	reg.MustRegister(m.events, m)
	return m
}

// Count counts one result.
func (m *Metrics) Count(key Key, res Result) {
	m.events.WithLabelValues(key.Class, key.Tier, res.String()).Inc()
}

// Describe implements prometheus.Collector.
func (m *Metrics) Describe(ch chan<- *prometheus.Desc) { ch <- m.burn }

// Collect implements prometheus.Collector.
func (m *Metrics) Collect(ch chan<- prometheus.Metric) {
	for _, row := range m.rows() {
		for _, s := range row.Windows {
			ch <- prometheus.MustNewConstMetric(m.burn, prometheus.GaugeValue, s.Burn, row.Class, row.Tier, s.Window)
		}
	}
}
