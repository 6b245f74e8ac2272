package limits

import (
	"context"
	"maps"
	"sync"
	"time"
)

// stepsPerPeriod is the number of steps in a period, and refusedStepInterval how
// many of them pass between requests of teams with refusals. Urgent requests go
// out with the next step and all others once a period.
const (
	stepsPerPeriod      = 8
	refusedStepInterval = stepsPerPeriod / 2
)

// idlePeriods is the number of periods without requests after which an owner is
// notified that this router doesn't use its limits. It is more than one because
// a holder that has just sent an early request may skip a period.
const idlePeriods = 2

// dueSet selects the requests that are sent in a step.
type dueSet int

const (
	dueUrgent dueSet = iota
	dueRefused
	dueAll
)

// dueAtStep returns what is due at step n when step last was the previous one
// handled. What the skipped steps between them would have sent is included.
func dueAtStep(last, n int) dueSet {
	switch {
	case n/stepsPerPeriod > last/stepsPerPeriod:
		return dueAll
	case n/refusedStepInterval > last/refusedStepInterval:
		return dueRefused
	default:
		return dueUrgent
	}
}

// Sender sends requests to the owners of limits.
type Sender interface {
	// Request sends requests to a router and waits for its grants, for at most a
	// TTL.
	Request(ctx context.Context, to Peer, requests LeaseRequests) (Grants, error)
}

// Peer is a router that owns limits.
type Peer struct{ Name, Address string }

// calls tracks the calls in flight, at most one to each owner, and the owners
// that count this router as a user of their limits.
type calls struct {
	mu       sync.Mutex
	inFlight map[string]bool
	// idleFor is the number of periods since the last request, by owner.
	idleFor map[string]int
}

func (c *calls) init() {
	c.inFlight = make(map[string]bool)
	c.idleFor = make(map[string]int)
}

func (c *calls) begin(owner string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight[owner] = true
}

// busy returns the owners with a call in flight. No further request is sent to
// them until it has ended, since a grant is valid only for the last request.
func (c *calls) busy() map[string]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.inFlight)
}

func (c *calls) end(owner string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.inFlight, owner)
}

// recordRequests records the owners that requests are sent to.
func (c *calls) recordRequests(batches map[string]LeaseRequests) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for owner := range batches {
		c.idleFor[owner] = 0
	}
}

// takeIdleOwners returns the owners to notify that their limits are no longer
// used, and forgets them. It must be called once a period.
func (c *calls) takeIdleOwners() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var idle []string
	for owner, periods := range c.idleFor {
		c.idleFor[owner]++
		if periods >= idlePeriods && !c.inFlight[owner] {
			idle = append(idle, owner)
			delete(c.idleFor, owner)
		}
	}
	return idle
}

// Run exchanges requests and grants until the context ends. It returns when all
// calls have ended.
func (l *Limiter) Run(ctx context.Context) {
	start := time.Now()
	step := l.cfg.Period / stepsPerPeriod
	ticker := time.NewTicker(step)
	defer ticker.Stop()
	var inFlight sync.WaitGroup
	defer inFlight.Wait()
	last := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		// Use the nominal time of the step, so that a timer that fires late once
		// and early the next time doesn't delay a request by a period.
		n := int(time.Since(start) / step)
		now := start.Add(time.Duration(n) * step)
		l.step(ctx, now, dueAtStep(last, n), &inFlight)
		last = n
	}
}

// step sends the requests that are due.
func (l *Limiter) step(ctx context.Context, now time.Time, d dueSet, inFlight *sync.WaitGroup) {
	t := l.topology.Load()
	if t == nil || t.mode != Shared {
		return
	}
	batches := l.collect(now, t, d)
	l.calls.recordRequests(batches)
	if d == dueAll {
		for _, owner := range l.calls.takeIdleOwners() {
			batches[owner] = LeaseRequests{}
		}
	}
	for owner, requests := range batches {
		if owner == t.self {
			l.applyGrants(l.HandleRequests(t.self, requests))
			continue
		}
		l.calls.begin(owner)
		inFlight.Go(func() { l.call(ctx, t, owner, requests) })
	}
}

// collect returns the requests that are due, by owner.
func (l *Limiter) collect(now time.Time, t *topology, d dueSet) map[string]LeaseRequests {
	r := collection{now: now, topology: t, due: d, busy: l.calls.busy(), batches: make(map[string]LeaseRequests)}
	for i := range l.usages {
		l.usages[i].collect(r)
	}
	return r.batches
}

// collection holds the parameters and the result of collecting requests.
type collection struct {
	now      time.Time
	topology *topology
	due      dueSet
	busy     map[string]bool
	batches  map[string]LeaseRequests
}

func (sh *usageShard) collect(r collection) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for team, u := range sh.teams {
		limits, limited := r.topology.teams[team]
		owner := r.topology.owners[team]
		switch {
		case !limited:
			delete(sh.teams, team) // the team isn't in the bundle any more or has no limits
		case r.busy[owner] || !u.isDue(r.due):
		default:
			u.update(r.now, r.topology, limits)
			r.add(owner, team, u)
		}
	}
}

func (u *usage) isDue(d dueSet) bool {
	return d == dueAll || u.urgent || d == dueRefused && u.refused
}

func (r collection) add(owner, team string, u *usage) {
	u.urgent, u.refused = false, false
	if req, due := u.leaseRequest(r.now, team); due {
		r.batches[owner] = LeaseRequests{Teams: append(r.batches[owner].Teams, req)}
	}
}

func (l *Limiter) call(ctx context.Context, t *topology, owner string, requests LeaseRequests) {
	defer l.calls.end(owner)
	ctx, cancel := context.WithTimeout(ctx, l.cfg.TTL)
	defer cancel()
	grants, err := l.cfg.Sender.Request(ctx, Peer{Name: owner, Address: t.routers[owner].ControlAddress}, requests)
	if err != nil {
		l.metrics.requests.WithLabelValues(resultFailed).Inc()
		l.cfg.Log.Debug().Err(err).Str("home", owner).Msg("request to the owner of team limits failed")
		return
	}
	l.metrics.requests.WithLabelValues(resultAnswered).Inc()
	l.applyGrants(grants)
}

// applyGrants passes grants to their holders.
func (l *Limiter) applyGrants(g Grants) {
	now := time.Now()
	for _, grant := range g.Teams {
		sh := l.usages.shard(grant.Team)
		sh.mu.Lock()
		if u := sh.teams[grant.Team]; u != nil {
			u.applyGrant(now, grant)
		}
		sh.mu.Unlock()
	}
}

// HandleRequests answers the requests of a router for limits that this router
// owns.
func (l *Limiter) HandleRequests(holder string, requests LeaseRequests) Grants {
	now := time.Now()
	r := l.peerTracker.recordContact(now, holder, len(requests.Teams) > 0, l.cfg.TTL)
	l.metrics.unreachable.Set(float64(r.total - r.reachable))
	l.metrics.answered.Add(1)
	return l.owned.grant(now, holder, requests, r)
}
