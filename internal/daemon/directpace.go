package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"coveferry/internal/balance"
	"coveferry/internal/bundle"
	"coveferry/internal/membership"
	"coveferry/internal/pace"
)

const (
	// paceCheckInterval is the time between two rounds of checks for the pace of endpoints, and
	// maxPaceChecks the most in a round: at 880 routers in 27 failure domains a router owns 112 of 3,700
	// endpoints, each of which is due every 5 s at most.
	paceCheckInterval = 500 * time.Millisecond
	maxPaceChecks     = 16
	// paceCheckTimeout bounds a check.
	paceCheckTimeout = time.Second
	// paceLogInterval is the time between two lines on changed paces: when the load of all VMs changes,
	// all endpoints change at once.
	paceLogInterval = time.Second
	// maxPaceGroups bounds the groups of endpoints with metrics of their paces.
	maxPaceGroups = 16
)

// watchPaces asks endpoints without a recent reading for their pace. Of each failure domain one router
// asks, which sends the answer to the others.
func (d *directRouter) watchPaces(ctx context.Context) {
	membership.RunChecks(ctx, paceCheckInterval, d.duePaceChecks, d.updater.checkPace)
}

// duePaceChecks returns the endpoints that this router is to ask now.
func (d *directRouter) duePaceChecks(now time.Time) []string {
	if !d.pool.PaceStated(now) {
		return nil
	}
	var routers []string
	if d.peers != nil {
		fleet := d.peers.Fleet(now)
		if !fleet.Known {
			return nil
		}
		routers = fleet.OwnDomainRouters
	}
	dir := d.follower.Directory()
	var endpoints []*bundle.Endpoint
	for _, e := range dir.Entries() {
		if dir.AcceptsWork(e.Endpoint.Name) {
			endpoints = append(endpoints, &e.Endpoint)
		}
	}
	return d.pool.PaceChecks(now, endpoints, maxPaceChecks, func(endpoint string) bool {
		return pace.Owns(endpoint, d.cfg.VM, routers)
	})
}

// checkPace checks an endpoint's health for the load report in the answer. Whether the check passes is
// not used: requests and the checks of membership show whether an endpoint works. What the endpoint asks
// for in its answer, such as backoff, applies.
func (l *directoryUpdater) checkPace(ctx context.Context, name string) {
	dir := l.d.follower.Directory()
	entry, listed := dir.Entry(name)
	if !listed || dir.IsEvacuated(entry.Endpoint.FailureDomain) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, paceCheckTimeout)
	defer cancel()
	sent := time.Now()
	health, err := l.d.cfg.Health(ctx, l.d.client, entry.Endpoint.Address, l.healthPath(entry.Endpoint.Services), name)
	if _, listed := l.d.follower.Directory().Entry(name); !listed {
		return // applying anything would create the state anew
	}
	l.d.pool.ApplySignals(time.Now(), sent, name, health.Signals)
	if err == nil && health.Load != nil {
		l.d.pool.ReportFromCheck(time.Now(), sent, name, *health.Load)
	}
}

// paceLog logs changes of endpoints' paces, at most one line per interval.
type paceLog struct {
	mu      sync.Mutex
	next    time.Time
	omitted int
}

func (l *paceLog) take(now time.Time) (omitted int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Before(l.next) {
		l.omitted++
		return 0, false
	}
	omitted, l.omitted, l.next = l.omitted, 0, now.Add(paceLogInterval)
	return omitted, true
}

// logPace logs that an endpoint's pace is in another class.
func (d *directRouter) logPace(e balance.PaceEvent) {
	if omitted, ok := d.paceLog.take(time.Now()); ok {
		d.log.Info().Str("endpoint", e.Endpoint).Float64("pace", e.Factor).Int("omitted", omitted).
			Msg("pace of an endpoint changed: work there takes this multiple of the usual time")
	}
}

// paceCollector exports the paces of endpoints.
type paceCollector struct {
	pool        *balance.Pool
	known, slow *prometheus.Desc
	factor      *prometheus.Desc
}

func newPaceCollector(pool *balance.Pool) *paceCollector {
	group := []string{"group"}
	return &paceCollector{
		pool:   pool,
		known:  prometheus.NewDesc("coveferry_paced_endpoints", "Endpoints whose pace is known, by service or model.", group, nil),
		slow:   prometheus.NewDesc("coveferry_slow_endpoints", "Endpoints at which work takes over 1.4 times as long as at the fast ones of their service or model.", group, nil),
		factor: prometheus.NewDesc("coveferry_endpoint_pace", "How long work takes at endpoints relative to the usual time, apart from their load.", append(group, "quantile"), nil),
	}
}

// Describe implements prometheus.Collector.
func (c *paceCollector) Describe(descs chan<- *prometheus.Desc) {
	descs <- c.known
	descs <- c.slow
	descs <- c.factor
}

// Collect implements prometheus.Collector.
func (c *paceCollector) Collect(metrics chan<- prometheus.Metric) {
	groups := c.pool.Paces(time.Now())
	for _, g := range groups[:min(len(groups), maxPaceGroups)] {
		metrics <- prometheus.MustNewConstMetric(c.known, prometheus.GaugeValue, float64(g.Known), g.Group)
		metrics <- prometheus.MustNewConstMetric(c.slow, prometheus.GaugeValue, float64(g.Slow), g.Group)
		metrics <- prometheus.MustNewConstMetric(c.factor, prometheus.GaugeValue, g.Fastest, g.Group, "0")
		metrics <- prometheus.MustNewConstMetric(c.factor, prometheus.GaugeValue, g.Median, g.Group, "0.5")
		metrics <- prometheus.MustNewConstMetric(c.factor, prometheus.GaugeValue, g.Slowest, g.Group, "1")
	}
}
