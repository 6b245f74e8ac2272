package balance

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"
)

// Half-lives of the demand statistics. A router sees some ten requests of a kind a second, so
// that a half-life of one second is noisy by a third; a longer one lags behind bursts, which last
// seconds.
const (
	slowHalfLife = 2 * time.Second
	fastHalfLife = time.Second
)

// maxKinds limits the kinds of request that are tracked: five for each of a dozen models.
// Requests of further kinds aren't counted.
const maxKinds = 64

// Kind holds decaying sums over the requests for a service with the same gap limit.
type Kind struct {
	Service string `json:"service"`
	// GapMillis is the gap limit, the longest allowed pause between two events; 0 means none.
	GapMillis int64 `json:"gap"`
	// Requests is the number of requests with the longer half-life, RecentRequests with the
	// shorter.
	Requests       float64 `json:"n"`
	RecentRequests float64 `json:"recent"`
	// TierSum is the sum of the priority tiers of Requests; the highest priority adds 0.
	TierSum float64 `json:"rank"`
	// PrefillSeconds is the prefill time of Requests, and SlotSeconds the time for which they
	// hold a slot.
	PrefillSeconds float64 `json:"read"`
	SlotSeconds    float64 `json:"held"`
	// Ended is the number of responses that ended, and Late of those that exceeded their
	// objective or gap limit.
	Ended float64 `json:"ended"`
	Late  float64 `json:"late"`
}

// rate returns the kind's requests a second. It rises with the shorter half-life and falls with
// the longer one: an endpoint that accepts long prompts while tight-gap streams still run there
// makes them late.
func (k Kind) rate() float64 {
	return math.Ln2 * max(k.Requests/slowHalfLife.Seconds(), k.RecentRequests/fastHalfLife.Seconds())
}

// meanPrefillSeconds and meanSlotSeconds are the means per request.
func (k Kind) meanPrefillSeconds() float64 { return perRequest(k.PrefillSeconds, k.Requests) }
func (k Kind) meanSlotSeconds() float64    { return perRequest(k.SlotSeconds, k.Requests) }

func perRequest(sum, requests float64) float64 {
	if requests <= 0 {
		return 0
	}
	return sum / requests
}

func (k Kind) key() kindKey { return kindKey{k.Service, k.GapMillis} }

// kindKey identifies a kind.
type kindKey struct {
	service   string
	gapMillis int64
}

func (k kindKey) compare(o kindKey) int {
	return cmp.Or(cmp.Compare(k.service, o.service), cmp.Compare(k.gapMillis, o.gapMillis))
}

// Demand is the demand by kind, ordered by service and gap.
type Demand []Kind

// forService returns the kinds of a service.
func (d Demand) forService(service string) Demand {
	return slices.DeleteFunc(slices.Clone(d), func(k Kind) bool { return k.Service != service })
}

// Add returns the sum of two demands.
func (d Demand) Add(o Demand) Demand {
	sum := slices.Clone(d)
	for _, k := range o {
		i := sum.findOrInsert(k.key())
		if i < 0 {
			continue
		}
		sum[i].Requests += k.Requests
		sum[i].RecentRequests += k.RecentRequests
		sum[i].TierSum += k.TierSum
		sum[i].PrefillSeconds += k.PrefillSeconds
		sum[i].SlotSeconds += k.SlotSeconds
		sum[i].Ended += k.Ended
		sum[i].Late += k.Late
	}
	return sum
}

// Scale returns the demand multiplied by x, for example by the number of equal routers.
func (d Demand) Scale(x float64) Demand {
	scaled := slices.Clone(d)
	for i := range scaled {
		scaled[i].scale(x, x)
	}
	return scaled
}

// scale multiplies the sums with the longer half-life by slow and the one with the shorter by
// fast.
func (k *Kind) scale(slow, fast float64) {
	k.Requests *= slow
	k.TierSum *= slow
	k.PrefillSeconds *= slow
	k.SlotSeconds *= slow
	k.Ended *= slow
	k.Late *= slow
	k.RecentRequests *= fast
}

func (d Demand) requests() float64 {
	sum := 0.0
	for _, k := range d {
		sum += k.Requests
	}
	return sum
}

// findOrInsert returns the index of a kind and inserts it if it is missing, or -1 if maxKinds are
// tracked already.
func (d *Demand) findOrInsert(key kindKey) int {
	i, found := slices.BinarySearchFunc(*d, key, func(k Kind, key kindKey) int { return k.key().compare(key) })
	switch {
	case found:
		return i
	case len(*d) >= maxKinds:
		return -1
	}
	*d = slices.Insert(*d, i, Kind{Service: key.service, GapMillis: key.gapMillis})
	return i
}

// decay ages the sums and drops kinds that are almost zero.
func (d Demand) decay(age time.Duration) Demand {
	slow := math.Exp2(-age.Seconds() / slowHalfLife.Seconds())
	fast := math.Exp2(-age.Seconds() / fastHalfLife.Seconds())
	for i := range d {
		d[i].scale(slow, fast)
	}
	return slices.DeleteFunc(d, func(k Kind) bool { return max(k.Requests, k.Ended) < minRequests })
}

// minRequests is the sum below which a kind is dropped: one request, some thirteen seconds later.
const minRequests = 0.01

// PeerDemand is the demand that other routers see, and their number.
type PeerDemand struct {
	Demand  Demand
	Routers int
}

// demand tracks the demand by kind and decides which endpoints are dedicated to tight-gap
// streams. It is safe for concurrent use.
type demand struct {
	mu        sync.Mutex
	decayedAt time.Time
	// observedFor is the time since the first request, 0 before it.
	observedFor time.Duration
	observed    Demand
	// slotTimes is the average slot time of each kind's streams, in seconds.
	slotTimes map[kindKey]runningMean
	// peerDemand returns the demand that other routers see; nil if they don't report it.
	peerDemand func() PeerDemand
	// isolations holds the most recent decision for each service.
	isolations map[string]isolation
	// serviceDemand holds the demand at all routers at that decision.
	serviceDemand map[string]Demand
	// ownShare is this router's share of all requests as last computed; 0 before.
	ownShare float64
}

// add counts a request of a priority tier with the given prefill time.
func (d *demand) add(now time.Time, key kindKey, tier int, prefill time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.decay(now)
	i := d.observed.findOrInsert(key)
	if i < 0 {
		return
	}
	k := &d.observed[i]
	k.Requests++
	k.RecentRequests++
	k.TierSum += float64(tier)
	k.PrefillSeconds += prefill.Seconds()
	k.SlotSeconds += d.slotTimeOf(key)
}

const (
	// defaultSlotSeconds is assumed by PromptAware until some streams have ended: what several
	// seconds of response text take.
	defaultSlotSeconds = 2.0
	// slotTimeSmoothing is the weight of a new sample in the moving average once there are many.
	slotTimeSmoothing = 0.05
)

func (d *demand) slotTimeOf(key kindKey) float64 {
	if slotTime, ok := d.slotTimes[key]; ok {
		return slotTime.value
	}
	return defaultSlotSeconds
}

// meanSlotTime returns how long a request for a service holds a slot on average, in seconds.
func (d *demand) meanSlotTime(service string) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	slotSeconds, requests := 0.0, 0.0
	for _, k := range d.observed {
		if k.Service == service {
			slotSeconds += k.SlotSeconds
			requests += k.Requests
		}
	}
	if slotSeconds <= 0 {
		return defaultSlotSeconds
	}
	return perRequest(slotSeconds, requests)
}

// runningMean is an exponential moving average that starts as the plain mean of the first
// samples.
type runningMean struct {
	value   float64
	samples float64
}

func (m runningMean) add(sample float64) runningMean {
	m.samples++
	m.value += max(slotTimeSmoothing, 1/m.samples) * (sample - m.value)
	return m
}

// recordEnded counts a finished stream that held its slot for the given time.
func (d *demand) recordEnded(now time.Time, key kindKey, slotTime time.Duration, late bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.decay(now)
	i := d.observed.findOrInsert(key)
	if i < 0 {
		return
	}
	d.observed[i].Ended++
	if late {
		d.observed[i].Late++
	}
	if d.slotTimes == nil || len(d.slotTimes) > maxKinds {
		d.slotTimes = make(map[kindKey]runningMean)
	}
	d.slotTimes[key] = d.slotTimes[key].add(slotTime.Seconds())
}

// decideIsolation decides how many endpoints of a service are dedicated now, and to which kinds.
func (d *demand) decideIsolation(now time.Time, service string, f serviceEndpoints) isolation {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := d.totalDemand(now)
	if d.isolations == nil || len(d.isolations) > maxKinds {
		d.isolations = make(map[string]isolation)
		d.serviceDemand = make(map[string]Demand)
	}
	ofService := all.forService(service)
	next := d.isolations[service].next(ofService, f)
	d.isolations[service], d.serviceDemand[service] = next, ofService
	return next
}

// updateShare estimates this router's share of all requests anew, and returns the last isolation
// decision for a service.
func (d *demand) updateShare(now time.Time, service string) isolation {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.totalDemand(now)
	return d.isolations[service]
}

// totalDemand returns the demand at all routers, and estimates this router's share of the requests.
// d.mu is held.
func (d *demand) totalDemand(now time.Time) Demand {
	d.decay(now)
	own := d.extrapolated()
	all, routers := own, 1
	if d.peerDemand != nil {
		peers := d.peerDemand()
		all = all.Add(peers.Demand)
		routers += peers.Routers
	}
	d.ownShare = estimateShare(own.requests(), all.requests(), routers)
	return all
}

const (
	// minObservation is how long requests must have been counted before the sums are
	// extrapolated: the gaps between a router's first few requests are mostly chance.
	minObservation = 500 * time.Millisecond
	// priorRequests is the number of requests of all routers at which a router's own count weighs
	// as much in the estimate of its share as the assumption that all routers are equal.
	priorRequests = 50
)

// coldStartPeriod is how long after a router's first requests shared prompt parts count as not
// cached at their preferred endpoints, unless this router sent them there. In a fleet that has
// just started they aren't, and prefill takes three times as long. A router that joins a running
// fleet assumes so wrongly, but its demand is a small part of the total.
const coldStartPeriod = 3 * time.Second

// cold reports whether preferred endpoints may not have cached the shared prompt parts yet.
func (d *demand) cold() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.observedFor < coldStartPeriod
}

// extrapolated returns the sums as they would be after an unlimited observation time. A sum that
// covers half a second holds a sixth of its final value: without the extrapolation, routers that
// have just started treat a full load as too small for dedicated endpoints, and a third of the
// tight-gap streams are late for six seconds. d.mu is held.
func (d *demand) extrapolated() Demand {
	observedFor := max(d.observedFor, minObservation)
	fraction := func(halfLife time.Duration) float64 { return 1 - math.Exp2(-observedFor.Seconds()/halfLife.Seconds()) }
	scaled := slices.Clone(d.observed)
	for i := range scaled {
		scaled[i].scale(1/fraction(slowHalfLife), 1/fraction(fastHalfLife))
	}
	return scaled
}

// estimateShare returns a router's share of all requests. Its own count is small at first, and
// routers are then assumed to be equal: without this, a router that joins under load would count
// its first request as a thousand requests of all routers, and all endpoints as full.
func estimateShare(own, all float64, routers int) float64 {
	return (own + priorRequests/float64(routers)) / (all + priorRequests)
}

// share returns this router's share of all requests, from minShare to 1.
func (d *demand) share() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return max(d.ownShare, minShare)
}

// minShare is the share of one router of the largest fleet the design supports.
const minShare = 0.001

// lastIsolation returns the last decision for a service.
func (d *demand) lastIsolation(service string) isolation {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.isolations[service]
}

// lastServiceDemand returns the demand for a service at all routers at the last decision. It must
// not be changed.
func (d *demand) lastServiceDemand(service string) Demand {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.serviceDemand[service]
}

// own returns the demand that this router sees.
func (d *demand) own(now time.Time) Demand {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.decay(now)
	return d.extrapolated()
}

// decay ages the observed demand. d.mu is held.
func (d *demand) decay(now time.Time) {
	if age := now.Sub(d.decayedAt); !d.decayedAt.IsZero() && age > 0 {
		if d.observedFor > 0 || len(d.observed) > 0 {
			d.observedFor += age
		}
		d.observed = d.observed.decay(age)
	}
	d.decayedAt = now
}
