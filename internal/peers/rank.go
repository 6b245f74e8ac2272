package peers

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// largeConfigBytes is the packed size of a large change of the configuration: 1,400 routes.
const largeConfigBytes = 40 << 10

// readerCount returns how many of a failure domain's routers read the origin for the others,
// where the best link has mbps (0 if unknown). One is enough if it can send a large change to all
// of them within callTimeout: if it fails, readers of other domains answer, and then the origin
// itself. A reader that is too slow for this answers too late and is queried again, which fills
// its link: of 33 routers behind 10 Mbit/s some got no update for 1.8 s after such a change.
func readerCount(routers int, mbps float64) int {
	if mbps == 0 {
		return 1
	}
	const bitsPerMbit = 1e6
	seconds := float64(routers) * largeConfigBytes * 8 / (mbps * bitsPerMbit)
	return max(1, int(math.Ceil(seconds/callTimeout.Seconds())))
}

// sortByRank sorts routers in place, the highest rank first.
func sortByRank(routers []seenMember) []seenMember {
	slices.SortFunc(routers, func(a, b seenMember) int {
		return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.member.VM, b.member.VM))
	})
	return routers
}

// rankReaders returns a failure domain's routers with enough capacity by rank: its readers, or the
// first minimum routers if that is more.
func rankReaders(routers []seenMember, minimum int) []seenMember {
	total := len(routers)
	routers = sortByRank(capableRouters(routers))
	var link float64
	for _, r := range routers {
		link = max(link, r.member.LinkMbps)
	}
	return routers[:min(len(routers), max(minimum, readerCount(total, link)))]
}

// minCapacityRatio is the share of the best router's capacity from which a router may read for
// others. All of these are equal candidates, so that the work doesn't always fall to the same
// one.
const minCapacityRatio = 0.5

// capableRouters returns the routers with enough capacity to read for others. A large
// configuration takes long over a narrow link or on a fraction of a core, and delays all others.
func capableRouters(routers []seenMember) []seenMember {
	var cores, link float64
	for _, h := range routers {
		cores, link = max(cores, h.member.Cores), max(link, h.member.LinkMbps)
	}
	// An unknown value counts as the best.
	capacity := func(h seenMember) float64 {
		return min(ratio(h.member.Cores, cores), ratio(h.member.LinkMbps, link))
	}
	best := 0.0
	for _, h := range routers {
		best = max(best, capacity(h))
	}
	return slices.DeleteFunc(routers, func(h seenMember) bool { return capacity(h) < minCapacityRatio*best })
}

func ratio(value, best float64) float64 {
	if value == 0 || best == 0 {
		return 1
	}
	return value / best
}

func rank(m Member) uint64 { return xxhash.Sum64String(m.FailureDomain + "/" + m.VM) }
