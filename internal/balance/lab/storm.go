package lab

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"coveferry/internal/retry"
	"coveferry/internal/throttle"
)

// The storm: one back end that serves in order of arrival and doesn't notice
// that a caller gave up, callers with a timeout, and a burst at three times
// the normal load.
const (
	stormService  = 10 * time.Millisecond // so 100 requests a second fit
	stormNormal   = 80.0                  // requests a second
	stormBurst    = 3 * stormNormal
	stormTimeout  = time.Second
	stormAttempts = 4
	burstStart    = 20 * time.Second
	burstEnd      = 30 * time.Second
	// StormLength is the time over which requests arrive.
	StormLength = 120 * time.Second
	// StormBin is the time that one figure of goodput covers.
	StormBin = 5 * time.Second
)

// Defence says which mechanisms protect the back end in a storm.
type Defence struct {
	Budget   bool
	Throttle bool
}

type call struct {
	number int
}

type storm struct {
	now      time.Time
	events   events
	seq      int
	rnd      *rand.Rand
	policy   retry.Policy
	budget   *retry.Budget
	throttle *throttle.Throttle
	freeAt   time.Time // when the back end will have served all that it holds
	goodput  []float64
}

// Storm plays the burst and returns the requests a second that were answered
// within the timeout of their last attempt, for each bin of time.
func Storm(d Defence, seed uint64) []float64 {
	s := &storm{now: start, freeAt: start, rnd: rand.New(rand.NewPCG(seed, 2))}
	s.budget = retry.NewBudget(retry.BudgetConfig{})
	s.policy = retry.Policy{MaxAttempts: stormAttempts}
	if d.Budget {
		s.policy.Budget = s.budget
	}
	s.throttle = throttle.New(throttle.Config{Off: !d.Throttle})
	s.goodput = make([]float64, StormLength/StormBin)
	s.arrive()
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	return s.goodput
}

func (s *storm) at(t time.Time, run func()) {
	s.seq++
	heap.Push(&s.events, event{at: t, seq: s.seq, run: run})
}

func (s *storm) arrive() {
	elapsed := s.now.Sub(start)
	if elapsed >= StormLength {
		return
	}
	rate := stormNormal
	if elapsed >= burstStart && elapsed < burstEnd {
		rate = stormBurst
	}
	s.budget.First(s.now, "", 0)
	s.send(&call{number: 1})
	gap := time.Duration(s.rnd.ExpFloat64() / rate * float64(time.Second))
	s.at(s.now.Add(gap), s.arrive)
}

// send makes one attempt, which the throttle may refuse.
func (s *storm) send(c *call) {
	if !s.throttle.Allow(s.now, 0, s.rnd.Float64()) {
		s.throttle.Refused(s.now, 0)
		return
	}
	if s.freeAt.Before(s.now) {
		s.freeAt = s.now
	}
	s.freeAt = s.freeAt.Add(stormService)
	if s.freeAt.Sub(s.now) > stormTimeout {
		s.at(s.now.Add(stormTimeout), func() { s.timeout(c) })
		return
	}
	s.at(s.freeAt, s.answered)
}

func (s *storm) answered() {
	s.throttle.Accepted(s.now, 0)
	bin := int(s.now.Sub(start) / StormBin)
	if bin < len(s.goodput) {
		s.goodput[bin] += 1 / StormBin.Seconds()
	}
}

func (s *storm) timeout(c *call) {
	s.throttle.Refused(s.now, 0)
	a := retry.Attempt{Number: c.number, Outcome: retry.OutcomeUnknown, Idempotent: true}
	d := s.policy.Decide(a, s.now, s.rnd.Float64())
	if d.Action != retry.ActionRetry {
		return
	}
	next := &call{number: c.number + 1}
	s.at(s.now.Add(d.Delay), func() { s.send(next) })
}
