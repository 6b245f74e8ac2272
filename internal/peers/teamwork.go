package peers

import (
	"time"

	"coveferry/internal/fairshare"
)

// ShareTeamWork sets the function whose result this router reports as the work of teams, with its
// demand.
func (s *Source) ShareTeamWork(own func(now time.Time) fairshare.Sums) {
	s.demand.mu.Lock()
	defer s.demand.mu.Unlock()
	s.demand.ownSums = own
}

// PeerTeamWork returns the work of teams at all other routers, based on their recent reports, and
// whether this router is the only one. The work is not scaled to routers that report nothing: a
// team may reach only some of the routers.
func (s *Source) PeerTeamWork() (work fairshare.Sums, alone bool) {
	now := time.Now()
	alone = s.PeerCount() == 0
	if total, ok := s.demand.readerTotal(now); ok {
		return total.TeamWork, alone
	}
	return s.demand.sumTeamWork(now), alone
}
