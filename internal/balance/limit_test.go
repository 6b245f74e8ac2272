package balance

// Endpoints in need say in their answers how many requests a second they take from all
// routers. What a router hears of that, by which of several answers it goes, and what it sends.

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/bundle"
	"coveferry/internal/endpointrate"
	"coveferry/internal/prompt"
	"coveferry/internal/upstream"
)

func names(perSecond float64) upstream.RateLimit {
	return upstream.RateLimit{Statement: upstream.LimitNamed, PerSecond: perSecond}
}

var namesNone = upstream.RateLimit{}

// at is a moment of a test.
func at(millis int) time.Time { return epoch.Add(time.Duration(millis) * time.Millisecond) }

// ask is a request that two routers' worth of callers send.
var ask = Request{Service: "llm", Prompt: prompt.Prompt{Tokens: 900, Output: 50}}

// countSent is how many requests each endpoint is sent from one moment to another, where one
// is sent every ten milliseconds.
func countSent(p *Pool, req Request, all []*bundle.Endpoint, from, to int) map[string]int {
	sent := make(map[string]int)
	for ms := from; ms < to; ms += 10 {
		if e, err := p.Choose(at(ms), req, all, nil); err == nil {
			sent[e.Name]++
		}
	}
	return sent
}

func TestARouterFollowsTheLimitAsItChanges(t *testing.T) {
	g := NewWithT(t)
	p := NewPool(Config{Policy: NewPromptAware(), Seed: 1})
	all := engines(1)
	hear := func(ms int, said upstream.RateLimit) { p.HearLimit(at(ms), at(ms), "e0", said) }
	g.Expect(countSent(p, ask, all, 0, 1000)["e0"]).To(Equal(100))
	hear(1000, names(2))
	g.Expect(countSent(p, ask, all, 1000, 5000)["e0"]).To(BeNumerically("~", 8, 2))
	hear(5000, names(20))
	g.Expect(countSent(p, ask, all, 5000, 9000)["e0"]).To(BeNumerically("~", 80, 5), "it goes up")
	hear(9000, names(0.5))
	g.Expect(countSent(p, ask, all, 9000, 13000)["e0"]).To(BeNumerically("~", 2, 1), "it goes down")
	hear(13000, names(0))
	n := countSent(p, ask, all, 13000, 53000)["e0"]
	g.Expect(n).To(BeNumerically("<=", 5), "0 is asked again now and then")
	g.Expect(n).To(BeNumerically(">=", 3), "or nobody would hear that it takes more")
	hear(53000, upstream.RateLimit{Statement: upstream.LimitUnreadable})
	g.Expect(countSent(p, ask, all, 53000, 54000)["e0"]).To(BeNumerically("<=", 1), "what can't be read changes nothing")
	hear(54000, namesNone)
	g.Expect(countSent(p, ask, all, 54000, 55000)["e0"]).To(Equal(100), "it is no longer named")
	hear(55000, upstream.RateLimit{Statement: upstream.LimitUnreadable})
	g.Expect(countSent(p, ask, all, 55000, 56000)["e0"]).To(Equal(100))
	hear(56000, names(1e300))
	g.Expect(countSent(p, ask, all, 56000, 57000)["e0"]).To(Equal(100))
}

func TestOfAnswersThatOvertakeEachOtherTheLaterStatementCounts(t *testing.T) {
	g := NewWithT(t)
	p := NewPool(Config{})
	e := engines(1)[0]
	limited := func(ms int) bool { _, ok := p.LimitOf(at(ms), e); return ok }
	p.HearLimit(at(100), at(50), "e0", names(1))
	// It was sent before the endpoint said so, and was long on its way.
	p.HearLimit(at(150), at(90), "e0", namesNone)
	g.Expect(limited(150)).To(BeTrue())
	p.HearLimit(at(300), at(200), "e0", namesNone)
	g.Expect(limited(300)).To(BeFalse())
	p.HearLimit(at(320), at(250), "e0", names(1))
	g.Expect(limited(320)).To(BeFalse())
	p.HearLimit(at(420), at(350), "e0", names(1))
	g.Expect(limited(420)).To(BeTrue())
}

// First tries, retries, streams that go on from a copy, and health checks take from one part.
func TestAllThatIsSentToAnEndpointCountsAgainstItsLimit(t *testing.T) {
	g := NewWithT(t)
	p := NewPool(Config{Policy: NewPromptAware(), Seed: 1})
	all := engines(1)
	p.HearLimit(epoch, epoch, "e0", names(1))
	again := ask
	again.Again = true
	sent := 0
	for ms := 0; ms < 8000; ms += 10 {
		switch ms / 10 % 4 {
		case 0:
			sent += countSent(p, ask, all, ms, ms+10)["e0"]
		case 1:
			sent += countSent(p, again, all, ms, ms+10)["e0"]
		case 2:
			if p.Take(at(ms), all[0], ask) {
				sent++
			}
		case 3:
			if p.MayCheck(at(ms), all[0]) {
				sent++
			}
		}
	}
	g.Expect(sent).To(BeNumerically("~", 8, 2))
	g.Expect(p.Limits()).To(Equal(LimitSum{Endpoints: 1, PerSecond: 1, Part: 1, Sent: int64(sent)}))
}

func TestARequestGoesElsewhereOrIsToldWhenAnEndpointTakesIt(t *testing.T) {
	g := NewWithT(t)
	part := 0.5
	p := NewPool(Config{Policy: NewPromptAware(), Seed: 1, Part: func(time.Time, endpointrate.Bound) float64 { return part }})
	all := engines(2)
	p.HearLimit(epoch, epoch, "e0", names(1))
	sent := countSent(p, ask, all, 0, 4000)
	g.Expect(sent["e0"]).To(BeNumerically("~", 2, 1))
	g.Expect(sent["e0"] + sent["e1"]).To(Equal(400))
	p.HearLimit(at(4000), at(4000), "e1", names(1))
	countSent(p, ask, all, 4000, 4200)
	_, err := p.Choose(at(4200), ask, all, nil)
	var none *NoEndpointError
	g.Expect(err).To(BeAssignableToTypeOf(none))
	none = err.(*NoEndpointError)
	g.Expect(none.Bounded).To(Equal(2))
	g.Expect(none.FreeIn).To(BeNumerically(">", 0))
	g.Expect(none.FreeIn).To(BeNumerically("<=", 2*time.Second))
	_, err = p.Choose(at(4200).Add(none.FreeIn), ask, all, nil)
	g.Expect(err).NotTo(HaveOccurred(), "it is true")
	// A router that owns no part is told how often others send.
	part = 0
	_, err = p.Choose(at(9000), ask, all, nil)
	g.Expect(err.(*NoEndpointError).FreeIn).To(Equal(time.Second))
}

func TestWhatAnEndpointInNeedDoesIsNotLearned(t *testing.T) {
	g := NewWithT(t)
	p := NewPool(Config{Policy: NewPromptAware(), Seed: 1})
	all := engines(3)
	p.HearLimit(epoch, epoch, "e0", names(1e6))
	for i := range 100 {
		now := at(10 * i)
		a := p.SentWork(now, "e0", Work{Service: "llm", Prompt: ask.Prompt})
		a.Event(now.Add(5 * time.Second)) // slow
		a.Ended()
		a.Done(now, ResultFailed)
	}
	views := p.Views(at(2000), all)
	g.Expect(views[0].Weight).To(Equal(1.0), "it isn't taken for failing")
	g.Expect(views[0].First).To(Equal(views[1].First), "nor its peers for slow")
	g.Expect(p.FailureWords(at(2000), 9)).To(BeEmpty(), "nor are other routers told so")
}

// A limit counts an endpoint out of what decides where homes are only where it leaves
// requests out.
func TestALimitThatNothingComesUpAgainstChangesNothing(t *testing.T) {
	g := NewWithT(t)
	p := NewPool(Config{Policy: NewPromptAware(), Seed: 1})
	all := engines(2)
	p.HearLimit(epoch, epoch, "e0", names(1e6))
	p.HearLimit(epoch, epoch, "e1", names(1))
	countSent(p, ask, all, 0, 1000)
	views := p.Views(at(1000), all)
	g.Expect(views[0].Aside).To(BeFalse())
	g.Expect(views[1].Aside).To(BeTrue())
}

func TestAProcessThatTakesAnotherOnesPlaceNamesItsOwnLimit(t *testing.T) {
	g := NewWithT(t)
	p, other := NewPool(Config{}), NewPool(Config{})
	e := engines(1)[0]
	for _, pool := range []*Pool{p, other} {
		pool.HearLimit(epoch, epoch, "e0", names(1))
	}
	p.Restart(at(1000), "e0")
	_, limited := p.LimitOf(at(1000), e)
	g.Expect(limited).To(BeFalse())
	// Another router hasn't heard of the restart, and tells of the process before.
	p.HearLimits(at(1100), at(1100), other.TellLimits(at(1100), 0, time.Minute).Words)
	_, limited = p.LimitOf(at(1100), e)
	g.Expect(limited).To(BeFalse())
}

// tell has one pool tell another, as a question to a reader does.
func tell(now time.Time, from, to *Pool, within time.Duration) LimitWords {
	words := from.TellLimits(now, to.TellLimits(now, 0, 0).Digest(), within)
	to.HearLimits(now, now, words.Words)
	return words
}

func TestRoutersTellEachOtherWhichLimitsHold(t *testing.T) {
	g := NewWithT(t)
	const within = time.Second
	a, b := NewPool(Config{}), NewPool(Config{})
	e := engines(1)[0]
	limited := func(p *Pool) bool { _, ok := p.LimitOf(epoch, e); return ok }
	a.HearLimit(at(0), at(0), "e0", names(1))
	tell(at(100), a, b, within)
	g.Expect(limited(b)).To(BeFalse(), "it doesn't know the endpoint")
	b.SetLeaving("e0", false)
	tell(at(200), a, b, within)
	g.Expect(limited(b)).To(BeTrue())
	g.Expect(tell(at(5000), a, b, within).Words).To(BeEmpty(), "where both know the same nothing is told")
	// It is no longer named, which one of them hears while they are cut off from each other.
	a.HearLimit(at(6000), at(5900), "e0", namesNone)
	tell(at(20000), b, a, within)
	g.Expect(limited(a)).To(BeFalse(), "what is told is older")
	tell(at(20000), a, b, within)
	g.Expect(limited(b)).To(BeFalse(), "the digests differ")
	// A limit that changes a little is no news, one that changes much is.
	a.HearLimit(at(21000), at(21000), "e0", names(1))
	tell(at(21100), a, b, within)
	a.HearLimit(at(25000), at(25000), "e0", names(1.05))
	g.Expect(tell(at(25100), a, b, within).Words).To(BeEmpty())
	a.HearLimit(at(26000), at(26000), "e0", names(1.2))
	g.Expect(tell(at(26100), a, b, within).Words).To(HaveLen(1))
	use, _ := b.LimitOf(at(26100), e)
	g.Expect(use.PerSecond).To(Equal(1.2))
	g.Expect(use.Age).To(Equal(100 * time.Millisecond))
}

// What two routers tell each other again and again doesn't become newer by it.
func TestALimitDoesNotOutliveItsEndByBeingTold(t *testing.T) {
	g := NewWithT(t)
	a, b := NewPool(Config{}), NewPool(Config{})
	a.SetLeaving("e0", false)
	b.SetLeaving("e0", false)
	a.HearLimit(at(0), at(0), "e0", names(1))
	for ms := 10; ms < 5000; ms += 10 {
		// A word takes up to 50 ms from one to the other.
		b.HearLimits(at(ms+50), at(ms+50), a.TellLimits(at(ms), 1, time.Minute).Words)
		a.HearLimits(at(ms+50), at(ms+50), b.TellLimits(at(ms), 1, time.Minute).Words)
	}
	use, _ := a.LimitOf(at(5000), engines(1)[0])
	g.Expect(use.Age).To(BeNumerically(">=", 5*time.Second-timestampTolerance))
}

func TestManyLimitsAreToldInTurn(t *testing.T) {
	g := NewWithT(t)
	a, b := NewPool(Config{}), NewPool(Config{})
	const many = 100
	for i := range many {
		name := fmt.Sprint("e", i)
		b.SetLeaving(name, false)
		a.HearLimit(at(0), at(0), name, names(1))
	}
	for _, started := range []int{1, 60000} { // as news, and long after
		for i := range many/maxPeerLimits + 1 {
			words := tell(at(started+250*i), a, b, time.Second)
			g.Expect(len(words.Words)).To(BeNumerically("<=", maxPeerLimits))
		}
		g.Expect(b.Limits().Endpoints).To(Equal(many))
		b = NewPool(Config{})
		for i := range many {
			b.SetLeaving(fmt.Sprint("e", i), false)
		}
	}
}

// An endpoint may be cold, or leave, while it names a limit.
func TestTheLowerOfTwoBoundsHoldsAndWhatLeavesGetsNothing(t *testing.T) {
	g := NewWithT(t)
	for _, c := range []struct{ limit, cold, want float64 }{{2, 13, 2}, {50, 13, 13}, {2, 0, 2}} {
		p := NewPool(Config{Policy: NewPromptAware(), Seed: 1})
		all := engines(1)
		p.HearLimit(epoch, epoch, "e0", names(c.limit))
		p.SetCold(epoch, "e0", 4*time.Second)
		req := ask
		req.ColdRate = c.cold
		g.Expect(countSent(p, req, all, 0, 4000)["e0"]).To(BeNumerically("~", 4*c.want, 3), "%+v", c)
		p.SetLeaving("e0", true)
		g.Expect(countSent(p, req, all, 4000, 8000)["e0"]).To(BeZero())
	}
}
