package balance

// All routers of a fleet start at once under full load. For six seconds a third of the streams with
// tight gap limits were late: sums counted for half a second held a sixth of their final values, and
// for so small a load no endpoints are dedicated. At 103 routers and 180 endpoints the share of late
// streams was .32 in the first two seconds and .02 from the eighth on. In the first test no endpoint
// was dedicated after .6 s without the extrapolation, and with it as many as after ten seconds.

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const fleetRouters = 103

// addArrivals adds the requests of one router of the fleet at equal intervals: long prompts, and
// half as many streams with a tight gap limit.
func addArrivals(d *demand, from, to time.Duration) {
	long, tight := kindKey{"s", 1500}, kindKey{"s", 400}
	const every = 250 * time.Millisecond
	for n := from / every; n*every+every/2 < to; n++ {
		at := epoch.Add(n*every + every/2)
		d.add(at, long, 2, 120*time.Millisecond)
		if n%2 == 1 {
			d.add(at, tight, 0, 15*time.Millisecond)
		}
	}
}

func fleetDemand() *demand {
	d := &demand{}
	d.peerDemand = func() PeerDemand {
		return PeerDemand{Demand: d.extrapolated().Scale(fleetRouters - 1), Routers: fleetRouters - 1}
	}
	return d
}

func TestNewFleetEstimatesItsDemandSoon(t *testing.T) {
	g := NewWithT(t)
	f := serviceEndpoints{endpoints: 180, slots: 64, gap: 40 * time.Millisecond}
	d := fleetDemand()
	addArrivals(d, 0, 600*time.Millisecond)
	soon := d.decideIsolation(epoch.Add(600*time.Millisecond), "s", f)
	addArrivals(d, 600*time.Millisecond, 10*time.Second)
	late := d.decideIsolation(epoch.Add(10*time.Second), "s", f)
	g.Expect(late.dedicated).To(BeNumerically(">", 0))
	g.Expect(soon.dedicated).To(BeNumerically("~", late.dedicated, 0.35*float64(late.dedicated)))
	g.Expect(soon.gapLimits).To(Equal(late.gapLimits))
}

// A router that joins under load has seen hardly any requests of its own.
func TestJoiningRouterAssumesAnAverageShare(t *testing.T) {
	g := NewWithT(t)
	d := &demand{}
	d.peerDemand = func() PeerDemand {
		return PeerDemand{Demand: Demand{{Service: "s", GapMillis: 400, Requests: 2500, RecentRequests: 1250, SlotSeconds: 2500}}, Routers: fleetRouters - 1}
	}
	f := serviceEndpoints{endpoints: 180, slots: 64}
	d.decideIsolation(epoch, "s", f)
	g.Expect(d.share()).To(BeNumerically("~", 1.0/fleetRouters, 0.01))
	// A router with most of the traffic finds a larger share.
	for i := range 4000 {
		d.add(epoch.Add(time.Duration(i)*time.Millisecond), kindKey{"s", 400}, 0, 0)
	}
	d.decideIsolation(epoch.Add(4*time.Second), "s", f)
	g.Expect(d.share()).To(BeNumerically(">", 0.4))
}

// The first requests after an idle time count as they are.
func TestIdleRouterDoesNotOverestimateItsFirstRequests(t *testing.T) {
	g := NewWithT(t)
	d := &demand{}
	addArrivals(d, 0, 4*time.Second)
	steady := d.own(epoch.Add(4 * time.Second))
	addArrivals(d, time.Minute, time.Minute+time.Second)
	g.Expect(d.own(epoch.Add(time.Minute + time.Second))[1].Requests).To(BeNumerically("<", 0.6*steady[1].Requests))
}

// In a fleet that has just started no preferred endpoint has cached anything.
func TestSharedPartsCountAsUncachedAtFirst(t *testing.T) {
	g := NewWithT(t)
	policy := NewPromptAware()
	p := NewPool(Config{Policy: policy})
	all := newEndpoints(9)
	mean := func(now time.Time) float64 {
		d := policy.Demand(now)
		return d[len(d)-1].meanPrefillSeconds()
	}
	sendOne := func(now time.Time, key int) {
		_, a := chooseAndSend(p, now, unsharedRequest(uint64(key)), all)
		a.Release()
	}
	for i := range 4 {
		sendOne(epoch.Add(time.Duration(i)*100*time.Millisecond), 100+i)
	}
	first := mean(epoch.Add(400 * time.Millisecond))
	for i := range 100 {
		sendOne(epoch.Add(coldStartPeriod+time.Duration(i)*100*time.Millisecond), 200+i)
	}
	g.Expect(first).To(BeNumerically(">", 2*mean(epoch.Add(coldStartPeriod+10*time.Second))))
}
