package peers

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// heardFor is how long a router counts after it was last heard of. Each
	// says hello once a second, to three seeds in turn.
	heardFor = 5 * time.Second
	// toldBytes is what a large change of the configuration takes, packed: 1,400 routes.
	toldBytes = 40 << 10
)

// readersFor is how many of so many routers of a failure domain read the source for the
// others, if that have links of mbps at best; 0 isn't known. One suffices where it can
// tell a large change to all within the time of a call: where it is lost, those of other
// domains answer, and then the source itself. Where it can't, its answers come too late
// and are asked for again, which fills its link: of 33 routers behind 10 Mbit/s some
// heard nothing for 1.8 s after such a change.
func readersFor(routers int, mbps float64) int {
	if mbps == 0 {
		return 1
	}
	const bitsPerMbit = 1e6
	seconds := float64(routers) * toldBytes * 8 / (mbps * bitsPerMbit)
	return max(1, int(math.Ceil(seconds/callTimeout.Seconds())))
}

// members are the routers that were heard of lately. It is safe for concurrent
// use.
type members struct {
	self  heard
	mu    sync.Mutex
	known map[string]heard
	// told is how many others there are besides this router, by the one that knew.
	told map[string]toldCount
	// near is when each router of this one's failure domain was last heard of, and domains
	// when any of each other one.
	near, domainsAt map[string]time.Time
	// heardFromOld says that a router has told this one whom it knows that isn't new itself.
	heardFromOld bool
	// most is the most others that there ever were at once.
	most int
	// shared is how many others are taken to share limits, and sharedAt when there last were
	// so many.
	shared   int
	sharedAt time.Time
}

type toldCount struct {
	known int
	at    time.Time
}

// heard is a router with when it was last heard of and its rank in its failure domain.
type heard struct {
	member Member
	at     time.Time
	rank   uint64
}

func newMembers(self Member) *members {
	return &members{
		self: heard{member: self, rank: rank(self)}, known: make(map[string]heard), told: make(map[string]toldCount),
		near: make(map[string]time.Time), domainsAt: make(map[string]time.Time),
	}
}

// hear notes that a router was alive at a moment.
func (m *members) hear(member Member, at time.Time) {
	if member.VM == "" || member.VM == m.self.member.VM {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	old, known := m.known[member.VM]
	if known && !at.After(old.at) {
		return
	}
	m.known[member.VM] = heard{member: member, at: at, rank: rank(member)}
	m.most = max(m.most, len(m.known))
	m.noteSharing(len(m.known), at)
	if member.FailureDomain == m.self.member.FailureDomain {
		m.near[member.VM] = at
		return
	}
	if at.After(m.domainsAt[member.FailureDomain]) {
		m.domainsAt[member.FailureDomain] = at
	}
}

// nearFor is how long a router counts as sharing limits with those of its failure domain
// after it was last heard of. It may go on while it is cut off from them, and an endpoint
// that lacks an owner for so long is used less, not too much.
const nearFor = 30 * time.Second

// sharers lists the other routers of this one's failure domain that may share limits with
// it, and the other failure domains with such routers.
func (m *members) sharers(now time.Time) (near, domains []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	lately := func(of map[string]time.Time) []string {
		list := make([]string, 0, len(of))
		for name, at := range of {
			if now.Sub(at) <= nearFor {
				list = append(list, name)
			}
		}
		return list
	}
	return lately(m.near), lately(m.domainsAt)
}

// everKnown is the most other routers that there ever were at once.
func (m *members) everKnown() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.most
}

// forget drops a router that can't be reached, until it is heard of again.
func (m *members) forget(vm string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.known, vm)
}

// lately lists the routers heard of, in no order.
func (m *members) lately(now time.Time) []heard {
	m.mu.Lock()
	defer m.mu.Unlock()
	for vm, at := range m.near {
		if now.Sub(at) > nearFor {
			delete(m.near, vm)
		}
	}
	list := make([]heard, 0, len(m.known))
	for vm, h := range m.known {
		if now.Sub(h.at) > heardFor {
			delete(m.known, vm)
			continue
		}
		list = append(list, h)
	}
	return list
}

// spokesmen is how many routers of a failure domain those of others know by name: its
// reader, and who follows where that is lost.
const spokesmen = 3

// neededBy are the members that a router needs to know by name: those of its own failure
// domain, who read for it, and a few of each other. With all of 880 an answer took 105 KB
// a second at each router, and 31 MB at each seed.
func (m *members) neededBy(asker Member, now time.Time) []heardMember {
	byDomain := make(map[string][]heard)
	for _, h := range append(m.lately(now), m.self) {
		byDomain[h.member.FailureDomain] = append(byDomain[h.member.FailureDomain], h)
	}
	var needed []heardMember
	for domain, of := range byDomain {
		if domain != asker.FailureDomain {
			of = ranked(of, spokesmen)
		}
		for _, h := range of {
			if h.member.VM != m.self.member.VM {
				needed = append(needed, heardMember{Member: h.member, AgoMillis: now.Sub(h.at).Milliseconds()})
			}
		}
	}
	slices.SortFunc(needed, func(a, b heardMember) int { return cmp.Compare(a.VM, b.VM) })
	return needed
}

// toldOf notes how many others another router has heard of by name, this one among them.
func (m *members) toldOf(by string, known int, at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.told[by] = toldCount{known: known, at: at}
	m.most = max(m.most, known)
	m.noteSharing(known, at)
}

// hearFromOld notes that a router has told this one whom it knows that isn't new itself.
func (m *members) hearFromOld() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.heardFromOld = true
}

// hasHeardFromOld says whether one has.
func (m *members) hasHeardFromOld() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.heardFromOld
}

// byName is how many other routers were heard of lately by name.
func (m *members) byName(now time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.heardOf(now)
}

// count is how many other routers there are, as far as was heard lately.
func (m *members) count(now time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := m.heardOf(now)
	for by, told := range m.told {
		if now.Sub(told.at) > heardFor {
			delete(m.told, by)
			continue
		}
		n = max(n, told.known)
	}
	return n
}

// cutFor is for how long routers count that are no longer heard of: they may be cut off from
// this one only, and go on with their parts.
const cutFor = 10 * time.Minute

// sharing is how many other routers there are, those included that this one may be cut off
// from.
func (m *members) sharing(now time.Time) int {
	n := m.count(now)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.noteSharing(n, now)
	return m.shared
}

// noteSharing notes how many others there are at a moment. m.mu is held.
func (m *members) noteSharing(others int, at time.Time) {
	if others >= m.shared || at.Sub(m.sharedAt) > cutFor {
		m.shared, m.sharedAt = others, at
	}
}

// heardOf is how many were heard of by name. m.mu is held.
func (m *members) heardOf(now time.Time) int {
	n := 0
	for _, h := range m.known {
		if now.Sub(h.at) <= heardFor {
			n++
		}
	}
	return n
}

// readers are the routers that read for a failure domain, as far as this router
// knows, itself included if it is one.
func (m *members) readers(now time.Time, domain string) []Member {
	of := slices.DeleteFunc(append(m.lately(now), m.self), func(h heard) bool { return h.member.FailureDomain != domain })
	var readers []Member
	for _, h := range ranked(of, 0) {
		readers = append(readers, h.member)
	}
	return readers
}

// ranked are the readers among the routers of a failure domain, and those who would follow
// them up to so many in all.
func ranked(of []heard, least int) []heard {
	routers := len(of)
	of = able(of)
	slices.SortFunc(of, func(a, b heard) int {
		return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.member.VM, b.member.VM))
	})
	var link float64
	for _, r := range of {
		link = max(link, r.member.LinkMbps)
	}
	return of[:min(len(of), max(least, readersFor(routers, link)))]
}

// ableShare of the best router's means makes one able to read for others. Among
// those any will do, so that the work doesn't always fall to the same.
const ableShare = 0.5

// able are the routers that can carry the reading of others: a large configuration
// takes long through a narrow link or on a part of a core, and all others then wait.
func able(of []heard) []heard {
	var cores, link float64
	for _, h := range of {
		cores, link = max(cores, h.member.Cores), max(link, h.member.LinkMbps)
	}
	// What isn't known counts as the best.
	means := func(h heard) float64 {
		return min(share(h.member.Cores, cores), share(h.member.LinkMbps, link))
	}
	best := 0.0
	for _, h := range of {
		best = max(best, means(h))
	}
	return slices.DeleteFunc(of, func(h heard) bool { return means(h) < ableShare*best })
}

func share(of, best float64) float64 {
	if of == 0 || best == 0 {
		return 1
	}
	return of / best
}

func rank(m Member) uint64 { return xxhash.Sum64String(m.FailureDomain + "/" + m.VM) }

// at lists the routers heard of lately at some addresses.
func (m *members) at(now time.Time, addresses []string) []Member {
	var list []Member
	for _, h := range m.lately(now) {
		if slices.Contains(addresses, h.member.Address) {
			list = append(list, h.member)
		}
	}
	return list
}

// turn is this router's place among those of its failure domain, from 0 to 1, and in how many
// rounds they all come to ask the source.
func (m *members) turn(now time.Time) (place, rounds float64) {
	routers := 1
	m.mu.Lock()
	for _, h := range m.known {
		if h.member.FailureDomain == m.self.member.FailureDomain && now.Sub(h.at) <= heardFor {
			routers++
		}
	}
	m.mu.Unlock()
	return float64(m.self.rank) / math.MaxUint64, max(1, float64(routers)/askersAtOnce)
}

// isReader says whether this router reads for its failure domain.
func (m *members) isReader(now time.Time) bool {
	return slices.Contains(m.readers(now, m.self.member.FailureDomain), m.self.member)
}

// sources are the routers to ask, the nearest first: the readers of this
// router's failure domain, then one of each other.
func (m *members) sources(now time.Time) []Member {
	var list []Member
	for _, r := range m.inTurn(m.readers(now, m.self.member.FailureDomain)) {
		if r != m.self.member {
			list = append(list, r)
		}
	}
	for _, domain := range m.domains(now) {
		if readers := m.inTurn(m.readers(now, domain)); domain != m.self.member.FailureDomain && len(readers) > 0 {
			list = append(list, readers[0])
		}
	}
	return list
}

// inTurn returns the readers beginning with another one for each router, so that they
// share the asking.
func (m *members) inTurn(readers []Member) []Member {
	if len(readers) < 2 {
		return readers
	}
	first := int(m.self.rank % uint64(len(readers)))
	return slices.Concat(readers[first:], readers[:first])
}

func (m *members) domains(now time.Time) []string {
	var domains []string
	for _, h := range m.lately(now) {
		if !slices.Contains(domains, h.member.FailureDomain) {
			domains = append(domains, h.member.FailureDomain)
		}
	}
	slices.Sort(domains)
	return domains
}
