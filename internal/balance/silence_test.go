package balance

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestAnEndpointIsSilentOnlyWhileRequestsAreOpen(t *testing.T) {
	g := NewWithT(t)
	p := NewPool(Config{Policy: NewPromptAware()})
	at := func(d time.Duration) time.Time { return epoch.Add(d) }
	silent := func(d time.Duration) []string { return p.Silent(at(d), time.Second) }
	a := p.SentWork(at(0), "e", Work{})
	p.SentWork(at(900*time.Millisecond), "e", Work{})
	g.Expect(silent(time.Second)).To(BeEmpty())
	g.Expect(silent(1001 * time.Millisecond)).To(Equal([]string{"e"}))
	a.Heard(at(1500 * time.Millisecond))
	g.Expect(silent(2500 * time.Millisecond)).To(BeEmpty())
	g.Expect(silent(2501 * time.Millisecond)).To(Equal([]string{"e"}))
	p.Done(at(2600*time.Millisecond), "e", ResultOK, 0)
	p.Done(at(2600*time.Millisecond), "e", ResultOK, 0)
	g.Expect(silent(time.Minute)).To(BeEmpty())
	p.SentWork(at(time.Minute), "e", Work{})
	g.Expect(silent(time.Minute + time.Second)).To(BeEmpty())
}

// learnQuiet has endpoints of a model answer often enough for their usual silence to be known.
func learnQuiet(p *Pool, endpoints int) {
	all := engines(endpoints)
	p.Views(epoch, all)
	for _, e := range all {
		p.Report(epoch, e.Name, loaded(1, 0))
		a := p.SentWork(epoch, e.Name, Work{Service: "llm"})
		for i := range 3 * leastSamples {
			a.Heard(epoch.Add(time.Duration(20*i) * time.Millisecond))
		}
	}
}

// The silence that counts follows from what peers do; where it may be the router that hears
// nothing, or all have much to do, only a long one does.
func TestASilenceIsOneThatIsUnusualForPeers(t *testing.T) {
	g := NewWithT(t)
	last := epoch.Add(20 * (3*leastSamples - 1) * time.Millisecond)
	// heard has so many of six endpoints go on, and tells who is silent a while later.
	heard := func(n int, after time.Duration) []string {
		p := NewPool(Config{Policy: NewPromptAware()})
		learnQuiet(p, 6)
		for _, e := range engines(n) {
			p.SentWork(last, e.Name, Work{Service: "llm"}).Heard(last.Add(after))
		}
		return p.Silent(last.Add(after), SilenceLimit)
	}
	g.Expect(heard(5, minUnresponsiveTime)).To(BeEmpty())
	g.Expect(heard(5, 600*time.Millisecond)).To(Equal([]string{"e5"}))
	g.Expect(heard(4, 600*time.Millisecond)).To(Equal([]string{"e4", "e5"}))
	g.Expect(heard(2, 600*time.Millisecond)).To(BeEmpty(), "most are so quiet")
	g.Expect(heard(0, 600*time.Millisecond)).To(BeEmpty(), "so are all")
	g.Expect(heard(2, SilenceLimit+time.Millisecond)).To(HaveLen(4), "a second is a silence always")
}

func TestWhereNoPeerIsHeardOfItMayBeTheRouter(t *testing.T) {
	g := NewWithT(t)
	p := NewPool(Config{Policy: NewPromptAware()})
	learnQuiet(p, 1)
	p.Views(epoch, engines(6)) // the others have no requests
	now := epoch.Add(20*3*leastSamples*time.Millisecond + 600*time.Millisecond)
	g.Expect(p.Silent(now, SilenceLimit)).To(BeEmpty())
}

func TestASilenceThatOthersTellOfIsContradictedByWhoHearsOfTheEndpoint(t *testing.T) {
	g := NewWithT(t)
	p := NewPool(Config{Policy: NewPromptAware()})
	all := engines(6)
	avoided := func(now time.Time) bool { return p.Views(now, all)[0].Weight == 0 }
	avoided(epoch)
	one := []FailureWord{{Endpoint: "e0", Silent: 1, SilentMillis: 300}}
	p.HearFailures(epoch, one)
	g.Expect(avoided(epoch)).To(BeFalse(), "one witness, where no load is told")
	p.HearFailures(epoch, []FailureWord{{Endpoint: "e0", Silent: 2, SilentMillis: 300}})
	g.Expect(avoided(epoch)).To(BeTrue())
	now := epoch.Add(2 * time.Second)
	g.Expect(avoided(now)).To(BeFalse(), "nobody tells of it any more")
	earlier := loaded(1, 0)
	earlier.Seq = 1
	p.Report(now.Add(-time.Second), "e0", earlier)
	p.HearFailures(now, one)
	g.Expect(avoided(now)).To(BeTrue(), "its load was told before that, and not since")
	now = now.Add(2 * time.Second)
	later := loaded(1, 0)
	later.Seq = 2
	p.Report(now.Add(-100*time.Millisecond), "e0", later)
	p.HearFailures(now, one)
	g.Expect(avoided(now)).To(BeFalse(), "somebody has heard of it since")
	many := []FailureWord{}
	for _, e := range all[1:5] {
		many = append(many, FailureWord{Endpoint: e.Name, Silent: 3, SilentMillis: 300})
	}
	p.HearFailures(now, many)
	g.Expect(p.Views(now, all)[1].Weight).To(Equal(1.0), "most of them can't be silent at once")
}
