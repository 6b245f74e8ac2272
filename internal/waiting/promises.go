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
	// The rest is for new requests, which come in the meantime and would take what was promised.
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

// LongestRetryAfter is the longest time that a caller with so much time left may be told to wait
// before it comes back.
func LongestRetryAfter(left time.Duration) time.Duration {
	return time.Duration(maxRetryShare * float64(left))
}

// returnGroups are the groups of callers by the longest time that they may be told: those of up to
// 500 ms, of up to 2 s, and the others. Plain services have route timeouts of 0.8 to 2 s, which make
// the first two.
const returnGroups = 3

func groupOf(longest time.Duration) int {
	switch {
	case longest <= 500*time.Millisecond:
		return 0
	case longest <= 2*time.Second:
		return 1
	}
	return returnGroups - 1
}

// Promises schedules the returns of refused callers, so that they don't exceed the rate at which
// places become free.
type Promises struct {
	// next is, for each group, the earliest time that is not promised yet. With one schedule, 300
	// callers with long deadlines took all times that others could have used.
	next [returnGroups]time.Time
	// returns holds the time from which a request counts as returned, by its identity.
	returns map[uint64]time.Time
	// order holds the promises in the order in which they were made, also some that are forgotten.
	order []promise
}

// promise is a time at which a request was told to return.
type promise struct {
	identity uint64
	at       time.Time
}

// Add returns when a refused caller should come back: after wait, in which the waiting requests
// are sent, and after the callers of its group that were told before. rate is the rate at which
// places become free, 0 if unknown; left is the time that the caller has; random is from [0, 1).
func (p *Promises) Add(now time.Time, wait, left time.Duration, rate, random float64) Return {
	longest := LongestRetryAfter(left)
	if longest <= 0 {
		return Return{}
	}
	group := groupOf(longest)
	at := now.Add(max(wait, minRetryAfter))
	if p.next[group].After(at) {
		at = p.next[group]
	}
	interval := time.Duration(0)
	if rate > 0 {
		interval = seconds(float64(p.sharing(now, group)) / (promisedShare * rate))
	}
	// A random part of the interval keeps the schedules of routers that refuse at the same moment
	// from coinciding.
	after := at.Add(time.Duration(random * float64(interval))).Sub(now)
	if rate <= 0 || after > longest {
		spread := minJitterShare + (1-minJitterShare)*random
		return Return{After: time.Duration(spread * float64(longest))}
	}
	p.next[group] = at.Add(interval)
	return Return{After: after, Promised: true}
}

// sharing returns how many groups share the promised rate: the given one and those with returns that
// are due. Returns promised before a group came keep their rate, so that at most 1 + 1/2 + 1/3 of
// promisedShare is promised for a moment.
func (p *Promises) sharing(now time.Time, group int) int {
	n := 1
	for g, next := range p.next {
		if g != group && next.After(now) {
			n++
		}
	}
	return n
}

// Remembered returns the number of promises that are remembered.
func (p *Promises) Remembered() int { return len(p.returns) }

// Remember records that a request was told to return at a time. If there are too many promises, it
// forgets the earliest.
func (p *Promises) Remember(now time.Time, identity uint64, at time.Time) {
	for len(p.order) > 0 && (len(p.order) >= maxPromises || now.Sub(p.order[0].at) > returnWindow) {
		p.forgetFirst()
	}
	if p.returns == nil {
		p.returns = make(map[uint64]time.Time)
	}
	p.returns[identity] = at
	p.order = append(p.order, promise{identity, at})
}

func (p *Promises) forgetFirst() {
	first := p.order[0]
	p.order = p.order[1:]
	if at, known := p.returns[first.identity]; known && at.Equal(first.at) {
		delete(p.returns, first.identity)
	}
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
