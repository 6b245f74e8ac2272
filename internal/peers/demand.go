package peers

import (
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
	// told is what a reader said of all others.
	told saidDemand
}

type saidDemand struct {
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
	if 0 < routers && routers < known {
		// A reader hears its own failure domain, and of the others only now and then.
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

func (d *demands) hear(vm string, said balance.Demand, at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.by == nil {
		d.by = make(map[string]saidDemand)
	}
	d.by[vm] = saidDemand{demand: said, routers: 1, at: at}
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

// sum adds up what routers said lately, but for one of them, and says how many did.
func (d *demands) sum(now time.Time, but string) (all balance.Demand, routers int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for vm, said := range d.by {
		if now.Sub(said.at) > demandFor {
			delete(d.by, vm)
			continue
		}
		if vm != but {
			all = all.Plus(said.demand)
			routers++
		}
	}
	return all, routers
}
