package daemon

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"coveferry/internal/balance"
	"coveferry/internal/membership"
	"coveferry/internal/runend"
)

// reachCheckInterval is the time between two checks whether an endpoint that is presumed down can be
// connected to.
const reachCheckInterval = 500 * time.Millisecond

// watchUnresponsive triggers health checks of endpoints that send nothing although they have open
// requests. The requests keep waiting, except streams that have a copy at another endpoint: they resume
// there once the first endpoint is presumed down and no connection to it can be established. A process that
// is only paused works on once it is continued.
func (d *directRouter) watchUnresponsive(ctx context.Context) {
	nextCheck := make(map[string]time.Time)
	due := func(now time.Time) []string {
		for _, endpoint := range d.pool.CheckUnresponsive(now, balance.UnresponsiveTimeout) {
			d.members.HandleEvent(membership.Unresponsive{Endpoint: endpoint})
		}
		return d.dueReachChecks(now, nextCheck)
	}
	membership.RunChecks(ctx, balance.UnresponsiveCheckInterval, due, d.resumeIfUnreachable)
}

// dueReachChecks returns the endpoints presumed down with streams that could resume elsewhere, except those
// whose next check isn't due. It updates nextCheck.
func (d *directRouter) dueReachChecks(now time.Time, nextCheck map[string]time.Time) []string {
	var endpoints []string
	for endpoint, at := range nextCheck {
		if !now.Before(at) {
			delete(nextCheck, endpoint)
		}
	}
	for _, endpoint := range d.pool.PresumedDown() {
		if _, checked := nextCheck[endpoint]; checked || !d.router.HasCopiedRuns(endpoint) {
			continue
		}
		nextCheck[endpoint] = now.Add(reachCheckInterval)
		endpoints = append(endpoints, endpoint)
	}
	return endpoints
}

// resumeIfUnreachable has the streams of an endpoint resume from their copies if no connection to it can
// be established.
func (d *directRouter) resumeIfUnreachable(ctx context.Context, endpoint string) {
	entry, listed := d.follower.Directory().Entry(endpoint)
	if !listed || runend.Reach(ctx, entry.Endpoint.Address) == "" {
		return
	}
	d.router.ResumeFromCopies(endpoint)
}

// logDomainEvent logs when a failure domain becomes unresponsive and when it responds again.
func (d *directRouter) logDomainEvent(e balance.DomainEvent) {
	line := d.log.Warn().Str("failure_domain", e.FailureDomain).Str("of", e.Group)
	if !e.Unresponsive {
		line.Msg("failure domain responds again and is no longer avoided")
		return
	}
	line.Int("endpoints", e.Endpoints).Msg("failure domain is avoided: none of its endpoints respond")
}

// registerUnresponsiveDomains registers the number of failure domains that are avoided because they
// don't respond.
func (d *directRouter) registerUnresponsiveDomains() {
	d.reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "coveferry_silent_failure_domains",
		Help: "Failure domains of a service that get no new work, as nothing is heard of their endpoints.",
	}, func() float64 { return float64(d.pool.UnresponsiveDomainCount()) }))
}
