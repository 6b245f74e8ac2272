package daemon

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"coveferry/internal/directory"
	"coveferry/internal/membership"
	"coveferry/internal/route"
	"coveferry/internal/upstream"
)

// endpointList has a direct router use the endpoints that the list shows, as far as they
// may be sent work.
type endpointList struct {
	d *directRouter
	// last is the list that was taken last. Only take uses it.
	last *directory.Directory
}

func newEndpointList(d *directRouter) *endpointList {
	l := &endpointList{d: d, last: directory.Empty()}
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
	d.members.OnReturning(l.returning)
	return l
}

// returning takes an endpoint whose connections had failed for a process that has just started.
// Where the list can't be read nothing else tells of it: with three routers one got 15 requests
// in its first second, of 12 that it bore. A router that reached hardly any endpoint was cut off
// itself.
func (l *endpointList) returning(name string) {
	entry, ok := l.d.follower.Directory().Entry(name)
	if !ok || l.d.pool.MajoritySuspect(name) {
		return
	}
	cold := l.service(entry.Endpoint.Services).Cold
	if cold.Rate <= 0 {
		return
	}
	l.d.pool.SetCold(time.Now(), name, cold.For)
	l.d.log.Info().Str("endpoint", name).Dur("for", cold.For).
		Msg("endpoint returns and may be another process: it gets what a cold one takes")
}

// take has membership follow the list of endpoints. It is called by one goroutine.
func (l *endpointList) take(dir *directory.Directory) {
	last := l.last
	l.last = dir
	entries := dir.Entries()
	l.d.log.Info().Int("endpoints", len(entries)).Int("kept", dir.KeptCount()).Strs("evacuated", dir.Evacuated()).
		Uint64("revision", dir.Revision()).Msg("list of endpoints changed")
	l.logEvacuations(last, dir)
	places := make([]membership.Place, len(entries))
	vms := make([]membership.VM, len(entries))
	for i, e := range entries {
		places[i] = membership.Place{
			Endpoint: e.Endpoint.Name, VM: e.Endpoint.VM, Address: e.Endpoint.Address, Incarnation: e.Endpoint.Process(),
		}
		vms[i] = membership.VM{Name: e.Endpoint.VM, Leaving: !dir.AcceptsWork(e.Endpoint.Name)}
	}
	l.d.members.Learn(membership.Bundle{Places: places})
	// What is cold is known before it takes work again.
	l.noteCold(last, dir, entries)
	l.d.members.Learn(membership.ListRead{VMs: vms, At: time.Unix(int64(dir.Revision()), 0)})
}

// logEvacuations writes a line for each order that was given or removed.
func (l *endpointList) logEvacuations(last, dir *directory.Directory) {
	for _, domain := range dir.Evacuated() {
		if last.IsEvacuated(domain) {
			continue
		}
		endpoints := len(inDomain(dir, domain))
		log := l.d.log.Warn().Str("failure_domain", domain).Int("endpoints", endpoints)
		if endpoints == 0 {
			log.Msg("order to evacuate a failure domain in which there is no endpoint: is the name right?")
			continue
		}
		log.Msg("failure domain is evacuated: its endpoints get no new work until the order is removed")
	}
	for _, domain := range last.Evacuated() {
		if !dir.IsEvacuated(domain) {
			l.d.log.Warn().Str("failure_domain", domain).Int("endpoints", len(inDomain(dir, domain))).
				Msg("failure domain is taken back: its endpoints get work again, as cold ones at first")
		}
	}
}

// noteCold tells the pool of endpoints that are cold: those that say so, those that another
// process has taken over, and those of a failure domain that is taken back, whose caches
// others may have used meanwhile.
func (l *endpointList) noteCold(last, dir *directory.Directory, entries []directory.Entry) {
	now := time.Now()
	for _, e := range entries {
		name := e.Endpoint.Name
		before, known := last.Entry(name)
		if e.Cold > 0 && (!known || e.Cold != before.Cold || e.Incarnation != before.Incarnation) {
			l.d.pool.SetCold(now, name, e.Cold)
		}
		restarted := known && e.Incarnation != before.Incarnation
		takenBack := last.IsEvacuated(e.Endpoint.FailureDomain) && !dir.IsEvacuated(e.Endpoint.FailureDomain)
		if restarted || takenBack {
			l.d.pool.SetCold(now, name, l.service(e.Endpoint.Services).Cold.For)
		}
	}
}

// service is what the table says of the first of the services; the zero value if nothing.
func (l *endpointList) service(services []string) route.Service {
	table := l.d.follower.Table()
	if table == nil || len(services) == 0 {
		return route.Service{}
	}
	if s := table.Service(services[0]); s != nil {
		return *s
	}
	return route.Service{}
}

// inDomain lists the endpoints of a failure domain.
func inDomain(dir *directory.Directory, domain string) []directory.Entry {
	return slices.DeleteFunc(dir.Entries(), func(e directory.Entry) bool { return e.Endpoint.FailureDomain != domain })
}

func (l *endpointList) evacuatedDomains() int { return len(l.d.follower.Directory().Evacuated()) }

func (l *endpointList) evacuatedEndpoints() []directory.Entry {
	dir := l.d.follower.Directory()
	return slices.DeleteFunc(dir.Entries(), func(e directory.Entry) bool { return !dir.IsEvacuated(e.Endpoint.FailureDomain) })
}

func (l *endpointList) evacuatedRequests() int {
	open := 0
	for _, e := range l.evacuatedEndpoints() {
		open += l.d.pool.Inflight(e.Endpoint.Name)
	}
	return open
}

// health asks an endpoint whether it is healthy. One that is evacuated, or limits its requests
// and has had this router's part, is not asked: a health check takes a place like any request.
func (l *endpointList) health(ctx context.Context, name string) (bool, error) {
	dir := l.d.follower.Directory()
	entry, ok := dir.Entry(name)
	if !ok {
		return false, errors.Newf("endpoint %s is not listed", name)
	}
	if dir.IsEvacuated(entry.Endpoint.FailureDomain) {
		return false, membership.ErrNotAsked
	}
	sent := time.Now()
	if !l.d.pool.MayCheck(sent, &entry.Endpoint) {
		return false, membership.ErrNotAsked
	}
	health, err := l.d.cfg.Health(ctx, l.d.client, entry.Endpoint.Address, l.healthPath(entry.Endpoint.Services), name)
	if health.Cold > 0 {
		l.d.pool.SetCold(time.Now(), name, health.Cold)
	}
	if health.RateLimit.Statement == upstream.LimitNamed {
		// That a check names none says little: answers to requests do.
		l.d.pool.ApplyLimit(time.Now(), sent, name, health.RateLimit)
	}
	return health.Sent, err
}

func (l *endpointList) healthPath(services []string) string {
	return cmp.Or(l.service(services).HealthPath, "/")
}
