package wait

import (
	"github.com/prometheus/client_golang/prometheus"
)

// metrics holds the filter's Prometheus metrics.
type metrics struct {
	waited  prometheus.Histogram
	refused *prometheus.CounterVec
}

func newMetrics(reg prometheus.Registerer, f *Filter) *metrics {
	m := &metrics{
		waited: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "coveferry_router_waited_seconds",
			Help:    "Time that requests waited at this router for capacity, of those that had to wait.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 12),
		}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "coveferry_router_waiting_refused_total",
			Help: "Requests refused for lack of capacity at their service: late (not in time any more), full (the queue is full), share (by the shares of teams), stopping (the router stops).",
		}, []string{"reason"}),
	}
	if reg != nil {
		reg.MustRegister(m.waited, m.refused, &serviceCollector{f})
	}
	return m
}

var (
	waitingDesc = prometheus.NewDesc("coveferry_router_waiting_requests", "Requests that wait at this router for capacity, by service.", []string{"service"}, nil)
	limitDesc   = prometheus.NewDesc("coveferry_router_inflight_limit", "How many requests this router has in flight at a service before others wait.", []string{"service"}, nil)
)

// serviceCollector exports the state of each service.
type serviceCollector struct{ f *Filter }

// Describe implements prometheus.Collector.
func (*serviceCollector) Describe(ch chan<- *prometheus.Desc) {
	ch <- waitingDesc
	ch <- limitDesc
}

// Collect implements prometheus.Collector.
func (c *serviceCollector) Collect(ch chan<- prometheus.Metric) {
	c.f.mu.Lock()
	defer c.f.mu.Unlock()
	for name, s := range c.f.services {
		s.mu.Lock()
		queued, limit, slots := s.state.Queue.Len(), s.state.Limit.Value(), s.capacity.Slots
		s.mu.Unlock()
		if slots == 0 && queued == 0 {
			continue // its requests never wait
		}
		ch <- prometheus.MustNewConstMetric(waitingDesc, prometheus.GaugeValue, float64(queued), name)
		ch <- prometheus.MustNewConstMetric(limitDesc, prometheus.GaugeValue, limit, name)
	}
}
