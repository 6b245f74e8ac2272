package peers

import (
	"maps"
	"sync"
	"time"

	"coveferry/internal/balance"
)

// demandTTL is how long a router's demand report counts: a little longer than the interval
// between two reports. Routers that report less often, to one of the seeds in turn, are assumed
// to have the same demand as the others.
const demandTTL = 1500 * time.Millisecond

// demandTable holds the demand that other routers reported. It is safe for concurrent use.
type demandTable struct {
	mu       sync.Mutex
	own      func() balance.Demand // nil until ShareDemand is called
	byRouter map[string]receivedDemand
	// byDomain holds the demand of other failure domains by the reader that reported it. With
	// narrow links a domain has several readers, each of which receives the reports of some
	// of its routers.
	byDomain map[string]receivedDemand
	// total is the demand of all other routers as a reader last reported it.
	total receivedDemand
}

type receivedDemand struct {
	domain string // of the reporting router
	demand balance.Demand
	// routers is the number of routers included in demand.
	routers int
	at      time.Time
}

// ShareDemand sets the function whose result this router reports as its demand.
func (s *Source) ShareDemand(own func() balance.Demand) {
	s.demand.mu.Lock()
	defer s.demand.mu.Unlock()
	s.demand.own = own
}

// PeerDemand returns the demand at all other routers, based on their recent reports.
func (s *Source) PeerDemand() balance.PeerDemand {
	now := time.Now()
	total, ok := s.demand.readerTotal(now)
	if !ok {
		total = s.demand.sum(now, "")
	}
	demand, routers := total.Demand, total.Routers
	known := s.members.count(now)
	if 0 < routers && 0 < known && routers != known {
		// Some routers were not counted, or two readers counted the same one.
		demand = demand.Scale(float64(known) / float64(routers))
	}
	return balance.PeerDemand{Demand: demand, Routers: known}
}

func (d *demandTable) local() balance.Demand {
	d.mu.Lock()
	own := d.own
	d.mu.Unlock()
	if own == nil {
		return balance.Demand{}
	}
	return own()
}

// ownReport returns the demand of this router's own requests.
func (d *demandTable) ownReport() domainDemand { return domainDemand{Demand: d.local(), Routers: 1} }

func (d *demandTable) record(from Member, demand balance.Demand, at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.byRouter == nil {
		d.byRouter = make(map[string]receivedDemand)
	}
	d.byRouter[from.VM] = receivedDemand{domain: from.FailureDomain, demand: demand, routers: 1, at: at}
}

// recordDomainDemand records the demand that a reader reported for its failure domain. Reports
// on this router's own domain are ignored, since its routers report individually.
func (s *Source) recordDomainDemand(from Member, report domainDemand, at time.Time) {
	if report.Routers == 0 || from.FailureDomain == s.cfg.Self.FailureDomain {
		return
	}
	d := &s.demand
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.byDomain == nil {
		d.byDomain = make(map[string]receivedDemand)
	}
	d.byDomain[from.VM] = receivedDemand{domain: from.FailureDomain, demand: report.Demand, routers: report.Routers, at: at}
}

// domainDemand returns the demand of this router's failure domain as far as it is known,
// including its own. It is empty if this router isn't a reader, since only readers get reports.
func (s *Source) domainDemand(now time.Time) domainDemand {
	if !s.members.isReader(now) {
		return domainDemand{}
	}
	return s.demand.sumDomain(now, s.cfg.Self.FailureDomain).add(s.demand.ownReport())
}

// recordTotal records the demand of all other routers as a reader reported it.
func (d *demandTable) recordTotal(total domainDemand, at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.total = receivedDemand{demand: total.Demand, routers: total.Routers, at: at}
}

func (d *demandTable) readerTotal(now time.Time) (total domainDemand, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	total = domainDemand{Demand: d.total.demand, Routers: d.total.routers}
	return total, now.Sub(d.total.at) < time.Second
}

// add returns the sum of two reports on different routers.
func (d domainDemand) add(o domainDemand) domainDemand {
	return domainDemand{Demand: d.Demand.Add(o.Demand), Routers: d.Routers + o.Routers}
}

// sum adds up the recent reports except those of one router. Where a domain's reader has reported
// for its domain, only that report counts.
func (d *demandTable) sum(now time.Time, except string) (total domainDemand) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.forEach(now, func(vm string, r receivedDemand) {
		if vm == "" || vm != except {
			total.Demand, total.Routers = total.Demand.Add(r.demand), total.Routers+r.routers
		}
	})
	return total
}

// forEach calls do for the recent reports of routers and domains; vm is empty for those of domains.
// d.mu is held.
func (d *demandTable) forEach(now time.Time, do func(vm string, r receivedDemand)) {
	d.expire(now)
	reported := make(map[string]bool)
	for _, report := range d.byDomain {
		do("", report)
		reported[report.domain] = true
	}
	for vm, report := range d.byRouter {
		if !reported[report.domain] {
			do(vm, report)
		}
	}
}

// sumDomain adds up the recent reports of the other routers of a failure domain.
func (d *demandTable) sumDomain(now time.Time, domain string) (total domainDemand) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire(now)
	for _, report := range d.byRouter {
		if report.domain == domain {
			total.Demand, total.Routers = total.Demand.Add(report.demand), total.Routers+1
		}
	}
	return total
}

// maxMissedDomainReports is how many reports of a domain's reader may be missed before its last
// one expires, where that takes longer than demandTTL: while some domains are unreachable, each
// round of reports waits for their timeouts.
const maxMissedDomainReports = 3

// expire drops old reports. d.mu is held.
func (d *demandTable) expire(now time.Time) {
	maps.DeleteFunc(d.byRouter, func(_ string, report receivedDemand) bool { return now.Sub(report.at) > demandTTL })
	limit := max(demandTTL, maxMissedDomainReports*domainHelloInterval(len(d.byDomain)))
	maps.DeleteFunc(d.byDomain, func(_ string, report receivedDemand) bool { return now.Sub(report.at) > limit })
}
