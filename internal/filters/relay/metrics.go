package relay

import (
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"coveferry/internal/eventstream"
)

// Metrics counts what the filter decides on streams and on the ends of answers. nil counts nothing.
type Metrics struct {
	duplicates prometheus.Counter
	faults     *prometheus.CounterVec
	ends       *prometheus.CounterVec
}

// Values of the result label of ends.
const (
	resultConfirmed   = "confirmed"
	resultUnconfirmed = "unconfirmed"
)

// NewMetrics returns metrics that are registered with reg unless that is nil.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		duplicates: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "coveferry_stream_duplicate_events_total",
			Help: "Events of streams that endpoints sent again and that callers had.",
		}),
		faults: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "coveferry_stream_order_faults_total",
			Help: "Attempts that were broken off at an event that isn't the next: after a gap, or without a comparable ID where a stream is resumed.",
		}, []string{"fault"}),
		ends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "coveferry_connection_ends_total",
			Help: "Answers that ended with their connections, by whether the endpoint's process answered afterwards.",
		}, []string{"result"}),
	}
	if reg != nil {
		reg.MustRegister(m.duplicates, m.faults, m.ends)
	}
	return m
}

func (m *Metrics) countDuplicates(events int) {
	if m != nil {
		m.duplicates.Add(float64(events))
	}
}

func (m *Metrics) countFault(err error) {
	var order *eventstream.OrderError
	if m != nil && errors.As(err, &order) {
		m.faults.WithLabelValues(string(order.Fault)).Inc()
	}
}

func (m *Metrics) countEnd(confirmed bool) {
	if m == nil {
		return
	}
	result := resultUnconfirmed
	if confirmed {
		result = resultConfirmed
	}
	m.ends.WithLabelValues(result).Inc()
}
