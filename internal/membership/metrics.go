package membership

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// metrics holds a tracker's counters.
type metrics struct {
	changes *prometheus.CounterVec
	reads   *prometheus.CounterVec
	probes  *prometheus.CounterVec
	notices prometheus.Counter
}

// outcome is a value of the label "result" of the read and probe counters.
type outcome string

const (
	outcomeOK     outcome = "ok"
	outcomeFailed outcome = "failed"
)

func outcomeOf(err error) string {
	if err != nil {
		return string(outcomeFailed)
	}
	return string(outcomeOK)
}

func newMetrics(reg prometheus.Registerer, t *Tracker) *metrics {
	m := &metrics{
		changes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "coveferry_membership_changes_total",
			Help: "Changes of endpoints' states, by the new state and its reason.",
		}, []string{"state", "reason"}),
		reads: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "coveferry_membership_list_reads_total",
			Help: "Readings of the platform's list of VMs, by the source (platform or router) and the result.",
		}, []string{"source", "result"}),
		probes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "coveferry_membership_probes_total",
			Help: "Probes of endpoints that aren't live, by result.",
		}, []string{"result"}),
		notices: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "coveferry_membership_notices_total",
			Help: "Notices that agents sent of their leaving.",
		}),
	}
	if reg != nil {
		reg.MustRegister(m.changes, m.reads, m.probes, m.notices, collector{t})
	}
	return m
}

var (
	endpointsDesc = prometheus.NewDesc("coveferry_membership_endpoints",
		"Endpoints of the bundle, by state.", []string{"state"}, nil)
	listAgeDesc = prometheus.NewDesc("coveferry_membership_list_age_seconds",
		"Time since the platform's list of VMs last showed anything newer; absent before the first.", nil, nil)
)

// collector exports the number of endpoints by state and the age of the list at each
// scrape.
type collector struct{ tracker *Tracker }

// Describe implements prometheus.Collector.
func (collector) Describe(ch chan<- *prometheus.Desc) {
	ch <- endpointsDesc
	ch <- listAgeDesc
}

// Collect implements prometheus.Collector.
func (c collector) Collect(ch chan<- prometheus.Metric) {
	snapshot := c.tracker.Snapshot(time.Now())
	for _, s := range States() {
		ch <- prometheus.MustNewConstMetric(endpointsDesc, prometheus.GaugeValue, float64(snapshot.countState(s)), string(s))
	}
	if snapshot.ListAge != nil {
		ch <- prometheus.MustNewConstMetric(listAgeDesc, prometheus.GaugeValue, snapshot.ListAge.Std().Seconds())
	}
}
