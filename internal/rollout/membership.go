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
func (ms *membership) update(members []Member) {
	if ms.byID != nil && slices.Equal(ms.members, members) {
		return
	}
	ms.members = members
	ms.byID = make(map[ID]Member, len(members))
	local, remote := []Member{ms.self}, []Member{}
	self := ms.self.ID()
	for _, m := range members {
		id := m.ID()
		ms.byID[id] = m
		switch {
		case id == self:
		case m.FailureDomain == ms.self.FailureDomain:
			local = append(local, m)
		default:
			remote = append(remote, m)
		}
	}
	ms.readerRanking = rank(rankReaders, ms.self.FailureDomain, local)
	ms.local = rank(rankPartners, string(ms.self.ID()), local[1:])
	ms.remote = rank(rankPartners, string(ms.self.ID()), remote)
}

// countOthers returns the number of other processes, and of their failure
// domains.
func (ms *membership) countOthers() (processes, domains int) {
	seen := make(map[string]bool)
	for _, m := range ms.members {
		if m.ID() != ms.self.ID() {
			processes++
			seen[m.FailureDomain] = true
		}
	}
	return processes, len(seen)
}
