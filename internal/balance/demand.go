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

// Kind holds decaying sums over the requests for a service with the same maximum gap.
type Kind struct {
	Service string `json:"service"`
	// GapMillis is the longest allowed pause between two events; 0 means no limit.
	GapMillis int64 `json:"gap"`
	// Requests is the number of requests with the longer half-life, RecentRequests with the
	// shorter.
	Requests float64 `json:"n"`
	Recent   float64 `json:"recent"`
	// TierSum is the sum of the priority tiers of Requests; the highest priority adds 0.
	Ranks float64 `json:"rank"`
	// PrefillSeconds is the prefill time of Requests, and SlotSeconds the time for which they
	// hold a slot.
	Read float64 `json:"read"`
	Held float64 `json:"held"`
	// Ended is the number of responses that ended, and Late of those that exceeded their
	// objective or maximum gap.
	Ended float64 `json:"ended"`
	Late  float64 `json:"late"`
}

// rate returns the kind's requests a second. It rises with the shorter half-life and falls with
// the longer one: an endpoint that accepts long prompts while tight-gap streams still run there
// makes them late.
func (k Kind) rate() float64 {
	return math.Ln2 * max(k.Requests/slowHalfLife.Seconds(), k.Recent/fastHalfLife.Seconds())
}

// meanPrefillSeconds and meanSlotSeconds are the means per request.
func (k Kind) read() float64 { return perRequest(k.Read, k.Requests) }
func (k Kind) held() float64 { return perRequest(k.Held, k.Requests) }

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
func (d Demand) Plus(o Demand) Demand {
	sum := slices.Clone(d)
	for _, k := range o {
		i := sum.findOrInsert(k.key())
		if i < 0 {
			continue
		}
		sum[i].Requests += k.Requests
		sum[i].Recent += k.Recent
		sum[i].Ranks += k.Ranks
		sum[i].Read += k.Read
		sum[i].Held += k.Held
		sum[i].Ended += k.Ended
		sum[i].Late += k.Late
	}
	return sum
}

// Scale returns the demand multiplied by x, for example by the number of equal routers.
func (d Demand) Times(x float64) Demand {
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
	k.Ranks *= slow
	k.Read *= slow
	k.Held *= slow
	k.Ended *= slow
	k.Late *= slow
	k.Recent *= fast
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
type Others struct {
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
	seen        Demand
	// slotTimes is the average slot time of each kind's streams, in seconds.
	slotTimes map[kindKey]runningMean
	// peerDemand returns the demand that other routers see; nil if they don't report it.
	others func() Others
	// separations holds the most recent decision for each service.
	last map[string]separation
	// ownShare is this router's share of all requests as last computed; 0 before.
	ownShare float64
}

// add counts a request of a priority tier with the given prefill time.
func (d *demand) add(now time.Time, key kindKey, tier int, prefill time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.decay(now)
	i := d.seen.findOrInsert(key)
	if i < 0 {
		return
	}
	k := &d.seen[i]
	k.Requests++
	k.Recent++
	k.Ranks += float64(tier)
	k.Read += prefill.Seconds()
	k.Held += d.slotTimeOf(key)
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
	for _, k := range d.seen {
		if k.Service == service {
			slotSeconds += k.Held
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
func (d *demand) ended(now time.Time, key kindKey, slotTime time.Duration, late bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.decay(now)
	i := d.seen.findOrInsert(key)
	if i < 0 {
		return
	}
	d.seen[i].Ended++
	if late {
		d.seen[i].Late++
	}
	if d.slotTimes == nil || len(d.slotTimes) > maxKinds {
		d.slotTimes = make(map[kindKey]runningMean)
	}
	d.slotTimes[key] = d.slotTimes[key].add(slotTime.Seconds())
}

// decideIsolation decides how many endpoints of a service are dedicated now, and to which kinds.
func (d *demand) separate(now time.Time, service string, f fleet) separation {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.decay(now)
	own := d.whole()
	all, routers := own, 1
	if d.others != nil {
		peers := d.others()
		all = all.Plus(peers.Demand)
		routers += peers.Routers
	}
	d.ownShare = estimateShare(own.requests(), all.requests(), routers)
	if d.last == nil || len(d.last) > maxKinds {
		d.last = make(map[string]separation)
	}
	next := d.last[service].next(all.forService(service), f)
	d.last[service] = next
	return next
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
const coldFor = 3 * time.Second

// cold reports whether preferred endpoints may not have cached the shared prompt parts yet.
func (d *demand) cold() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.observedFor < coldFor
}

// extrapolated returns the sums as they would be after an unlimited observation time. A sum that
// covers half a second holds a sixth of its final value: without the extrapolation, routers that
// have just started treat a full load as too small for dedicated endpoints, and a third of the
// tight-gap streams are late for six seconds. d.mu is held.
func (d *demand) whole() Demand {
	observedFor := max(d.observedFor, minObservation)
	fraction := func(halfLife time.Duration) float64 { return 1 - math.Exp2(-observedFor.Seconds()/halfLife.Seconds()) }
	scaled := slices.Clone(d.seen)
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

// lastSeparation returns the last decision for a service.
func (d *demand) decided(service string) separation {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.last[service]
}

// own returns the demand that this router sees.
func (d *demand) own(now time.Time) Demand {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.decay(now)
	return d.whole()
}

// decay ages the observed demand. d.mu is held.
func (d *demand) decay(now time.Time) {
	if age := now.Sub(d.decayedAt); !d.decayedAt.IsZero() && age > 0 {
		if d.observedFor > 0 || len(d.seen) > 0 {
			d.observedFor += age
		}
		d.seen = d.seen.decay(age)
	}
	d.decayedAt = now
}
