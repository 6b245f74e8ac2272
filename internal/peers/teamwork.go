package peers

import (
	"time"

	"coveferry/internal/fairshare"
)

// teamWorkInterval is how long a sum of the work of teams is used. A reader answers some 130 polls a
// second, and adding up the reports for each would take a tenth of a core.
const teamWorkInterval = 100 * time.Millisecond

// teamWork holds sums of the work of teams. demandTable.mu guards it.
type teamWork struct {
	own func(now time.Time) fairshare.Sums // nil until ShareTeamWork is called
	// latestOwn is the result of own as of ownAt.
	latestOwn fairshare.Sums
	ownAt     time.Time
	// total is the sum of the reports as of totalAt, and byRouter those of routers in it.
	total    fairshare.Total
	byRouter map[string]fairshare.Sums
	totalAt  time.Time
}

// ShareTeamWork sets the function whose result this router reports as the work of teams, with its
// demand.
func (s *Source) ShareTeamWork(own func(now time.Time) fairshare.Sums) {
	s.demand.mu.Lock()
	defer s.demand.mu.Unlock()
	s.demand.work.own = own
}

// PeerTeamWork returns the work of teams at all other routers, based on their recent reports, and how
// many other routers are known. If this router sees at most half of the fleet, it may be partitioned, so
// those that are no longer seen count too. The work is not scaled to routers that report nothing: a
// team may reach only some of the routers.
func (s *Source) PeerTeamWork() (work fairshare.Sums, known int) {
	now := time.Now()
	known = s.members.count(now)
	if total := s.PeerCount(); 2*(known+1) <= total+1 {
		known = total
	}
	if total, ok := s.demand.readerTotal(now); ok {
		return total.TeamWork, known
	}
	s.demand.mu.Lock()
	defer s.demand.mu.Unlock()
	return s.demand.teamWork(now, ""), known
}

// ownReport returns the demand of this router's own requests and, where teams share capacity, their
// work.
func (d *demandTable) ownReport(now time.Time) domainDemand {
	return domainDemand{Demand: d.local(), Routers: 1, TeamWork: d.ownTeamWork(now)}
}

func (d *demandTable) ownTeamWork(now time.Time) fairshare.Sums {
	d.mu.Lock()
	own, latest := d.work.own, d.work.latestOwn
	due := now.Sub(d.work.ownAt) >= teamWorkInterval
	d.mu.Unlock()
	if own == nil || !due {
		return latest
	}
	latest = own(now) // may call PeerTeamWork
	d.mu.Lock()
	defer d.mu.Unlock()
	d.work.latestOwn, d.work.ownAt = latest, now
	return latest
}

// teamWork returns the work of teams at the routers that sum covers. d.mu is held.
func (d *demandTable) teamWork(now time.Time, except string) fairshare.Sums {
	w := &d.work
	if now.Sub(w.totalAt) >= teamWorkInterval {
		w.total, w.totalAt, w.byRouter = fairshare.Total{}, now, make(map[string]fairshare.Sums)
		d.forEach(now, func(vm string, r receivedDemand) {
			w.total.Add(r.work)
			if vm != "" {
				w.byRouter[vm] = r.work
			}
		})
	}
	return w.total.Without(w.byRouter[except])
}
