package lab

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"coveferry/internal/retry"
	"coveferry/internal/throttle"
)

// Parameters of the retry storm: one backend that serves requests in order of arrival and doesn't
// notice when a caller gives up, callers with a timeout, and a burst at three times the normal
// load.
const (
	stormService  = 10 * time.Millisecond // a capacity of 100 requests a second
	stormNormal   = 80.0                  // requests a second
	stormBurst    = 3 * stormNormal
	stormTimeout  = time.Second
	stormAttempts = 4
	burstStart    = 20 * time.Second
	burstEnd      = 30 * time.Second
	// StormLength is the duration of the arrivals.
	StormLength = 120 * time.Second
	// StormBin is the interval over which goodput is averaged.
	StormBin = 5 * time.Second
)

// Protection selects the mechanisms that protect the backend.
type Protection struct {
	Budget   bool
	Throttle bool
}

type call struct {
	number int
	charge *retry.Charge // of a retry
}

type storm struct {
	now      time.Time
	events   events
	seq      int
	rnd      *rand.Rand
	policy   retry.Policy
	budget   *retry.Budget
	throttle *throttle.Throttle
	freeAt   time.Time // when the backend will have served its queue
	goodput  []float64
}

// SimulateRetryStorm simulates the burst and returns the requests a second that were answered
// within the timeout of their last attempt, for each StormBin.
func SimulateRetryStorm(p Protection, seed uint64) []float64 {
	s := &storm{now: start, freeAt: start, rnd: rand.New(rand.NewPCG(seed, 2))}
	s.budget = retry.NewBudget(retry.BudgetConfig{})
	s.policy = retry.Policy{MaxAttempts: stormAttempts}
	if p.Budget {
		s.policy.Budget = s.budget
	}
	s.throttle = throttle.New(throttle.Config{Disabled: !p.Throttle})
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
	s.budget.RecordFirst(s.now, "", 0)
	s.send(&call{number: 1})
	gap := time.Duration(s.rnd.ExpFloat64() / rate * float64(time.Second))
	s.at(s.now.Add(gap), s.arrive)
}

// send makes one attempt, which the throttle may reject.
func (s *storm) send(c *call) {
	if !s.throttle.Allow(s.now, 0, s.rnd.Float64()) {
		s.throttle.Refused(s.now, 0)
		c.charge.NotSent(s.now)
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
	s.at(s.freeAt, func() { s.answered(c) })
}

func (s *storm) answered(c *call) {
	c.charge.Arrived()
	s.throttle.Accepted(s.now, 0)
	bin := int(s.now.Sub(start) / StormBin)
	if bin < len(s.goodput) {
		s.goodput[bin] += 1 / StormBin.Seconds()
	}
}

func (s *storm) timeout(c *call) {
	c.charge.Arrived()
	s.throttle.Refused(s.now, 0)
	a := retry.Attempt{Number: c.number, Outcome: retry.OutcomeUnknown, Idempotent: true}
	d := s.policy.Decide(a, s.now, s.rnd.Float64())
	if d.Action != retry.ActionRetry {
		return
	}
	next := &call{number: c.number + 1, charge: d.Charge}
	s.at(s.now.Add(d.Delay), func() { s.send(next) })
}
