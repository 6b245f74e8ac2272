package daemon

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"coveferry/internal/balance"
	"coveferry/internal/membership"
)

// watchSilence has endpoints asked for their health from which nothing comes
// though requests are open there. The requests themselves wait on, but for streams
// that go on from copies once the endpoint is taken for lost.
func (d *directRouter) watchSilence(ctx context.Context) {
	tick := time.NewTicker(balance.UnresponsiveCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			for _, endpoint := range d.pool.CheckUnresponsive(now, balance.UnresponsiveTimeout) {
				d.members.Learn(membership.Silence{Endpoint: endpoint})
			}
			d.router.LeaveSilent(d.pool.PresumedDown())
		}
	}
}

// logSilentDomain writes a line when nothing is heard of a failure domain any more, and when
// something is again.
func (d *directRouter) logSilentDomain(e balance.DomainEvent) {
	line := d.log.Warn().Str("failure_domain", e.FailureDomain).Str("of", e.Group)
	if !e.Unresponsive {
		line.Msg("failure domain is no longer avoided for its silence")
		return
	}
	line.Int("endpoints", e.Endpoints).Msg("failure domain is avoided: nothing is heard of its endpoints")
}

// registerSilences has a metric tell of failure domains that are avoided for their silence.
func (d *directRouter) registerSilences() {
	d.reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "coveferry_silent_failure_domains",
		Help: "Failure domains of a service that get no new work, as nothing is heard of their endpoints.",
	}, func() float64 { return float64(d.pool.UnresponsiveDomainCount()) }))
}
