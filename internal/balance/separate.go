package balance

import (
	"math"
	"slices"
	"time"
)

// fleet is what the endpoints of a service have in common, as far as it decides who
// is kept apart.
type fleet struct {
	endpoints int
	slots     float64 // of one endpoint
	// pause is the time between two events where nothing is read beside them.
	pause time.Duration
}

// separation is which kinds of request are kept apart from the others, and how many
// endpoints are theirs.
type separation struct {
	tight []int64 // the pauses of those kinds
	kept  int
}

// tightFor says whether a stream that may pause for so long is kept apart.
func (s separation) tightFor(gap time.Duration) bool {
	return slices.Contains(s.tight, gap.Milliseconds())
}

const (
	// apartFrom is the share of a kind's streams that have to be late by the
	// prompts of others for it to be kept apart, and togetherBelow that below which
	// it no longer is: what is kept apart lacks the others' endpoints when it grows
	// or they fail, which some late streams are worth.
	apartFrom     = 0.05
	togetherBelow = 0.02
	// readTarget is the part of an endpoint's time for reading prompts above which
	// they wait for each other for longer than they are read: half of what they
	// would at 0.5.
	readTarget = 0.35
	// fillTarget is the part of the slots to fill with streams on the whole, so
	// that chance and bursts find room.
	fillTarget = 0.7
)

// next decides anew. It is pure: what was decided last only keeps it from flapping.
// Kinds are in the order of their pauses, so that the one that may hardly pause comes
// first, and no later one joins it whose prompts would make it late.
func (last separation) next(d Demand, f fleet) separation {
	if f.endpoints < 2 {
		return separation{}
	}
	var next separation
	var apart Demand
	rest := slices.Clone(d)
	for i, k := range d {
		limit := apartFrom
		if slices.Contains(last.tight, k.GapMillis) {
			limit = togetherBelow
		}
		if lateByOthers(d, i, f) <= limit {
			continue
		}
		with := append(slices.Clone(apart), k)
		without := slices.DeleteFunc(slices.Clone(rest), func(o Kind) bool { return o.key() == k.key() })
		if !harmless(k, apart, divide(last.kept, f, with, without), f) {
			continue
		}
		apart, rest = with, without
		next.tight = append(next.tight, k.GapMillis)
	}
	next.kept = divide(last.kept, f, apart, rest)
	return next
}

// besideStreams is how much longer a prompt takes to read beside streams that run than
// by itself, as it was learned.
const besideStreams = 1.5

// harmless says whether hardly any stream of other kinds would be late by a kind's
// prompts at so many endpoints that are theirs together.
func harmless(k Kind, others Demand, endpoints int, f fleet) bool {
	rate := k.rate() / float64(max(endpoints, 1))
	read := besideStreams * k.read()
	for _, o := range others {
		if late(rate*beyond(o.room(f), read, rate*read), o.held()) > togetherBelow {
			return false
		}
	}
	return true
}

// divide gives each side its part of the endpoints by what it needs, and no less than
// what it can't do without. Where that is more than there are, the more urgent side gets
// some of the other's.
func divide(last int, f fleet, apart, others Demand) int {
	tight, bulk := needOf(apart), needOf(others)
	kept := split(last, f.endpoints, tight.endpoints(f), bulk.endpoints(f))
	least, rest := int(math.Ceil(tight.least(f))), int(math.Ceil(bulk.least(f)))
	if least+rest > f.endpoints {
		kept = split(last, f.endpoints, tight.least(f), bulk.least(f))
	} else {
		kept = min(max(kept, least), f.endpoints-rest)
	}
	switch {
	case tight.urgency() < bulk.urgency():
		return kept + yielded(kept, f.endpoints-kept, tight, f)
	case bulk.urgency() < tight.urgency():
		return kept - yielded(f.endpoints-kept, kept, bulk, f)
	}
	return kept
}

// mostYield is the most of its endpoints that the less urgent side yields to the more
// urgent: what it loses by that is a tenth of what it could do, at the most.
const mostYield = 0.1

// yielded is how many of the other side's endpoints a side gets that is more urgent and
// needs more than it has. In an overload both sides get the same part of what they need:
// with 1.5 to 2 times the usual long prompts the streams that may hardly pause were left 6
// of 180 endpoints, and half of them were late, for 4% more of the long prompts on time.
func yielded(has, others int, n need, f fleet) int {
	lacks := int(math.Ceil(n.endpoints(f))) - has
	return max(0, min(lacks, int(mostYield*float64(others))))
}

// lateByOthers is the share of a kind's streams that would pause for too long by the
// prompts of other kinds, if all used all endpoints alike. How many are late by their
// own doesn't matter: in an overload that is most of them, and the others still harm.
func lateByOthers(d Demand, kind int, f fleet) float64 {
	if d[kind].GapMillis == 0 {
		return 0
	}
	busy := 0.0
	for _, k := range d {
		busy += k.rate() * k.read() / float64(f.endpoints)
	}
	rate := 0.0
	for i, k := range d {
		if i != kind {
			rate += k.rate() / float64(f.endpoints) * beyond(d[kind].room(f), k.read(), busy)
		}
	}
	return late(rate, d[kind].held())
}

// room is how many seconds of reading a stream's pause leaves room for.
func (k Kind) room(f fleet) float64 { return float64(k.GapMillis)/1000 - f.pause.Seconds() }

// beyond is the part of prompts that bring what an endpoint has to read to more than
// room seconds, where it reads for the part busy of its time and a prompt takes read
// seconds on average: by the tail of a queue with lengths that vary much.
func beyond(room, read, busy float64) float64 {
	switch {
	case read <= 0:
		return 0
	case room <= 0 || busy >= 1:
		return 1
	}
	return math.Exp(-(1 - busy) * room / read)
}

// late is the part of streams of so many seconds that meet what comes so many times
// a second.
func late(rate, seconds float64) float64 { return 1 - math.Exp(-rate*seconds) }

// need is what kinds of request ask of endpoints.
type need struct {
	reading, running float64
	ended, late      float64
	requests, ranks  float64
}

// lateWeight is by how much of itself a need grows for the share of answers that are
// late, so that endpoints go to the side that lacks them more than was foreseen.
const lateWeight = 8.0

func needOf(kinds Demand) need {
	var n need
	for _, k := range kinds {
		n.reading += k.rate() * k.read()
		n.running += k.rate() * k.held()
		n.ended += k.Ended
		n.late += k.Late
		n.requests += k.Requests
		n.ranks += k.Ranks
	}
	return n
}

// urgency is the mean rank of the requests, the lower the more urgent.
func (n need) urgency() float64 { return perRequest(n.ranks, n.requests) }

// endpoints is how many endpoints that takes, by what binds.
func (n need) endpoints(f fleet) float64 {
	foreseen := max(n.reading/readTarget, n.running/(fillTarget*max(f.slots, 1)))
	return foreseen * (1 + lateWeight*perRequest(n.late, n.ended))
}

// Parts of the time and of the slots beyond which requests wait without end.
const (
	readMost = 0.8
	fillMost = 0.9
)

// least is the number of endpoints below which they are overloaded.
func (n need) least(f fleet) float64 {
	return max(n.reading/readMost, n.running/(fillMost*max(f.slots, 1)))
}

// splitHold is how far the best number of endpoints must be from the last one
// before it changes; without it the boundary would flap, and caches with it.
const splitHold = 0.75

// split divides n endpoints in proportion to two needs. Each kind that asks
// for anything gets one at least, where there are two.
func split(last, n int, tight, bulk float64) int {
	if n < 2 || tight+bulk <= 0 {
		return 0
	}
	ideal := float64(n) * tight / (tight + bulk)
	kept := last
	if kept > n || math.Abs(ideal-float64(last)) > splitHold {
		kept = int(math.Round(ideal))
	}
	least, most := 0, n
	if tight > 0 {
		least = 1
	}
	if bulk > 0 {
		most = n - 1
	}
	return min(max(kept, least), most)
}
