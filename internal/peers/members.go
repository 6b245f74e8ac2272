package peers

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"coveferry/internal/age"
)

// memberTTL is how long a router counts as a member after it was last seen alive. Each sends a hello
// once a second, to three seeds in turn.
const memberTTL = 5 * time.Second

// members holds the routers that were seen alive recently. It is safe for concurrent use.
type members struct {
	self  seenMember
	mu    sync.Mutex
	known map[string]seenMember
	// reportedCounts maps a router to the number of other routers that it knows of.
	reportedCounts map[string]reportedCount
	// domainPeerSeen is when each router of this one's failure domain was last seen, and
	// remoteDomainSeen when any router of each other domain was.
	domainPeerSeen, remoteDomainSeen map[string]time.Time
	// establishedPeer is set once a router that isn't starting itself has sent its members.
	establishedPeer bool
	// peak is the highest number of other routers known at once.
	peak int
	// partitionCount is the number of other routers including those that this one may be
	// partitioned from, and partitionCountAt when that many were last known.
	partitionCount   int
	partitionCountAt time.Time
}

type reportedCount struct {
	count int
	at    time.Time
}

// seenMember is a router, when it was last seen alive, and its rank in its failure domain.
type seenMember struct {
	member Member
	seenAt time.Time
	rank   uint64
}

func newMembers(self Member) *members {
	return &members{
		self: seenMember{member: self, rank: rank(self)}, known: make(map[string]seenMember), reportedCounts: make(map[string]reportedCount),
		domainPeerSeen: make(map[string]time.Time), remoteDomainSeen: make(map[string]time.Time),
	}
}

// recordSeen records that a router was alive at the given time.
func (m *members) recordSeen(member Member, at time.Time) {
	if member.VM == "" || member.VM == m.self.member.VM {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	old, known := m.known[member.VM]
	if known && !at.After(old.seenAt) {
		return
	}
	m.known[member.VM] = seenMember{member: member, seenAt: at, rank: rank(member)}
	m.peak = max(m.peak, len(m.known))
	m.updatePartitionCount(len(m.known), at)
	if member.FailureDomain == m.self.member.FailureDomain {
		m.domainPeerSeen[member.VM] = at
		return
	}
	if at.After(m.remoteDomainSeen[member.FailureDomain]) {
		m.remoteDomainSeen[member.FailureDomain] = at
	}
}

// recordListed records the members that another router listed in a message sent at the given time.
func (m *members) recordListed(list []listedMember, sent time.Time) {
	for _, listed := range list {
		if seenAt, known := age.FromMillis(listed.AgoMillis).Before(sent); known {
			m.recordSeen(listed.Member, seenAt)
		}
	}
}

// rateSharerTTL is how long a router counts as sharing the rate limits of endpoints with those of
// its failure domain after it was last seen. It may still be running and merely be partitioned from
// them. If it was stopped, its share of an endpoint's rate goes unused in that time, so the endpoint
// gets fewer requests than it accepts, not too many.
const rateSharerTTL = 30 * time.Second

// rateSharers lists the other routers of this one's failure domain that may share the rate limits
// of endpoints with it, and the other failure domains with such routers.
func (m *members) rateSharers(now time.Time) (domainPeers, domains []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	seenWithinTTL := func(seen map[string]time.Time) []string {
		list := make([]string, 0, len(seen))
		for name, at := range seen {
			if now.Sub(at) <= rateSharerTTL {
				list = append(list, name)
			}
		}
		return list
	}
	return seenWithinTTL(m.domainPeerSeen), seenWithinTTL(m.remoteDomainSeen)
}

// peakCount returns the highest number of other routers known at once.
func (m *members) peakCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peak
}

// remove drops an unreachable router until it is seen alive again.
func (m *members) remove(vm string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.known, vm)
}

// recent lists the routers that were seen recently, in no order.
func (m *members) recent(now time.Time) []seenMember {
	m.mu.Lock()
	defer m.mu.Unlock()
	for vm, at := range m.domainPeerSeen {
		if now.Sub(at) > rateSharerTTL {
			delete(m.domainPeerSeen, vm)
		}
	}
	list := make([]seenMember, 0, len(m.known))
	for vm, h := range m.known {
		if now.Sub(h.seenAt) > memberTTL {
			delete(m.known, vm)
			continue
		}
		list = append(list, h)
	}
	return list
}

// membersPerRemoteDomain is how many routers of each other failure domain a router learns by
// address: the reader, and those that replace it when it fails.
const membersPerRemoteDomain = 3

// membersFor lists the members that a router needs: those of its own failure domain, among which
// are its readers, and a few of each other. A reply with all of 880 took 105 KB a second at each
// router, and 31 MB at each seed.
func (m *members) membersFor(requester Member, now time.Time) []listedMember {
	byDomain := make(map[string][]seenMember)
	for _, h := range append(m.recent(now), m.self) {
		byDomain[h.member.FailureDomain] = append(byDomain[h.member.FailureDomain], h)
	}
	var needed []listedMember
	for domain, routers := range byDomain {
		if domain != requester.FailureDomain {
			routers = rankReaders(routers, membersPerRemoteDomain)
		}
		for _, h := range routers {
			if h.member.VM != m.self.member.VM {
				needed = append(needed, listedMember{Member: h.member, AgoMillis: age.MillisSince(h.seenAt, now)})
			}
		}
	}
	slices.SortFunc(needed, func(a, b listedMember) int { return cmp.Compare(a.VM, b.VM) })
	return needed
}

// recordCount records how many other routers a router knows directly, this one among them.
func (m *members) recordCount(reporter string, count int, at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reportedCounts[reporter] = reportedCount{count: count, at: at}
	m.peak = max(m.peak, count)
	m.updatePartitionCount(count, at)
}

// markEstablishedPeer records that a router that isn't starting itself has sent its members.
func (m *members) markEstablishedPeer() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.establishedPeer = true
}

// hasEstablishedPeer reports whether markEstablishedPeer was called.
func (m *members) hasEstablishedPeer() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.establishedPeer
}

// countSeen returns how many other routers were seen recently by this router itself.
func (m *members) countSeen(now time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.countSeenLocked(now)
}

// count returns the number of other routers, including those that only others report.
func (m *members) count(now time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := m.countSeenLocked(now)
	for reporter, reported := range m.reportedCounts {
		if now.Sub(reported.at) > memberTTL {
			delete(m.reportedCounts, reporter)
			continue
		}
		n = max(n, reported.count)
	}
	return n
}

// partitionTTL is how long a router that is no longer seen counts in PeerCount. It may only be
// partitioned from this one and go on using its share of the fleet-wide limits.
const partitionTTL = 10 * time.Minute

// countWithPartitioned returns the number of other routers, including those that this one may be
// partitioned from.
func (m *members) countWithPartitioned(now time.Time) int {
	n := m.count(now)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.updatePartitionCount(n, now)
	return m.partitionCount
}

// updatePartitionCount records the number of other routers at the given time. m.mu is held.
func (m *members) updatePartitionCount(others int, at time.Time) {
	if others >= m.partitionCount || at.Sub(m.partitionCountAt) > partitionTTL {
		m.partitionCount, m.partitionCountAt = others, at
	}
}

// countSeenLocked implements countSeen. m.mu is held.
func (m *members) countSeenLocked(now time.Time) int {
	n := 0
	for _, h := range m.known {
		if now.Sub(h.seenAt) <= memberTTL {
			n++
		}
	}
	return n
}

// readers lists the routers that read for a failure domain as far as this router knows, which
// may include itself.
func (m *members) readers(now time.Time, domain string) []Member {
	routers := slices.DeleteFunc(append(m.recent(now), m.self), func(h seenMember) bool { return h.member.FailureDomain != domain })
	var readers []Member
	for _, h := range rankReaders(routers, 0) {
		readers = append(readers, h.member)
	}
	return readers
}

// atAddresses lists the recently seen routers with the given addresses.
func (m *members) atAddresses(now time.Time, addresses []string) []Member {
	var list []Member
	for _, h := range m.recent(now) {
		if slices.Contains(addresses, h.member.Address) {
			list = append(list, h.member)
		}
	}
	return list
}

// originTurn returns this router's position in its failure domain's turns to call the origin,
// from 0 to 1, and the number of call intervals that one round of all its routers takes.
func (m *members) originTurn(now time.Time) (position, intervals float64) {
	routers := 1
	m.mu.Lock()
	for _, h := range m.known {
		if h.member.FailureDomain == m.self.member.FailureDomain && now.Sub(h.seenAt) <= memberTTL {
			routers++
		}
	}
	m.mu.Unlock()
	return float64(m.self.rank) / math.MaxUint64, max(1, float64(routers)/originCallersPerRound)
}

// isReader reports whether this router is a reader of its failure domain.
func (m *members) isReader(now time.Time) bool {
	return slices.Contains(m.readers(now, m.self.member.FailureDomain), m.self.member)
}

// peersToQuery lists the routers to query, the nearest first: the readers of this router's
// failure domain, then one of each other.
func (m *members) peersToQuery(now time.Time) []Member {
	var list []Member
	for _, r := range m.rotated(m.readers(now, m.self.member.FailureDomain)) {
		if r != m.self.member {
			list = append(list, r)
		}
	}
	for _, domain := range m.domains(now) {
		if readers := m.rotated(m.readers(now, domain)); domain != m.self.member.FailureDomain && len(readers) > 0 {
			list = append(list, readers[0])
		}
	}
	return list
}

// rotated returns the readers rotated by this router's rank, which spreads queries over them.
func (m *members) rotated(readers []Member) []Member {
	if len(readers) < 2 {
		return readers
	}
	first := int(m.self.rank % uint64(len(readers)))
	return slices.Concat(readers[first:], readers[:first])
}

// byDomain returns this router and those seen recently by failure domain, in the order of rank. Those
// that routers of other failure domains don't learn of come last.
func (m *members) byDomain(now time.Time) map[string][]Member {
	routers := make(map[string][]seenMember)
	for _, h := range append(m.recent(now), m.self) {
		routers[h.member.FailureDomain] = append(routers[h.member.FailureDomain], h)
	}
	byDomain := make(map[string][]Member, len(routers))
	for domain, list := range routers {
		capable := rankReaders(slices.Clone(list), len(list))
		rest := slices.DeleteFunc(list, func(h seenMember) bool { return slices.Contains(capable, h) })
		for _, h := range append(capable, sortByRank(rest)...) {
			byDomain[domain] = append(byDomain[domain], h.member)
		}
	}
	return byDomain
}

func (m *members) domains(now time.Time) []string {
	var domains []string
	for _, h := range m.recent(now) {
		if !slices.Contains(domains, h.member.FailureDomain) {
			domains = append(domains, h.member.FailureDomain)
		}
	}
	slices.Sort(domains)
	return domains
}
