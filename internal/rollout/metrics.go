package rollout

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Names of the metrics of a node.
const (
	MetricVersion   = "coveferry_bundle_version"
	MetricAccepted  = "coveferry_bundle_accepted_timestamp_seconds"
	MetricExpires   = "coveferry_bundle_expires_timestamp_seconds"
	MetricConfirmed = "coveferry_bundle_confirmed"
	MetricReader    = "coveferry_bundle_reader"
	MetricRefused   = "coveferry_bundle_refused_total"
	MetricReads     = "coveferry_bundle_service_reads_total"
)

type metrics struct {
	refused *prometheus.CounterVec
	reads   *prometheus.CounterVec
}

// newMetrics creates and registers a node's metrics; a nil registerer leaves
// them unregistered.
func newMetrics(reg prometheus.Registerer, n *Node) *metrics {
	m := &metrics{
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: MetricRefused, Help: "Bundle versions that weren't taken, by where they came from (service, file or peer) and why.",
		}, []string{"source", "reason"}),
		reads: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: MetricReads, Help: "Reads of the configuration service, by result (ok or failed).",
		}, []string{"result"}),
	}
	if reg == nil {
		return m
	}
	reg.MustRegister(m.refused, m.reads)
	gauge := func(name, help string, value func() float64) {
		reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
	}
	gauge(MetricVersion, "Version of the bundle in force; 0 for none.", func() float64 { return float64(n.store.Summary().Version) })
	gauge(MetricAccepted, "When the bundle in force was accepted, as a Unix time in seconds; 0 for none.", func() float64 {
		return unixOf(n.store.Active(), func(h *ActiveVersion) time.Time { return h.AcceptedAt })
	})
	gauge(MetricExpires, "Until when the bundle in force may be accepted as new, as a Unix time in seconds; 0 for none.", func() float64 {
		return unixOf(n.store.Active(), func(h *ActiveVersion) time.Time { return h.Snapshot.Bundle().Expires })
	})
	gauge(MetricConfirmed, "1 if enough other processes said that there is no higher version, else 0.", func() float64 { return boolToFloat(n.Readiness().Confirmed) })
	gauge(MetricReader, "1 if this process reads the configuration service now, else 0.", func() float64 { return boolToFloat(n.Reading()) })
	return m
}

func unixOf(h *ActiveVersion, of func(*ActiveVersion) time.Time) float64 {
	if h == nil {
		return 0
	}
	return float64(of(h).Unix())
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// recordRefusal counts a refusal. All peers share one label value, as the
// number of series must not grow with the fleet.
func (m *metrics) recordRefusal(source string, reason Reason) {
	kind := "peer"
	switch source {
	case sourceService:
		kind = "service"
	case sourceFile:
		kind = "file"
	}
	m.refused.WithLabelValues(kind, string(reason)).Inc()
}

func (m *metrics) recordRead(err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	m.reads.WithLabelValues(result).Inc()
}
