package daemon

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"coveferry/internal/bundle"
	"coveferry/internal/clock"
	"coveferry/internal/directory"
	"coveferry/internal/membership"
	"coveferry/internal/poison"
	"coveferry/internal/route"
	"coveferry/internal/upstream"
)

// directoryUpdater applies changes of the endpoint directory to membership and the pool, and
// checks the health of endpoints.
type directoryUpdater struct {
	d *directRouter
	// previous is the directory of the last update. Only update uses it.
	previous *directory.Directory
	// updates counts the updates, which orders them for membership. Only update uses it.
	updates int64
}

func newDirectoryUpdater(d *directRouter) *directoryUpdater {
	l := &directoryUpdater{d: d, previous: directory.Empty()}
	for _, gauge := range []struct {
		name, help string
		value      func() int
	}{
		{"coveferry_evacuated_failure_domains", "Failure domains that are to get nothing, by orders of the operator.", l.evacuatedDomains},
		{"coveferry_evacuated_endpoints", "Listed endpoints in failure domains that are to get nothing.", func() int { return len(l.evacuatedEndpoints()) }},
		{"coveferry_evacuated_open_requests", "Requests of this router that still run in failure domains that are to get nothing.", l.evacuatedRequests},
	} {
		d.reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: gauge.name, Help: gauge.help}, func() float64 { return float64(gauge.value()) }))
	}
	d.members.OnReturning(l.onReturning)
	return l
}

// onReturning treats an endpoint whose connections had failed as a newly started process.
// While the directory can't be read nothing else reports a restart: with three routers, one
// endpoint got 15 requests in its first second although it could handle 12. If this router's
// connections to more than half of the comparable endpoints fail, it was probably cut off
// itself, and nothing is marked cold.
func (l *directoryUpdater) onReturning(name string) {
	entry, ok := l.d.follower.Directory().Entry(name)
	if !ok || l.d.pool.MajoritySuspect(name) {
		return
	}
	cold := l.serviceOf(entry.Endpoint.Services).Cold
	if cold.Rate <= 0 {
		return
	}
	l.d.pool.SetCold(time.Now(), name, cold.For)
	l.d.log.Info().Str("endpoint", name).Dur("for", cold.For).
		Msg("endpoint is reachable again and may have restarted: it is limited to the rate of a cold endpoint")
}

// update applies a directory to membership and the pool. It is called by one goroutine.
func (l *directoryUpdater) update(dir *directory.Directory) {
	last := l.previous
	l.previous = dir
	l.updates++
	l.d.streams.UpdateList(time.Now(), dir)
	entries := dir.Entries()
	l.d.log.Info().Int("endpoints", len(entries)).Int("kept", dir.KeptCount()).Strs("evacuated", dir.Evacuated()).
		Uint64("era", dir.Revision().Era).Uint64("revision", dir.Revision().Number).Msg("endpoint list changed")
	l.logEvacuations(last, dir)
	specs := make([]membership.EndpointSpec, len(entries))
	vms := make([]membership.VM, len(entries))
	for i, e := range entries {
		specs[i] = membership.EndpointSpec{
			Endpoint: e.Endpoint.Name, VM: e.Endpoint.VM, Address: e.Endpoint.Address, Incarnation: e.Endpoint.ProcessID(),
		}
		vms[i] = membership.VM{Name: e.Endpoint.VM, Leaving: !dir.AcceptsWork(e.Endpoint.Name)}
	}
	l.d.members.HandleEvent(membership.BundleApplied{Endpoints: specs})
	// Mark cold endpoints before they accept work again.
	l.markCold(last, dir, entries)
	l.d.members.HandleEvent(membership.ListRead{VMs: vms, At: time.Unix(l.updates, 0)})
}

// logEvacuations logs each evacuation order that was added or removed.
func (l *directoryUpdater) logEvacuations(last, dir *directory.Directory) {
	for _, domain := range dir.Evacuated() {
		if last.IsEvacuated(domain) {
			continue
		}
		endpoints := len(endpointsInDomain(dir, domain))
		log := l.d.log.Warn().Str("failure_domain", domain).Int("endpoints", endpoints)
		if endpoints == 0 {
			log.Msg("evacuation order for a failure domain without endpoints: check its name")
			continue
		}
		log.Msg("failure domain is evacuated: its endpoints get no new requests until the order is removed")
	}
	for _, domain := range last.Evacuated() {
		if !dir.IsEvacuated(domain) {
			l.d.log.Warn().Str("failure_domain", domain).Int("endpoints", len(endpointsInDomain(dir, domain))).
				Msg("failure domain is taken back: its endpoints get requests again, at first at the rate of cold endpoints")
		}
	}
}

// markCold marks endpoints as cold in the pool: those that report it, those that have
// restarted, and those whose failure domain is no longer evacuated, since other work may have
// displaced their caches in the meantime.
func (l *directoryUpdater) markCold(last, dir *directory.Directory, entries []directory.Entry) {
	now := time.Now()
	for _, e := range entries {
		name := e.Endpoint.Name
		before, known := last.Entry(name)
		if e.Cold > 0 && (!known || e.Cold != before.Cold || e.Incarnation != before.Incarnation) {
			l.d.pool.SetCold(now, name, e.Cold)
		}
		restarted := known && e.Incarnation != before.Incarnation
		evacuationEnded := last.IsEvacuated(e.Endpoint.FailureDomain) && !dir.IsEvacuated(e.Endpoint.FailureDomain)
		if restarted || evacuationEnded {
			l.d.pool.SetCold(now, name, l.serviceOf(e.Endpoint.Services).Cold.For)
		}
	}
}

// serviceOf returns the route table's entry for the first of the services, or the zero value
// if there is none.
func (l *directoryUpdater) serviceOf(services []string) route.Service {
	table := l.d.follower.Table()
	if table == nil || len(services) == 0 {
		return route.Service{}
	}
	if s := table.Service(services[0]); s != nil {
		return *s
	}
	return route.Service{}
}

// endpointsInDomain returns the entries whose endpoint is in a failure domain.
func endpointsInDomain(dir *directory.Directory, domain string) []directory.Entry {
	return slices.DeleteFunc(dir.Entries(), func(e directory.Entry) bool { return e.Endpoint.FailureDomain != domain })
}

func (l *directoryUpdater) evacuatedDomains() int { return len(l.d.follower.Directory().Evacuated()) }

func (l *directoryUpdater) evacuatedEndpoints() []directory.Entry {
	dir := l.d.follower.Directory()
	return slices.DeleteFunc(dir.Entries(), func(e directory.Entry) bool { return !dir.IsEvacuated(e.Endpoint.FailureDomain) })
}

func (l *directoryUpdater) evacuatedRequests() int {
	open := 0
	for _, e := range l.evacuatedEndpoints() {
		open += l.d.pool.Inflight(e.Endpoint.Name)
	}
	return open
}

// checkHealth probes an endpoint's health. It skips endpoints that are evacuated or asked this
// router to back off, and rate-limited endpoints for which this router has used up its share,
// since a health check takes up capacity like any request. An endpoint that answers that it is
// leaving, or asks for backoff, hasn't failed the check.
func (l *directoryUpdater) checkHealth(ctx context.Context, name string) (membership.HealthResult, error) {
	health, err := l.requestHealth(ctx, name)
	result := membership.HealthResult{Connected: health.Connected, Leaving: health.Leaving}
	switch {
	case health.Leaving:
		return result, nil
	case health.Backoff > 0:
		return result, membership.ErrProbeSkipped
	}
	return result, err
}

// requestHealth sends a health check and applies what the answer says, except that the endpoint is
// leaving and its load. The error is membership.ErrProbeSkipped if the endpoint must not be checked now.
func (l *directoryUpdater) requestHealth(ctx context.Context, name string) (upstream.Health, error) {
	dir := l.d.follower.Directory()
	entry, ok := dir.Entry(name)
	if !ok {
		return upstream.Health{}, errors.Newf("endpoint %s is not listed", name)
	}
	sentAt, sentClock := time.Now(), clock.Boot()
	if !l.mayCheck(sentAt, &entry.Endpoint) {
		return upstream.Health{}, membership.ErrProbeSkipped
	}
	health, err := l.d.cfg.Health(ctx, l.d.client, entry.Endpoint.Address, l.healthPath(entry.Endpoint.Services), name)
	l.d.pool.ApplySignals(time.Now(), sentAt, name, health.Signals)
	if err == nil {
		l.d.pool.RecordAccepted(time.Now(), sentAt, name)
	}
	if err == nil || health.Leaving {
		l.d.poison.RecordResponse(poison.ProcessName(name, entry.Endpoint.ProcessID()), sentClock)
	}
	return health, err
}

// mayCheckInterval is how often it is asked whether an endpoint may be sent a health check.
const mayCheckInterval = 50 * time.Millisecond

// mayCheck reports whether an endpoint may be sent a health check: not if it is evacuated, asked this router
// to back off, or has a rate limit of which this router's share is used up.
func (l *directoryUpdater) mayCheck(now time.Time, e *bundle.Endpoint) bool {
	return !l.d.follower.Directory().IsEvacuated(e.FailureDomain) && l.d.pool.MayCheck(now, e)
}

// processAlive reports whether the process of an endpoint answers, over a new connection: what comes over a kept
// one may have been sent before. It waits while the endpoint may not be sent a health check.
func (l *directoryUpdater) processAlive(ctx context.Context, e *bundle.Endpoint) bool {
	for !l.mayCheck(time.Now(), e) {
		if !clock.Sleep(ctx, mayCheckInterval) {
			return false
		}
	}
	// Any answer will do, so what went wrong doesn't matter.
	health, _ := l.d.cfg.Health(ctx, l.d.oneShotClient, e.Address, l.healthPath(e.Services), e.Name)
	return health.Answered
}

func (l *directoryUpdater) healthPath(services []string) string {
	return cmp.Or(l.serviceOf(services).HealthPath, "/")
}
