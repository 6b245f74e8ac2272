package rollout

import "slices"

// membership holds the known processes and the rankings that this process uses.
type membership struct {
	self    Member
	members []Member
	byID    map[ID]Member
	// readerRanking ranks the processes of the failure domain, this one
	// included, as readers of the service; all of them compute the same order.
	readerRanking []Member
	// local and remote rank the others as partners, in the own failure domain
	// and in others. Each process has its own order, so that links spread
	// evenly.
	local, remote []Member
}

func newMembership(self Member) *membership {
	r := &membership{self: self}
	r.update(nil)
	return r
}

// update sets the processes that a new bundle lists. A process that isn't
// listed includes itself, as it may be the only one of its failure domain.
func (r *membership) update(members []Member) {
	if r.byID != nil && slices.Equal(r.members, members) {
		return
	}
	r.members = members
	r.byID = make(map[ID]Member, len(members))
	local, remote := []Member{r.self}, []Member{}
	self := r.self.ID()
	for _, m := range members {
		id := m.ID()
		r.byID[id] = m
		switch {
		case id == self:
		case m.FailureDomain == r.self.FailureDomain:
			local = append(local, m)
		default:
			remote = append(remote, m)
		}
	}
	r.readerRanking = rank(rankReaders, r.self.FailureDomain, local)
	r.local = rank(rankPartners, string(r.self.ID()), local[1:])
	r.remote = rank(rankPartners, string(r.self.ID()), remote)
}

// countOthers returns the number of other processes, and of their failure
// domains.
func (r *membership) countOthers() (processes, domains int) {
	seen := make(map[string]bool)
	for _, m := range r.members {
		if m.ID() != r.self.ID() {
			processes++
			seen[m.FailureDomain] = true
		}
	}
	return processes, len(seen)
}
