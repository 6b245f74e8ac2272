package limits

import "github.com/prometheus/client_golang/prometheus"

// Results of requests to owners.
const (
	resultAnswered = "answered"
	resultFailed   = "failed"
)

type metrics struct {
	refused     *prometheus.CounterVec
	requests    *prometheus.CounterVec
	answered    prometheus.Counter
	unreachable prometheus.Gauge
}

func newMetrics(reg prometheus.Registerer) *metrics {
	m := &metrics{
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "coveferry_limit_refused_total",
			Help: "Requests refused because of a limit of their team, by what it counts.",
		}, []string{"kind"}),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "coveferry_limit_asks_total",
			Help: "Messages sent to homes of limits, by result: answered or failed.",
		}, []string{"result"}),
		answered: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "coveferry_limit_home_asks_total",
			Help: "Messages answered as the home of limits, this router's own included.",
		}),
		unreachable: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "coveferry_limit_away_routers",
			Help: "Routers that fell silent while they used limits of this home.",
		}),
	}
	if reg != nil {
		reg.MustRegister(m.refused, m.requests, m.answered, m.unreachable)
	}
	return m
}
