package runend

import (
	"cmp"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// evidenceNone is the label of a run that wasn't known to have ended when its request gave up.
const evidenceNone = "none"

// metrics tells how the ends of runs are known, and how long that takes.
type metrics struct{ took *prometheus.HistogramVec }

// newMetrics returns metrics that are registered with reg unless that is nil.
func newMetrics(reg prometheus.Registerer) *metrics {
	m := &metrics{took: prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name:    "coveferry_run_end_seconds",
		Help:    "Time until a broken stream was known to run at its endpoint no longer, by the evidence.",
		Buckets: []float64{.005, .02, .1, .4, 1, 4},
	}, []string{"evidence"})}
	if reg != nil {
		reg.MustRegister(m.took)
	}
	return m
}

func (m *metrics) record(evidence Evidence, took time.Duration) {
	m.took.WithLabelValues(cmp.Or(string(evidence), evidenceNone)).Observe(took.Seconds())
}
