package daemon

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"coveferry/internal/balance"
	"coveferry/internal/membership"
)

// watchUnresponsive triggers health checks of endpoints that send nothing although they have open
// requests. The requests keep waiting, except streams that have a copy at another endpoint:
// they resume there once the first endpoint is presumed down.
func (d *directRouter) watchUnresponsive(ctx context.Context) {
	tick := time.NewTicker(balance.UnresponsiveCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			for _, endpoint := range d.pool.CheckUnresponsive(now, balance.UnresponsiveTimeout) {
				d.members.HandleEvent(membership.Unresponsive{Endpoint: endpoint})
			}
			d.router.ResumeFromCopies(d.pool.PresumedDown())
		}
	}
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
