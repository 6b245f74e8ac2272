package fairshare

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// servedBesideLargeTeam simulates a burst of one team and returns what each of the other teams gets of its work, and
// what it gets without the burst.
func servedBesideLargeTeam(routers, large int, sharing bool, disturb func(p *simulation)) (with, without []float64) {
	const warmUp, burst = 2 * time.Second, 30 * time.Second
	run := func(factor float64) []float64 {
		p := newSimulation(routers, sharing)
		p.run(warmUp)
		p.teams[large].factor = factor
		if disturb != nil {
			disturb(p)
		}
		return slices.Delete(p.measure(burst), large, large+1)
	}
	return run(largeFactor), run(0)
}

// Guards against a team that takes the capacity of the others, also if it reaches one router only
// (team 0) or the others do.
func TestOtherTeamsKeepTheirSharesBesideALargeTeam(t *testing.T) {
	for _, routers := range []int{3, 27, 103} {
		for large, reach := range []string{"one router", "three routers", "all routers"} {
			t.Run(fmt.Sprintf("%d routers, large team at %s", routers, reach), func(t *testing.T) {
				g := NewWithT(t)
				with, without := servedBesideLargeTeam(routers, large, true, nil)
				t.Logf("lowest %.3f, worst tenth %.3f, mean %.3f", slices.Min(with), worstTenth(with), mean(with))
				for i := range with {
					g.Expect(with[i]).To(BeNumerically(">=", 0.95*without[i]))
				}
				g.Expect(worstTenth(with)).To(BeNumerically(">=", mean(with)-0.05))
			})
		}
	}
}

// Guards against a simulation in which the other teams keep their shares without shares, so that it shows nothing.
func TestSimulationShowsTheLossOfOtherTeamsWithoutShares(t *testing.T) {
	for _, routers := range []int{3, 27, 103} {
		with, without := servedBesideLargeTeam(routers, 0, false, nil)
		NewWithT(t).Expect(mean(with)).To(BeNumerically("<", 0.95*mean(without)), "%d routers", routers)
	}
}

// Guards against shares that depend on how many routers a team reaches where all teams are above the
// level.
func TestEqualTeamsGetEqualSharesWhateverRoutersTheyReach(t *testing.T) {
	for _, routers := range []int{3, 27, 103} {
		for _, overload := range []float64{1.2, 2, 3} {
			t.Run(fmt.Sprintf("%d routers, %g times", routers, overload), func(t *testing.T) {
				g := NewWithT(t)
				p := newSimulation(routers, true)
				p.capacity = simRate * simWork * simTeams / overload
				p.run(2 * time.Second)
				parts := p.measure(60 * time.Second)
				t.Logf("worst tenth %.3f, mean %.3f", worstTenth(parts), mean(parts))
				g.Expect(worstTenth(parts)).To(BeNumerically(">=", mean(parts)-0.05))
				g.Expect(mean(parts)).To(BeNumerically(">=", 0.95/overload), "the capacity is used")
			})
		}
	}
}

// during calls do once, the given time after the start of the burst.
func during(p *simulation, after time.Duration, do func()) {
	done := false
	p.onStep = func(p *simulation) {
		if !done && p.elapsed >= 2*time.Second+after {
			done = true
			do()
		}
	}
}

// Guards against sums of routers that are gone, and against a router without state that treats all
// teams alike.
func TestSharesHoldWhileRoutersAreKilledOrRestarted(t *testing.T) {
	for name, disturb := range map[string]func(p *simulation){
		"killed": func(p *simulation) {
			// A router that loses all others doesn't know whether it is cut off, see below.
			during(p, 5*time.Second, func() { p.routers[0].down, p.routers[1].down = true, len(p.routers) > 3 })
		},
		"restarted": func(p *simulation) { during(p, 5*time.Second, func() { p.start(0); p.start(1); p.start(2) }) },
	} {
		for _, routers := range []int{3, 27} {
			t.Run(fmt.Sprintf("%s, %d routers", name, routers), func(t *testing.T) {
				with, without := servedBesideLargeTeam(routers, 2, true, disturb)
				t.Logf("lowest %.3f, mean %.3f", slices.Min(with), mean(with))
				for i := range with {
					NewWithT(t).Expect(with[i]).To(BeNumerically(">=", 0.95*without[i]))
				}
			})
		}
	}
}

// Guards against shares that do harm where routers know too little of others: no team may get less
// than without shares, within the 0.05 that the requirements allow.
func TestTeamsLoseNothingWhereRoutersKnowNothingOfOthers(t *testing.T) {
	for name, disturb := range map[string]func(p *simulation){
		"one cut off": func(p *simulation) { during(p, 5*time.Second, func() { p.routers[1].cut = true }) },
		"all silent": func(p *simulation) {
			during(p, 5*time.Second, func() {
				for _, r := range p.routers {
					r.cut = true
				}
			})
		},
		"a third of the previous version": func(p *simulation) {
			for i, r := range p.routers {
				r.old = i%3 == 1
			}
		},
	} {
		for _, routers := range []int{3, 27} {
			t.Run(fmt.Sprintf("%s, %d routers", name, routers), func(t *testing.T) {
				g := NewWithT(t)
				with, _ := servedBesideLargeTeam(routers, 2, true, disturb)
				off, _ := servedBesideLargeTeam(routers, 2, false, disturb)
				t.Logf("lowest %.3f, mean %.3f, without shares %.3f", slices.Min(with), mean(with), mean(off))
				g.Expect(mean(with)).To(BeNumerically(">=", 0.99*mean(off)))
				for i := range with {
					g.Expect(with[i]).To(BeNumerically(">=", off[i]-0.05))
				}
			})
		}
	}
}

// Guards against refusals that outlast the shortage, and against unused shares that stay unused.
func TestUnusedSharesGoToOthersAtOnce(t *testing.T) {
	g := NewWithT(t)
	p := newSimulation(27, true)
	p.teams[2].factor = largeFactor
	p.run(10 * time.Second)
	for i := range p.teams {
		if i != 2 && i%2 == 0 {
			p.teams[i].factor = 0
		}
	}
	p.run(time.Second)
	g.Expect(p.measure(5 * time.Second)[2]).To(BeNumerically(">=", 0.97))
}

// Guards against refusals of teams that reach one router while few routers report: such a team counts in
// full, and teams that reach all routers count only with those that report.
func TestFewReportingRoutersRefuseNoOneForAShare(t *testing.T) {
	for _, reporting := range []int{2, 25} {
		t.Run(fmt.Sprintf("%d of 27", reporting), func(t *testing.T) {
			g := NewWithT(t)
			served := func(sharing bool) []float64 {
				p := newSimulation(27, sharing)
				for i, r := range p.routers {
					r.old = i >= reporting
				}
				p.teams[0].routers = []int{0} // reaches a router that reports
				p.capacity = simRate * simWork * simTeams / simOverload
				p.run(2 * time.Second)
				return p.measure(30 * time.Second)
			}
			with, without := served(true), served(false)
			t.Logf("team at one router %.3f, without shares %.3f; mean %.3f, without %.3f", with[0], without[0], mean(with), mean(without))
			g.Expect(with[0]).To(BeNumerically(">=", without[0]-0.05))
			g.Expect(mean(with)).To(BeNumerically(">=", 0.99/simOverload), "the capacity is used")
		})
	}
}
