package balance

import (
	"math"
	"slices"
	"time"
)

// serviceEndpoints describes the endpoints of a service for the isolation decision.
type serviceEndpoints struct {
	endpoints int
	slots     float64 // of one endpoint
	// gap is the time between two events of a stream while the endpoint prefills no prompts.
	gap time.Duration
}

// isolation is the isolation decision: which kinds of request are isolated from the others, and how
// many endpoints are dedicated to them.
type isolation struct {
	gapLimits []int64 // gap limits of the isolated kinds, in milliseconds
	dedicated int
}

// isolates reports whether streams with this gap limit are isolated.
func (s isolation) isolates(gap time.Duration) bool {
	return slices.Contains(s.gapLimits, gap.Milliseconds())
}

const (
	// isolateAbove is the share of a kind's streams made late by the prompts of others above
	// which it is isolated, and rejoinBelow the share below which it no longer is. Some late
	// streams are accepted, because an isolated kind can't use the other endpoints when its load
	// grows or its own endpoints fail.
	isolateAbove = 0.05
	rejoinBelow  = 0.02
	// prefillTarget is the target share of an endpoint's time spent on prefill. Above it prompts
	// wait for each other for longer than their own prefill takes; at it they wait half as long as
	// at 0.5.
	prefillTarget = 0.35
	// slotTarget is the target share of slots in use by streams, which leaves room for chance
	// and bursts.
	slotTarget = 0.7
)

// next computes a new decision from the demand. It is pure; the last decision only adds hysteresis.
// Kinds come in the order of their gap limits, so that the one with the tightest limit is considered
// first and a later kind can't join if its prompts would make the earlier ones late.
func (last isolation) next(d Demand, f serviceEndpoints) isolation {
	if f.endpoints < 2 {
		return isolation{}
	}
	var next isolation
	var isolated Demand
	rest := slices.Clone(d)
	for i, k := range d {
		threshold := isolateAbove
		if slices.Contains(last.gapLimits, k.GapMillis) {
			threshold = rejoinBelow
		}
		if lateShareFromOthers(d, i, f) <= threshold {
			continue
		}
		with := append(slices.Clone(isolated), k)
		without := slices.DeleteFunc(slices.Clone(rest), func(o Kind) bool { return o.key() == k.key() })
		if !canJoin(k, isolated, divideEndpoints(last.dedicated, f, with, without), f) {
			continue
		}
		isolated, rest = with, without
		next.gapLimits = append(next.gapLimits, k.GapMillis)
	}
	next.dedicated = divideEndpoints(last.dedicated, f, isolated, rest)
	return next
}

// prefillSlowdown is how much longer a prefill takes beside running streams than alone.
const prefillSlowdown = 1.5

// canJoin reports whether at most rejoinBelow of the streams of each other kind would be late
// because of the kind's prompts, on the given number of dedicated endpoints.
func canJoin(k Kind, others Demand, endpoints int, f serviceEndpoints) bool {
	rate := k.rate() / float64(max(endpoints, 1))
	prefill := prefillSlowdown * k.meanPrefillSeconds()
	for _, o := range others {
		if lateShare(rate*backlogProbability(o.slack(f), prefill, rate*prefill), o.meanSlotSeconds()) > rejoinBelow {
			return false
		}
	}
	return true
}

// divideEndpoints returns how many endpoints to dedicate to the isolated kinds. Each side gets
// endpoints in proportion to its need, and at least its minimum if both minimums fit. In an overload
// the more urgent side then gets some endpoints of the other one.
func divideEndpoints(last int, f serviceEndpoints, isolated, others Demand) int {
	isolatedNeed, othersNeed := needOf(isolated), needOf(others)
	dedicated := split(last, f.endpoints, isolatedNeed.endpoints(f), othersNeed.endpoints(f))
	isolatedMin, othersMin := int(math.Ceil(isolatedNeed.minEndpoints(f))), int(math.Ceil(othersNeed.minEndpoints(f)))
	if isolatedMin+othersMin > f.endpoints {
		dedicated = split(last, f.endpoints, isolatedNeed.minEndpoints(f), othersNeed.minEndpoints(f))
	} else {
		dedicated = min(max(dedicated, isolatedMin), f.endpoints-othersMin)
	}
	switch {
	case isolatedNeed.meanTier() < othersNeed.meanTier():
		return dedicated + yielded(dedicated, f.endpoints-dedicated, isolatedNeed, f)
	case othersNeed.meanTier() < isolatedNeed.meanTier():
		return dedicated - yielded(f.endpoints-dedicated, dedicated, othersNeed, f)
	}
	return dedicated
}

// maxYieldShare is the largest share of its endpoints that the less urgent side yields to the more
// urgent one, so that it loses a tenth of its capacity at most.
const maxYieldShare = 0.1

// yielded is how many of the other side's endpoints the more urgent side gets if it needs more than
// it has. Without this both sides get the same share of their need in an overload: with 1.5 to 2
// times the usual long prompts, the streams with tight gap limits were left 6 of 180 endpoints and
// half of them were late, while 4% more of the long prompts were on time.
func yielded(own, others int, n capacityNeed, f serviceEndpoints) int {
	missing := int(math.Ceil(n.endpoints(f))) - own
	return max(0, min(missing, int(maxYieldShare*float64(others))))
}

// lateShareFromOthers is the share of a kind's streams that would exceed their gap limit because of
// other kinds' prompts if all kinds shared all endpoints evenly. Streams late because of their own
// kind's prompts don't count: in an overload most are, and other kinds would still delay them.
func lateShareFromOthers(d Demand, kind int, f serviceEndpoints) float64 {
	if d[kind].GapMillis == 0 {
		return 0
	}
	busy := 0.0
	for _, k := range d {
		busy += k.rate() * k.meanPrefillSeconds() / float64(f.endpoints)
	}
	rate := 0.0
	for i, k := range d {
		if i != kind {
			rate += k.rate() / float64(f.endpoints) * backlogProbability(d[kind].slack(f), k.meanPrefillSeconds(), busy)
		}
	}
	return lateShare(rate, d[kind].meanSlotSeconds())
}

// slack is how many seconds of prefill fit into a gap of the stream without making it late.
func (k Kind) slack(e serviceEndpoints) float64 { return float64(k.GapMillis)/1000 - e.gap.Seconds() }

// backlogProbability is the share of prompts that bring an endpoint's prefill backlog above slack
// seconds, where busy is the share of its time spent on prefill and a prompt takes prefill seconds
// on average. It is the tail of a queue with highly variable service times.
func backlogProbability(slack, prefill, busy float64) float64 {
	switch {
	case prefill <= 0:
		return 0
	case slack <= 0 || busy >= 1:
		return 1
	}
	return math.Exp(-(1 - busy) * slack / prefill)
}

// lateShare is the probability that a stream of the given length meets at least one event of a
// Poisson process with this rate a second.
func lateShare(rate, seconds float64) float64 { return 1 - math.Exp(-rate*seconds) }

// capacityNeed is the capacity that kinds of request need, with their late responses and tiers.
type capacityNeed struct {
	prefill, slotUse float64
	ended, late      float64
	requests, tiers  float64
}

// lateWeight is how much a need grows with the share of late responses, so that endpoints go to the
// side whose need was underestimated: by lateWeight times itself if all are late.
const lateWeight = 8.0

func needOf(kinds Demand) capacityNeed {
	var n capacityNeed
	for _, k := range kinds {
		n.prefill += k.rate() * k.meanPrefillSeconds()
		n.slotUse += k.rate() * k.meanSlotSeconds()
		n.ended += k.Ended
		n.late += k.Late
		n.requests += k.Requests
		n.tiers += k.TierSum
	}
	return n
}

// meanTier is the mean tier of the requests; lower is more urgent.
func (n capacityNeed) meanTier() float64 { return perRequest(n.tiers, n.requests) }

// endpoints is how many endpoints are needed, by prefill time or slots, whichever needs more.
func (n capacityNeed) endpoints(f serviceEndpoints) float64 {
	estimate := max(n.prefill/prefillTarget, n.slotUse/(slotTarget*max(f.slots, 1)))
	return estimate * (1 + lateWeight*perRequest(n.late, n.ended))
}

// Shares of an endpoint's time and slots above which queues grow without bound.
const (
	maxPrefillShare = 0.8
	maxSlotShare    = 0.9
)

// minEndpoints is the number of endpoints below which these are overloaded.
func (n capacityNeed) minEndpoints(f serviceEndpoints) float64 {
	return max(n.prefill/maxPrefillShare, n.slotUse/(maxSlotShare*max(f.slots, 1)))
}

// splitHysteresis is how far the ideal number of endpoints must be from the last one for it to
// change. Without it the number would flap, and each change costs cached prompts.
const splitHysteresis = 0.75

// split divides n endpoints in proportion to two needs and returns the first part. If there are two
// endpoints or more, each side with any need gets at least one.
func split(last, n int, isolated, others float64) int {
	if n < 2 || isolated+others <= 0 {
		return 0
	}
	ideal := float64(n) * isolated / (isolated + others)
	dedicated := last
	if dedicated > n || math.Abs(ideal-float64(last)) > splitHysteresis {
		dedicated = int(math.Round(ideal))
	}
	low, high := 0, n
	if isolated > 0 {
		low = 1
	}
	if others > 0 {
		high = n - 1
	}
	return min(max(dedicated, low), high)
}
