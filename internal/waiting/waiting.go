// Package waiting decides which requests a router sends to a service, which it holds in a queue
// and which it refuses, where the service's endpoints have no capacity left. The decisions are
// pure: time, randomness and what is known of the endpoints are passed in.
package waiting

import (
	"math"
	"time"
)

// minBoundShare is the least share of the objective for which a request may wait. Otherwise all
// requests that have to wait would be refused while answers take as long as the objective.
const minBoundShare = 0.25

// Capacity is what is known of the endpoints of a service.
type Capacity struct {
	// Slots is the number of requests that the endpoints run at the same time; 0 if one of them
	// doesn't state it, so that nothing waits.
	Slots int
	// Free is the number of slots that recent load reports leave free.
	Free int
	// Reported says that there are recent load reports, and Queued that requests wait at
	// endpoints by them.
	Reported, Queued bool
}

// Need is what a request needs.
type Need struct {
	Order     Order
	Objective time.Duration
}

// Assessment is the outlook of a request that arrives.
type Assessment struct {
	// MustWait says that the request can't be sent now.
	MustWait bool
	// Position is the number of requests ahead of it, and Wait the time until it would be sent;
	// 0 if unknown.
	Position int
	Wait     time.Duration
	// Bound is the wait above which the request is refused.
	Bound time.Duration
	// LatestStart is when the request must be sent to be answered before its deadline.
	LatestStart time.Time
	// Limit is the limit on the requests in flight.
	Limit float64
}

// Late reports whether the request would wait too long.
func (a Assessment) Late() bool { return a.Bound <= 0 || a.Wait > a.Bound }

// setBound sets the longest wait: with it, the answer still meets the objective. If requests waited
// until LatestStart, most of them would be late, with the same use of the slots.
func (a *Assessment) setBound(now time.Time, objective, answer time.Duration) {
	a.Bound = a.LatestStart.Sub(now)
	if objective <= 0 {
		return
	}
	a.Bound = min(a.Bound, max(objective-answer, time.Duration(minBoundShare*float64(objective))))
}

// Pressure returns the expected wait relative to the wait at which the request is refused.
func (a Assessment) Pressure() float64 {
	if a.Bound <= 0 {
		return 1
	}
	return float64(a.Wait) / float64(a.Bound)
}

// Result is how an attempt ended as far as it concerns the limit.
type Result struct {
	// Full says that the endpoint refused the request for lack of capacity.
	Full bool
	// Took is the time to the answer; 0 if there was none.
	Took time.Duration
	// Objective is the target for Took; 0 if there is none.
	Objective time.Duration
}

// Service is the state of one router at one service. It isn't safe for concurrent use.
type Service struct {
	Limit    Limit
	Queue    Queue
	Promises Promises
	// Inflight is the number of requests that were sent and haven't ended.
	Inflight int
	// shortAt is when a request last had to wait, queuedAt when endpoints last reported queued
	// requests, or nothing, and sentAt when a request was last sent.
	shortAt, queuedAt, sentAt time.Time
	// fullAt is when an endpoint last showed that it had no free slot: it refused a request as full,
	// or reported queued requests. Zero if none did.
	fullAt time.Time
	// arrivals is a decaying sum of the requests that arrived, as of decayedAt.
	arrivals  float64
	decayedAt time.Time
}

// NewService returns the state of a service of which this router is one of several.
func NewService(slots, routers int) *Service {
	return &Service{Limit: NewLimit(slots, routers)}
}

// Resize updates the router's share of the slots.
func (s *Service) Resize(slots, routers int) { s.Limit.Resize(slots, routers) }

const (
	// restoreAfter is the time without waiting requests after which a reduced limit no longer holds.
	restoreAfter = time.Second
	// idleAfter is the same for the time in which no endpoint reports queued requests: the interval
	// at which routers exchange reports.
	idleAfter = 250 * time.Millisecond
	// shortageMemory is how long the limit is enforced after endpoints last showed that they had no
	// free slot. It is longer than the answers of the small plain service (60 ms of work, route
	// timeouts up to 2 s), whose reports show a shortage again.
	shortageMemory = 3 * time.Second
)

// restore raises a reduced limit once the shortage is over.
func (s *Service) restore(now time.Time, c Capacity) {
	if c.Queued || !c.Reported {
		s.queuedAt = now
	}
	if !c.Queued && now.Sub(s.shortAt) > restoreAfter || now.Sub(s.queuedAt) > idleAfter {
		s.Limit.Restore()
	}
}

// observe records whether endpoints report queued requests.
func (s *Service) observe(now time.Time, c Capacity) {
	if c.Queued {
		s.fullAt = now
	}
}

// short reports whether endpoints showed within shortageMemory that they had no free slot. Old or
// missing reports don't show it: an idle service at 100 routers made a first burst of 20 requests wait
// for up to 120 ms.
func (s *Service) short(now time.Time) bool {
	return !s.fullAt.IsZero() && now.Sub(s.fullAt) < shortageMemory
}

// HasRoom reports whether a request can be sent: no endpoint lacks capacity, the limit isn't
// reached, or an endpoint reports a free slot.
func (s *Service) HasRoom(now time.Time, c Capacity) bool {
	s.observe(now, c)
	return c.Slots == 0 || c.Free > 0 || !s.short(now) ||
		s.Inflight < int(s.Limit.Value()) && now.Sub(s.sentAt) >= s.Limit.Spacing()
}

// Assess returns the outlook of a request that arrives now.
func (s *Service) Assess(now time.Time, n Need, c Capacity) Assessment {
	s.restore(now, c)
	if s.Queue.Len() == 0 && s.HasRoom(now, c) {
		return Assessment{}
	}
	s.shortAt = now
	return s.AssessWaiting(now, n)
}

// AssessWaiting is Assess for a request that is known to have to wait.
func (s *Service) AssessWaiting(now time.Time, n Need) Assessment {
	answer := s.Limit.AnswerTime()
	if answer == 0 {
		answer = n.Objective // nothing better is known before the first answer
	}
	a := Assessment{MustWait: true, Position: s.Queue.Position(n.Order), LatestStart: n.Order.Deadline.Add(-answer), Limit: s.Limit.Value()}
	a.setBound(now, n.Objective, answer)
	a.Wait = s.waitBehind(now, a.Position)
	return a
}

// waitBehind returns how long a request waits behind others; 0 if unknown. With a single place it
// is known when that becomes free; of several, the next one does so after one interval at most.
func (s *Service) waitBehind(now time.Time, position int) time.Duration {
	rate := s.Limit.DrainRate()
	if rate <= 0 {
		return 0
	}
	wait := seconds(float64(position+1) / rate)
	if int(s.Limit.Value()) == 1 {
		wait -= min(now.Sub(s.sentAt), seconds(1/rate))
	}
	return wait
}

// Refuse returns when a refused request should come back.
func (s *Service) Refuse(now time.Time, n Need, random float64) Return {
	wait := s.waitBehind(now, s.Queue.Position(n.Order))
	return s.Promises.Add(now, wait, n.Order.Deadline.Sub(now), s.Limit.DrainRate(), random)
}

// rateMemory is the time over which arrivals are averaged.
const rateMemory = time.Second

// Arrived counts a request that arrived.
func (s *Service) Arrived(now time.Time) {
	s.arrivals = s.ArrivalRate(now)*rateMemory.Seconds() + 1
	s.decayedAt = now
}

// ArrivalRate returns the recent rate of arrivals at this router, in requests a second.
func (s *Service) ArrivalRate(now time.Time) float64 {
	decay := math.Exp(-now.Sub(s.decayedAt).Seconds() / rateMemory.Seconds())
	return s.arrivals * decay / rateMemory.Seconds()
}

// Sent records that a request is sent.
func (s *Service) Sent(now time.Time) {
	s.Inflight++
	s.sentAt = now
}

// Ended records that a request ended. After a refusal, c.Free counts the free slots of the other
// endpoints: if there are any, the endpoint refused for itself, and the limit stays. Other failures
// don't change the limit either.
func (s *Service) Ended(now time.Time, r Result, c Capacity) {
	switch {
	case r.Full && c.Free > 0:
	case r.Full:
		s.fullAt = now
		s.Limit.Refused(now, s.Inflight)
	case r.Took > 0:
		demand := s.Queue.Len() > 0 || s.Inflight >= int(s.Limit.Value())
		s.Limit.Served(now, r.Took, r.Objective, demand, c.Queued)
	}
	s.Inflight = max(0, s.Inflight-1)
}

// Next returns the next waiting request to send, or one that can't be answered in time any more,
// and removes it from the queue. It returns nil if the others have to wait.
func (s *Service) Next(now time.Time, c Capacity) (next *Item, late bool) {
	if s.Queue.Len() == 0 || !s.HasRoom(now, c) {
		return nil, false
	}
	next = s.Queue.Pop()
	return next, now.After(next.LatestStart)
}
