package peers

import (
	"maps"
	"sync"
	"time"

	"coveferry/internal/balance"
)

// demandFor is how long a router's word on its demand counts: a little longer than
// the time between two words of a router. The demand of those that say theirs less
// often, to one of the seeds in turn, is taken to be like that of the others.
const demandFor = 1500 * time.Millisecond

// demands are what other routers said of their demand. It is safe for concurrent
// use.
type demands struct {
	mu  sync.Mutex
	own func() balance.Demand // nil where nobody asks
	by  map[string]saidDemand
	// domains is what readers of other failure domains said, by the reader: where links
	// are narrow several share a domain, and each hears some of its routers.
	domains map[string]saidDemand
	// told is what a reader said of all others.
	told saidDemand
}

type saidDemand struct {
	domain string // of the router that said it
	demand balance.Demand
	// routers is at how many routers that is.
	routers int
	at      time.Time
}

// ShareDemand has this router tell others of its demand.
func (s *Source) ShareDemand(own func() balance.Demand) {
	s.demands.mu.Lock()
	defer s.demands.mu.Unlock()
	s.demands.own = own
}

// OthersDemand is what the requests at other routers ask for, as far as they
// said lately.
func (s *Source) OthersDemand() balance.Others {
	now := time.Now()
	demand, routers, ok := s.demands.fromReader(now)
	if !ok {
		demand, routers = s.demands.sum(now, "")
	}
	known := s.members.count(now)
	if 0 < routers && 0 < known && routers != known {
		// Some weren't heard, or two readers heard the same.
		demand = demand.Times(float64(known) / float64(routers))
	}
	return balance.Others{Demand: demand, Routers: known}
}

func (d *demands) ask() balance.Demand {
	d.mu.Lock()
	own := d.own
	d.mu.Unlock()
	if own == nil {
		return balance.Demand{}
	}
	return own()
}

func (d *demands) hear(from Member, said balance.Demand, at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.by == nil {
		d.by = make(map[string]saidDemand)
	}
	d.by[from.VM] = saidDemand{domain: from.FailureDomain, demand: said, routers: 1, at: at}
}

// hearDomain notes what a reader said of its failure domain. Of this router's own the
// routers speak for themselves.
func (s *Source) hearDomain(from Member, said domainDemand, at time.Time) {
	if said.Routers == 0 || from.FailureDomain == s.cfg.Self.FailureDomain {
		return
	}
	d := &s.demands
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.domains == nil {
		d.domains = make(map[string]saidDemand)
	}
	d.domains[from.VM] = saidDemand{domain: from.FailureDomain, demand: said.Demand, routers: said.Routers, at: at}
}

// domainDemand is what this router heard in its own failure domain, itself included;
// nothing if it isn't a reader, to whom others tell theirs.
func (s *Source) domainDemand(now time.Time) domainDemand {
	if !s.members.isReader(now) {
		return domainDemand{}
	}
	all, routers := s.demands.sumOf(now, s.cfg.Self.FailureDomain)
	return domainDemand{Demand: all.Plus(s.demands.ask()), Routers: routers + 1}
}

// tell notes what a reader said of all others.
func (d *demands) tell(said balance.Demand, routers int, at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.told = saidDemand{demand: said, routers: routers, at: at}
}

func (d *demands) fromReader(now time.Time) (said balance.Demand, routers int, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.told.demand, d.told.routers, now.Sub(d.told.at) < time.Second
}

// sum adds up what routers said lately, but for one of them, and says how many did. Of a
// failure domain whose reader spoke for it that word counts alone.
func (d *demands) sum(now time.Time, but string) (all balance.Demand, routers int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.forgetOld(now)
	spoken := make(map[string]bool)
	for _, said := range d.domains {
		all = all.Plus(said.demand)
		routers += said.routers
		spoken[said.domain] = true
	}
	for vm, said := range d.by {
		if vm != but && !spoken[said.domain] {
			all = all.Plus(said.demand)
			routers++
		}
	}
	return all, routers
}

// sumOf adds up what the other routers of a failure domain said lately themselves.
func (d *demands) sumOf(now time.Time, domain string) (all balance.Demand, routers int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.forgetOld(now)
	for _, said := range d.by {
		if said.domain == domain {
			all = all.Plus(said.demand)
			routers++
		}
	}
	return all, routers
}

// domainWords is how many words of a failure domain's reader may be missed before what it
// said last no longer counts, where that is longer than demandFor: while some domains are
// lost, each round of words waits for them.
const domainWords = 3

// forgetOld forgets what was said long ago. d.mu is held.
func (d *demands) forgetOld(now time.Time) {
	maps.DeleteFunc(d.by, func(_ string, said saidDemand) bool { return now.Sub(said.at) > demandFor })
	limit := max(demandFor, domainWords*domainsGap(len(d.domains)))
	maps.DeleteFunc(d.domains, func(_ string, said saidDemand) bool { return now.Sub(said.at) > limit })
}
