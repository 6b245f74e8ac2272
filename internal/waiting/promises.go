package waiting

import (
	"time"
)

const (
	// maxRetryShare is the share of the time that a caller has left within which it may be told
	// to come back.
	maxRetryShare = 1.0 / 3
	// minJitterShare is the least part of the allowed time that a caller is told if no capacity
	// can be promised within it. The rest is random.
	minJitterShare = 0.5
	// promisedShare is the share of the places becoming free that is promised to returning callers.
	// The rest is for new requests, which come in the meantime. After bursts at 3 routers, 346 of
	// 524 returning callers were served with 1, 464 of 505 with 0.5 and 483 of 497 with 0.3.
	promisedShare = 0.3
	// minRetryAfter keeps callers from returning at once if little is known.
	minRetryAfter = 20 * time.Millisecond
	// maxPromises bounds the promises that are remembered for recognizing returned requests.
	maxPromises = MaxWaiting
	// returnWindow is how long after the promised time a request still counts as returned.
	returnWindow = time.Second
)

// Return is what a refused caller is told.
type Return struct {
	After time.Duration
	// Promised says that capacity is expected at that time. Otherwise none is expected within
	// the time that the caller may be told.
	Promised bool
}

// Promises schedules the returns of refused callers, so that they don't exceed the rate at which
// places become free.
type Promises struct {
	// next is the earliest time that is not promised yet.
	next time.Time
	// returns holds the time from which a request counts as returned, by its identity.
	returns map[uint64]time.Time
}

// Add returns when a refused caller should come back: after wait, in which the waiting requests
// are sent, and after the callers that were told before. rate is the rate at which places become
// free, 0 if unknown; left is the time that the caller has; random is from [0, 1).
func (p *Promises) Add(now time.Time, wait, left time.Duration, rate, random float64) Return {
	longest := time.Duration(maxRetryShare * float64(left))
	if longest <= 0 {
		return Return{}
	}
	at := now.Add(max(wait, minRetryAfter))
	if p.next.After(at) {
		at = p.next
	}
	interval := time.Duration(0)
	if rate > 0 {
		interval = seconds(1 / (promisedShare * rate))
	}
	// A random part of the interval keeps the schedules of routers that refuse at the same moment
	// from coinciding.
	after := at.Add(time.Duration(random * float64(interval))).Sub(now)
	if rate <= 0 || after > longest {
		spread := minJitterShare + (1-minJitterShare)*random
		return Return{After: time.Duration(spread * float64(longest))}
	}
	p.next = at.Add(interval)
	return Return{After: after, Promised: true}
}

// Remembered returns the number of promises that are remembered.
func (p *Promises) Remembered() int { return len(p.returns) }

// Remember records that a request was told to return at a time.
func (p *Promises) Remember(now time.Time, identity uint64, at time.Time) {
	if len(p.returns) >= maxPromises {
		p.dropOld(now)
	}
	if len(p.returns) >= maxPromises {
		return
	}
	if p.returns == nil {
		p.returns = make(map[uint64]time.Time)
	}
	p.returns[identity] = at
}

// Returned reports whether the request came back at the time that it was told, and forgets the
// promise. A request that comes back earlier doesn't count, and loses the promise.
func (p *Promises) Returned(now time.Time, identity uint64) bool {
	at, known := p.returns[identity]
	if !known {
		return false
	}
	delete(p.returns, identity)
	return !now.Before(at) && now.Sub(at) <= returnWindow
}

func (p *Promises) dropOld(now time.Time) {
	for identity, at := range p.returns {
		if now.Sub(at) > returnWindow {
			delete(p.returns, identity)
		}
	}
}
