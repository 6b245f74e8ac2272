package balance

import (
	"math"
	"math/rand/v2"
	"time"
)

// Default values of LoadAware fields.
const (
	defaultDraws        = 5
	defaultHalfLife     = 2 * time.Second
	defaultPrefixSaving = 150 * time.Millisecond
	// firstTokenFraction is the fraction of a request's slot time that passes before its first
	// token, and by which each request in a batch slows the others.
	firstTokenFraction = 0.1
	// slowRatio is the ratio to the mean above which an endpoint's slot time is taken into
	// account. Below it the difference is mostly chance, since response lengths have a long tail,
	// and following it causes herding.
	slowRatio = 1.5
	// defaultSlotTime is assumed by LoadAware until an endpoint reports its drain rate.
	defaultSlotTime = time.Second
)

// LoadAware samples a few endpoints and chooses the one with the lowest expected time to first
// token. The estimate is based on the last load report, whose weight decays with age, and the
// router's own requests since; only requests queued at the request's own tier and above count as
// ahead of it. The preferred endpoint of the request's prefix is chosen unless waiting there
// costs more than the cached prefix saves.
type LoadAware struct {
	// Draws is the number of endpoints that are sampled.
	Draws int
	// HalfLife is the age at which a report has half the weight; the mean of all endpoints has
	// the rest.
	HalfLife time.Duration
	// PrefixSaving is the time that a cached prefix saves; a negative value disables prefix
	// affinity.
	PrefixSaving time.Duration
}

// Name returns "load-aware".
func (LoadAware) Name() string { return "load-aware" }

// Choose returns the view with the lowest expected time to first token.
func (l LoadAware) Choose(now time.Time, req Request, views []View, rnd *rand.Rand) (int, bool) {
	l = l.withDefaults()
	e := l.newEstimator(now, req, views)
	best, ok := draw(views, rnd)
	if !ok {
		return 0, false
	}
	cost := e.cost(&views[best])
	for range l.Draws - 1 {
		i := drawAvoidingDomain(views, best, rnd)
		c := e.cost(&views[i])
		if c < cost {
			best, cost = i, c
		}
	}
	preferred, ok := preferredForPrefix(req.Prefix, views)
	if ok && e.cost(&views[preferred]) <= cost+l.PrefixSaving.Seconds() {
		return preferred, true
	}
	return best, true
}

func (l LoadAware) withDefaults() LoadAware {
	if l.Draws <= 0 {
		l.Draws = defaultDraws
	}
	if l.HalfLife <= 0 {
		l.HalfLife = defaultHalfLife
	}
	if l.PrefixSaving == 0 {
		l.PrefixSaving = defaultPrefixSaving
	}
	return l
}

// drawAvoidingDomain samples a view, and once more if the first one is in the failure domain of
// the view at index other, so that a single slow failure domain is less likely to fill the
// sample.
func drawAvoidingDomain(views []View, other int, rnd *rand.Rand) int {
	i, _ := draw(views, rnd)
	if views[i].FailureDomain == views[other].FailureDomain {
		i, _ = draw(views, rnd)
	}
	return i
}

// estimator holds the values that all cost estimates of one choice share.
type estimator struct {
	now              time.Time
	tier             int
	halfLife         time.Duration
	meanAheadPerSlot float64 // requests ahead per slot, mean of all endpoints
	meanSlotTime     float64 // harmonic mean in seconds, which a few slow endpoints hardly affect
}

func (l LoadAware) newEstimator(now time.Time, req Request, views []View) estimator {
	e := estimator{now: now, tier: req.Tier, halfLife: l.HalfLife, meanSlotTime: defaultSlotTime.Seconds()}
	reported, measured := 0, 0
	var busy, rate float64
	for i := range views {
		v := &views[i]
		if !v.ReportedAt.IsZero() {
			reported++
			busy += v.requestsAhead(req.Tier) / v.slots()
		}
		if v.SlotTime > 0 {
			measured++
			rate += 1 / v.SlotTime.Seconds()
		}
	}
	if reported > 0 {
		e.meanAheadPerSlot = busy / float64(reported)
	}
	if measured > 0 {
		e.meanSlotTime = float64(measured) / rate
	}
	return e
}

// cost returns the expected time to first token at the view, in seconds.
func (e *estimator) cost(v *View) float64 {
	slots := v.slots()
	weight := e.reportWeight(v)
	ahead := weight*v.requestsAhead(e.tier) + (1-weight)*e.meanAheadPerSlot*slots + float64(v.OwnUnreported)
	ahead = max(ahead, float64(v.Inflight)*weight)
	waiting := max(0, ahead+1-slots)
	slotTime := e.meanSlotTime
	if v.SlotTime.Seconds() > slowRatio*slotTime {
		slotTime = v.SlotTime.Seconds()
	}
	return slotTime * (waiting + firstTokenFraction*(ahead+1)) / slots
}

// reportWeight returns 1 for a new report and halves with every half-life.
func (e *estimator) reportWeight(v *View) float64 {
	if v.ReportedAt.IsZero() {
		return 0
	}
	age := max(0, e.now.Sub(v.ReportedAt))
	return math.Exp2(-age.Seconds() / e.halfLife.Seconds())
}

// requestsAhead counts the requests that a new one of the tier waits for or shares the batch
// with: all running ones, and those queued at its own tier and above.
func (v *View) requestsAhead(tier int) float64 {
	return float64(v.Load.TotalRunning() + v.Load.QueuedAhead(tier))
}

func (v *View) slots() float64 { return float64(max(v.Load.Slots, 1)) }
