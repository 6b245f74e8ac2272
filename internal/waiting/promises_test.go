package waiting

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against callers refused at the same moment that come back together, or more of them
// than there will be places for.
func TestPromisedReturnsDoNotExceedTheDrainRate(t *testing.T) {
	g := NewWithT(t)
	rnd := rand.New(rand.NewPCG(1, 2))
	var p Promises
	const rate, left = 100.0, 3 * time.Second
	perTenth := make(map[int]int)
	promised := 0
	for range 500 {
		r := p.Add(epoch, 50*time.Millisecond, left, rate, rnd.Float64())
		g.Expect(r.After).To(BeNumerically("<=", left/3))
		g.Expect(r.After).To(BeNumerically(">=", 50*time.Millisecond))
		if r.Promised {
			promised++
			perTenth[int(r.After/(100*time.Millisecond))]++
		}
	}
	g.Expect(promised).To(BeNumerically("~", 95*promisedShare, 2), "a share of what becomes free between 50 ms and 1 s")
	for tenth, n := range perTenth {
		g.Expect(n).To(BeNumerically("<=", 10*promisedShare+1), "in the tenth %d", tenth)
	}
}

// Guards against callers with long deadlines that take all returns which callers with short deadlines
// could use.
func TestLongDeadlinesLeaveReturnsForShortOnes(t *testing.T) {
	g := NewWithT(t)
	rnd := rand.New(rand.NewPCG(1, 2))
	var p Promises
	const rate = 100.0
	inFirstSecond := 0
	count := func(r Return) {
		if r.Promised && r.After <= time.Second {
			inFirstSecond++
		}
	}
	for range 300 {
		count(p.Add(epoch, 0, time.Minute, rate, rnd.Float64()))
	}
	short := p.Add(epoch, 0, 800*time.Millisecond, rate, rnd.Float64())
	count(short)
	g.Expect(short.Promised).To(BeTrue())
	for range 300 {
		count(p.Add(epoch, 0, 800*time.Millisecond, rate, rnd.Float64()))
		count(p.Add(epoch, 0, 3*time.Second, rate, rnd.Float64()))
	}
	g.Expect(inFirstSecond).To(BeNumerically("<=", 0.7*rate), "of all groups together")
}

// Guards against refusals that each take time in proportion to the promises that are remembered.
func TestRememberingDoesNotScanAllPromises(t *testing.T) {
	var p Promises
	for i := range uint64(maxPromises) {
		p.Remember(epoch, i, epoch.Add(time.Hour))
	}
	const n = 20_000
	began := time.Now()
	for i := range uint64(n) {
		p.Remember(epoch, maxPromises+i, epoch.Add(time.Hour))
	}
	took := time.Since(began) / n
	t.Logf("%s each", took)
	NewWithT(t).Expect(took).To(BeNumerically("<", 10*time.Microsecond))
	NewWithT(t).Expect(p.Remembered()).To(Equal(maxPromises))
	NewWithT(t).Expect(len(p.order)).To(BeNumerically("<=", 2*maxPromises))
	NewWithT(t).Expect(p.Returned(epoch.Add(time.Hour), maxPromises+n-1)).To(BeTrue(), "the latest are remembered")
}

// Guards against unpromised returns that come back at one moment, or beyond a third of the
// caller's time.
func TestUnpromisedReturnsDoNotCoincide(t *testing.T) {
	g := NewWithT(t)
	var p Promises
	g.Expect(p.Add(epoch, time.Second, 900*time.Millisecond, 10, 0)).To(Equal(Return{After: 150 * time.Millisecond}))
	g.Expect(p.Add(epoch, time.Second, 900*time.Millisecond, 10, 0.999).After).To(BeNumerically("~", 300*time.Millisecond, time.Millisecond))
	g.Expect(p.Add(epoch, 0, 900*time.Millisecond, 0, 0)).To(Equal(Return{After: 150 * time.Millisecond}), "unknown rate")
	g.Expect(p.Add(epoch, 0, 0, 10, 0)).To(Equal(Return{}), "no time left")
}

// Guards against callers that gain by returning at once or more than once.
func TestOnlyTheReturnAtThePromisedTimeCounts(t *testing.T) {
	g := NewWithT(t)
	var p Promises
	at := epoch.Add(100 * time.Millisecond)
	p.Remember(epoch, 1, at)
	g.Expect(p.Returned(at, 1)).To(BeTrue())
	g.Expect(p.Returned(at, 1)).To(BeFalse(), "once only")
	p.Remember(epoch, 2, at)
	g.Expect(p.Returned(epoch, 2)).To(BeFalse(), "too early")
	g.Expect(p.Returned(at, 2)).To(BeFalse(), "the early return cost the promise")
	p.Remember(epoch, 3, at)
	g.Expect(p.Returned(at.Add(returnWindow+1), 3)).To(BeFalse(), "too late")
	for i := range uint64(2 * maxPromises) {
		p.Remember(epoch, 10+i, at)
	}
	g.Expect(p.Remembered()).To(Equal(maxPromises))
	p.Remember(epoch.Add(time.Minute), 1, epoch.Add(time.Minute))
	g.Expect(p.Remembered()).To(Equal(1), "old ones make room")
}
