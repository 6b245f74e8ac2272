package balance

import (
	"testing"

	. "github.com/onsi/gomega"
)

// A router that hasn't seen streams of an endpoint goes by what others say of its pace.
func TestTheLoadReportsOfOthersTellOfSlowEndpoints(t *testing.T) {
	g := NewWithT(t)
	p := NewPool(Config{})
	viewOf(p, epoch, 0)
	g.Expect(viewOf(p, epoch, 0).Slow).To(BeFalse())
	p.HearLoads(epoch, []LoadWord{{Endpoint: "e0", Pace: PaceSlow}})
	g.Expect(viewOf(p, epoch, 0).Slow).To(BeTrue())
	p.HearLoads(epoch, []LoadWord{{Endpoint: "e0"}})
	g.Expect(viewOf(p, epoch, 0).Slow).To(BeTrue(), "a router that doesn't know changes nothing")
	p.HearLoads(epoch, []LoadWord{{Endpoint: "e0", Pace: PaceUsual}})
	g.Expect(viewOf(p, epoch, 0).Slow).To(BeFalse())
}

// What differs by load, or a little by VM, moves no homes.
func TestEndpointsThatDifferLittleAreNotSlow(t *testing.T) {
	g := NewWithT(t)
	e := &engineSpeeds{}
	sample := func(own *quantile, perToken float64, n int) {
		for range n {
			e.sawTokens(perToken)
			own.add(perToken, bestQuantile)
		}
	}
	var usual, larger, slow quantile
	sample(&usual, 0.005, 40)
	sample(&larger, 0.0065, 40)
	sample(&slow, 0.012, 40)
	sample(&usual, 0.005, 200)
	g.Expect(e.paceOf(usual, PaceUnknown)).To(Equal(PaceUsual))
	g.Expect(e.paceOf(larger, PaceUnknown)).To(Equal(PaceUsual))
	g.Expect(e.paceOf(slow, PaceUnknown)).To(Equal(PaceSlow))
	g.Expect(e.paceOf(quantile{value: 1, samples: leastPace - 1}, PaceUsual)).To(Equal(PaceUsual), "too little is known")
	between := quantile{value: 1.65 * e.best.value, samples: leastPace}
	g.Expect(e.paceOf(between, PaceSlow)).To(Equal(PaceSlow))
	g.Expect(e.paceOf(between, PaceUsual)).To(Equal(PaceUsual))
}

func TestSlowEndpointsAreHomesOfFewerPrompts(t *testing.T) {
	g := NewWithT(t)
	views := make([]View, 6)
	group := make([]int, len(views))
	for i := range views {
		views[i] = View{Endpoint: engines(6)[i].Name, Slow: i%3 == 0}
		group[i] = i
	}
	homes := make([]int, len(views))
	const keys = 12_000
	for key := range uint64(keys) {
		homes[homeOf(long(key+1), views, group)]++
	}
	each := keys / (4 + 2*slowHomes)
	for i, n := range homes {
		want := each
		if views[i].Slow {
			want *= slowHomes
		}
		g.Expect(float64(n)).To(BeNumerically("~", want, 0.1*want), views[i].Endpoint)
	}
}
