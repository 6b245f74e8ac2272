package balance

// A failure domain of 19 of 56 endpoints fell silent. Each router left an endpoint there only
// once a request of its own had waited at it for a second, and went on to the next one: of 249
// urgent requests of five seconds 27 got nothing, the last sent 2.3 s after the silence began.

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/bundle"
)

// domainLab is a router before endpoints in three failure domains. It looks for silences
// each tick and has a request open at each endpoint, which answers on unless it is mute.
type domainLab struct {
	p    *Pool
	now  time.Time
	all  []*bundle.Endpoint
	open []*Account
}

// newDomainLab has two endpoints in each failure domain.
func newDomainLab() *domainLab { return newDomainLabOf(6) }

func newDomainLabOf(endpoints int) *domainLab {
	l := &domainLab{p: NewPool(Config{Policy: NewPromptAware()}), now: epoch, all: engines(endpoints)}
	l.p.Views(epoch, l.all)
	for _, e := range l.all {
		l.p.Report(epoch, e.Name, loaded(1, 0))
		l.open = append(l.open, l.p.SentWork(epoch, e.Name, Work{Service: "llm"}))
	}
	l.run(2 * time.Second)
	return l
}

// run has time pass in which the endpoints answer but for the mute ones.
func (l *domainLab) run(d time.Duration, mute ...int) {
	const (
		between = 20 * time.Millisecond
		// A look falls between two answers, or there would be no pause to learn from.
		offset = 7 * time.Millisecond
	)
	for end := l.now.Add(d); l.now.Before(end); {
		l.now = l.now.Add(between)
		for i, a := range l.open {
			if a != nil && !slices.Contains(mute, i) {
				a.Heard(l.now)
			}
		}
		if l.now.Sub(epoch)%SilenceTick == 0 {
			l.p.Silent(l.now.Add(offset), SilenceLimit)
		}
	}
}

// avoided lists the endpoints that get no new work.
func (l *domainLab) avoided() []string {
	var names []string
	for _, v := range l.p.Views(l.now, l.all) {
		if v.Weight == 0 {
			names = append(names, v.Endpoint)
		}
	}
	return names
}

func TestAFailureDomainThatFallsSilentIsAvoidedWhole(t *testing.T) {
	g := NewWithT(t)
	l := newDomainLab()
	var events []SilentDomain
	l.p.cfg.OnSilentDomain = func(e SilentDomain) { events = append(events, e) }
	l.run(200*time.Millisecond, 0, 3)
	g.Expect(l.avoided()).To(BeEmpty())
	l.run(160*time.Millisecond, 0, 3)
	g.Expect(l.avoided()).To(Equal([]string{"e0", "e3"}), "before it is found at either alone and told")
	g.Expect(l.p.SilentDomains()).To(Equal(1))
	l.run(time.Second)
	g.Expect(l.avoided()).To(BeEmpty(), "it is heard of again")
	g.Expect(events).To(Equal([]SilentDomain{
		{Group: "service llm", FailureDomain: "0", Endpoints: 2, Silent: true},
		{Group: "service llm", FailureDomain: "0"},
	}))
}

func TestAFailureDomainIsNotSilentWhileOneOfItsEndpointsAnswers(t *testing.T) {
	g := NewWithT(t)
	l := newDomainLab()
	l.run(500*time.Millisecond, 3)
	g.Expect(l.avoided()).NotTo(ContainElement("e0"))
}

func TestFailureDomainsAreNotTakenForSilentWhereMostAre(t *testing.T) {
	g := NewWithT(t)
	l := newDomainLab()
	l.run(500*time.Millisecond, 0, 1, 3, 4)
	g.Expect(l.avoided()).To(BeEmpty(), "two thirds of all: it may be this router")
	l = newDomainLab()
	l.run(500*time.Millisecond, 0, 1, 2, 3, 4, 5)
	g.Expect(l.avoided()).To(BeEmpty(), "all of them")
}

// Whoever is cut off from whom: a third of the endpoints answers, and several of each failure domain
// don't. Evidence: where none was avoided 276 of 408 urgent requests got nothing.
func TestTwoFailureDomainsOfThreeAreTakenForSilentBySeveralEndpointsEach(t *testing.T) {
	g := NewWithT(t)
	l := newDomainLabOf(9)
	l.run(500*time.Millisecond, 0, 1, 3, 4, 6, 7)
	g.Expect(l.avoided()).To(Equal([]string{"e0", "e1", "e3", "e4", "e6", "e7"}))
	l = newDomainLabOf(9)
	l.run(500*time.Millisecond, 0, 1, 3, 4, 6)
	g.Expect(l.avoided()).To(Equal([]string{"e0", "e3", "e6"}), "of the other domain one answers")
	l = newDomainLabOf(9)
	l.run(500*time.Millisecond, 0, 1, 2, 3, 4, 5, 6, 7, 8)
	g.Expect(l.avoided()).To(BeEmpty(), "nothing is heard of the rest")
}

// A router that uses the endpoints of one failure domain only may be cut off itself.
func TestAFailureDomainIsNotSilentWhereNothingIsHeardOfTheRest(t *testing.T) {
	g := NewWithT(t)
	l := newDomainLab()
	for _, i := range []int{1, 2, 4, 5} {
		l.open[i].Done(l.now, ResultOK)
		l.open[i] = nil
	}
	l.run(300 * time.Millisecond)
	l.run(600*time.Millisecond, 0, 3)
	g.Expect(l.p.SilentDomains()).To(BeZero())
}

// A router that stood still has read what some endpoints sent meanwhile and not yet what others
// did.
func TestARouterThatStoodStillTakesNoFailureDomainForSilent(t *testing.T) {
	g := NewWithT(t)
	l := newDomainLab()
	l.now = l.now.Add(900 * time.Millisecond)
	l.run(200*time.Millisecond, 0, 3)
	g.Expect(l.avoided()).To(BeEmpty())
}

// A router with no request there goes by what others found, until anybody hears of the failure
// domain.
func TestAFailureDomainIsAvoidedWhereOthersFoundItsEndpointsSilent(t *testing.T) {
	g := NewWithT(t)
	told := func(endpoints ...string) []FailureWord {
		var words []FailureWord
		for _, e := range endpoints {
			words = append(words, FailureWord{Endpoint: e, Silent: 2, SilentMillis: 600})
		}
		return words
	}
	idle := func() *domainLab {
		l := newDomainLab()
		for _, i := range []int{0, 3} {
			l.open[i].Done(l.now, ResultOK)
			l.open[i] = nil
		}
		l.run(600 * time.Millisecond)
		return l
	}
	l := idle()
	l.p.HearFailures(l.now, told("e0", "e3"))
	l.run(SilenceTick)
	g.Expect(l.avoided()).To(Equal([]string{"e0", "e3"}))
	g.Expect(l.p.SilentDomains()).To(Equal(1))
	l = idle()
	l.p.HearFailures(l.now, told("e3"))
	l.run(SilenceTick)
	g.Expect(l.p.SilentDomains()).To(BeZero(), "one endpoint may have ended alone")
	l = idle()
	l.p.HearFailures(l.now, told("e0", "e3"))
	l.p.HearLoads(l.now, []LoadWord{{Endpoint: "e0"}})
	l.run(SilenceTick)
	g.Expect(l.p.SilentDomains()).To(BeZero(), "somebody hears of it")
}

func TestAnEndpointIsLostOnceItsFailureDomainWasSilentForASecond(t *testing.T) {
	g := NewWithT(t)
	l := newDomainLabOf(9)
	l.run(900*time.Millisecond, 0, 3, 6)
	g.Expect(l.avoided()).To(Equal([]string{"e0", "e3", "e6"}))
	g.Expect(l.p.Lost()).To(BeEmpty())
	l.run(200*time.Millisecond, 0, 3, 6)
	g.Expect(l.p.Lost()).To(ConsistOf("e0", "e3", "e6"))
	g.Expect(l.p.InUse(l.now, "e0")).To(BeFalse())
	g.Expect(l.p.InUse(l.now, "e1")).To(BeTrue())
	l.run(200 * time.Millisecond)
	g.Expect(l.p.Lost()).To(BeEmpty())
	l.run(2*time.Second, 0, 3)
	g.Expect(l.p.Lost()).To(BeEmpty(), "the third answers")
	l = newDomainLab()
	l.run(2*time.Second, 0, 3)
	g.Expect(l.p.SilentDomains()).To(Equal(1))
	g.Expect(l.p.Lost()).To(BeEmpty(), "two endpoints may be slow at once")
}
