package balance

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"coveferry/internal/bundle"
	"coveferry/internal/load"
)

// Pool is what one router knows of the endpoints it uses. It is safe for
// concurrent use.
type Pool struct {
	cfg    Config
	shards [shardCount]shard
	// choices numbers the choices; each draws from its own random stream.
	choices atomic.Uint64
	scratch sync.Pool
	// byGroup has what is known of the engines of each group, by its name.
	byGroup sync.Map
	// detectAt is when the peers are compared next, in Unix nanoseconds.
	detectAt  atomic.Int64
	detecting sync.Mutex
	limits    limits
	domains   domainWatch
}

// scratch is the memory that one call of Choose works in.
type scratch struct {
	views []View
	from  []int // place in the candidates of each view
	// leaving are the views of those that take no new work but serve on, and
	// leavingFrom their places.
	leaving     []View
	leavingFrom []int
	pcg         rand.PCG
	rnd         *rand.Rand
}

// NewPool returns a pool that knows no endpoint yet; endpoints are added as
// they are asked about.
func NewPool(cfg Config) *Pool {
	p := &Pool{cfg: cfg.withDefaults()}
	for i := range p.shards {
		p.shards[i].states = make(map[string]*state)
	}
	p.scratch.New = func() any {
		s := &scratch{}
		s.rnd = rand.New(&s.pcg)
		return s
	}
	return p
}

// Choose picks the endpoint for a request among the candidates, leaving out
// those for which skip (which may be nil) is true and those that are leaving.
// The error is a *NoEndpointError, which matches ErrNoEndpoint.
func (p *Pool) Choose(now time.Time, req Request, candidates []*bundle.Endpoint, skip func(endpoint string) bool) (*bundle.Endpoint, error) {
	s := p.scratch.Get().(*scratch)
	defer p.scratch.Put(s)
	i, err := p.choose(s, now, req, candidates, skip)
	if err != nil {
		return nil, err
	}
	return candidates[s.from[i]], nil
}

// Choice is an endpoint with what the policy expects there.
type Choice struct {
	Endpoint *bundle.Endpoint
	// Wait is how long the request will probably wait for its first token; 0
	// if the policy can't tell.
	Wait time.Duration
	// Read is the part of Wait in which its own prompt is read.
	Read time.Duration
	// Source probably has cached parts of the prompt that the endpoint lacks;
	// nil if there is none.
	Source *bundle.Endpoint
	// Tight says that the request's stream would be late beside long prompts.
	Tight bool
	// Kept is how many endpoints are kept for such requests.
	Kept int
	// Copy is where to copy the run's memory to as it grows, so that another
	// endpoint can go on after a crash; nil if that isn't worth its price.
	Copy *bundle.Endpoint
}

// Expecter is a Policy that can say more of its choice than the endpoint.
type Expecter interface {
	// Expect is what the policy expects of the chosen view. leaving are the views of
	// endpoints that take no new work, whose caches are still there.
	Expect(req Request, views, leaving []View, chosen int) Expectation
}

// Expectation is what a policy expects of a choice. Places are those in the views, those
// of leaving endpoints counting on behind the others; -1 is none.
type Expectation struct {
	// Wait, Read, Tight and Kept are as in Choice.
	Wait, Read time.Duration
	Tight      bool
	Kept       int
	// Source is the place of the endpoint from which to fetch what the chosen one lacks,
	// and Copy that of the one to which to copy the run's memory.
	Source, Copy int
}

// Learner is a Policy that learns from answers.
type Learner interface {
	// Ended notes that a stream of a service that may pause for gap has ended, after it
	// had its endpoint for so long, and whether it began or paused too late.
	Ended(now time.Time, service string, gap, held time.Duration, late bool)
}

// ChooseExpecting is Choose that also tells what is expected of the choice.
func (p *Pool) ChooseExpecting(now time.Time, req Request, candidates []*bundle.Endpoint, skip func(endpoint string) bool) (Choice, error) {
	s := p.scratch.Get().(*scratch)
	defer p.scratch.Put(s)
	i, err := p.choose(s, now, req, candidates, skip)
	if err != nil {
		return Choice{}, err
	}
	choice := Choice{Endpoint: candidates[s.from[i]]}
	e, ok := p.cfg.Policy.(Expecter)
	if !ok {
		return choice, nil
	}
	expect := e.Expect(req, s.views, s.leaving, i)
	choice.Wait, choice.Read, choice.Tight, choice.Kept = expect.Wait, expect.Read, expect.Tight, expect.Kept
	if expect.Source >= 0 {
		choice.Source = candidates[append(s.from, s.leavingFrom...)[expect.Source]]
	}
	if expect.Copy >= 0 {
		choice.Copy = candidates[s.from[expect.Copy]]
	}
	return choice, nil
}

// choose returns the place of the chosen view in the scratch.
func (p *Pool) choose(s *scratch, now time.Time, req Request, candidates []*bundle.Endpoint, skip func(string) bool) (int, error) {
	s.pcg.Seed(p.cfg.Seed, p.choices.Add(1))
	left := p.collect(s, now, req, candidates, skip)
	if left.bounded > 0 && 2*left.unsure > len(candidates) {
		// It is this router that is cut off, or was: it must find out at once when it no
		// longer is.
		req.mostUnsure = true
		left = p.collect(s, now, req, candidates, skip)
	}
	reviveIfAllShed(s.views)
	for {
		i, ok := p.cfg.Policy.Choose(now, req, s.views, s.rnd)
		if !ok {
			if left.bounded > 0 {
				p.refuse(now, candidates, req)
			}
			return 0, &NoEndpointError{
				Candidates: len(candidates), Skipped: left.skipped, Leaving: left.leaving,
				Bounded: left.bounded, FreeIn: left.freeIn,
			}
		}
		if !s.views[i].Bounded || p.Take(now, candidates[s.from[i]], req) {
			return i, nil
		}
		// Another request has been sent there meanwhile.
		left.bound(p.turnAway(now, candidates[s.from[i]], req))
		s.views = slices.Delete(s.views, i, i+1)
		s.from = slices.Delete(s.from, i, i+1)
	}
}

// leftOut counts the candidates that aren't among the views.
type leftOut struct {
	skipped, leaving int
	// bounded are those that take no further request now, one of them in freeIn.
	bounded int
	freeIn  time.Duration
	// unsure are the candidates to which connections fail, bounded or not.
	unsure int
}

// bound counts an endpoint that takes the next request in a while.
func (l *leftOut) bound(freeIn time.Duration) {
	if l.bounded == 0 || freeIn < l.freeIn {
		l.freeIn = freeIn
	}
	l.bounded++
}

// collect fills the scratch with the views of the usable candidates.
func (p *Pool) collect(s *scratch, now time.Time, req Request, candidates []*bundle.Endpoint, skip func(string) bool) (left leftOut) {
	s.views = s.views[:0]
	s.from = s.from[:0]
	s.leaving = s.leaving[:0]
	s.leavingFrom = s.leavingFrom[:0]
	for i, c := range candidates {
		if skip != nil && skip(c.Name) {
			left.skipped++
			continue
		}
		s.views = append(s.views, View{})
		v := &s.views[len(s.views)-1]
		may := p.view(now, c, v, req)
		if v.Unsure {
			left.unsure++
		}
		switch may {
		case takesWork:
			s.from = append(s.from, i)
			continue
		case takesNoMore:
			left.bound(p.turnAway(now, c, req))
		case leavesWork:
			s.leaving = append(s.leaving, *v)
			s.leavingFrom = append(s.leavingFrom, i)
			left.leaving++
		}
		s.views = s.views[:len(s.views)-1]
	}
	return left
}

// standing is whether an endpoint may be sent a request.
type standing uint8

const (
	takesWork standing = iota
	// leavesWork: it takes no new work.
	leavesWork
	// takesNoMore: it takes so many requests a second, and this router has sent its part.
	takesNoMore
)

// reviveIfAllShed gives the shed endpoints their weight back where there is no
// other: a slow answer is better than none.
func reviveIfAllShed(views []View) {
	for i := range views {
		if views[i].Weight > 0 {
			return
		}
	}
	for i := range views {
		views[i].Weight = 1
	}
}

// view fills v and says whether the endpoint may be sent the request.
func (p *Pool) view(now time.Time, c *bundle.Endpoint, v *View, req Request) standing {
	sh := p.shard(c.Name)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	st := sh.state(c.Name)
	if st.group == "" {
		st.group, st.domain = peerGroup(c), c.FailureDomain
	}
	if st.engines == nil {
		st.engines = p.enginesOf(st.group)
	}
	st.view(c, v)
	speed := st.engines.of(st.token)
	v.Token, v.PerToken, v.First = speed.Token, speed.PerToken, speed.First
	v.Cached = st.recent.cached(now, req.Prompt)
	v.Full = st.full(now)
	v.Weight = st.health.weight(now, p.cfg.Outlier)
	if st.bound.suspect || now.Before(st.avoidUntil) {
		v.Weight = 0
	}
	_, v.Bounded = st.bound.now(now, c, req)
	v.Aside = st.bound.aside(now, req.ColdRate)
	v.Unsure = st.bound.suspect
	switch {
	case st.leaving:
		return leavesWork
	case !p.ready(now, st, c, req):
		return takesNoMore
	}
	return takesWork
}

func (p *Pool) enginesOf(group string) *engineSpeeds {
	known, _ := p.byGroup.LoadOrStore(group, &engineSpeeds{})
	return known.(*engineSpeeds)
}

// Views returns what the pool knows of the candidates, in their order and with
// the leaving ones included, for status pages.
func (p *Pool) Views(now time.Time, candidates []*bundle.Endpoint) []View {
	views := make([]View, len(candidates))
	for i, c := range candidates {
		p.view(now, c, &views[i], Request{})
	}
	return views
}

// Sent notes that a request was sent to an endpoint; each call is followed by
// one of Done.
func (p *Pool) Sent(now time.Time, endpoint string) {
	sh := p.shard(endpoint)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.state(endpoint).sent(now)
}

// Report takes in the load report of an endpoint. One with an older Seq than
// the last is ignored.
func (p *Pool) Report(now time.Time, endpoint string, r load.Report) {
	sh := p.shard(endpoint)
	sh.mu.Lock()
	sh.state(endpoint).report(now, r, p.cfg.SeqHold)
	sh.mu.Unlock()
	p.detect(now, false)
}

// Done notes how a request that was sent ended. firstToken is the time from
// sending to the first token, 0 if there was none.
func (p *Pool) Done(now time.Time, endpoint string, res Result, firstToken time.Duration) {
	sh := p.shard(endpoint)
	sh.mu.Lock()
	st := sh.state(endpoint)
	st.done(now, res, firstToken, p.cfg.FirstTokenShare)
	failing := res == ResultFailed && st.health.failures > p.cfg.Outlier.FailureShare
	sh.mu.Unlock()
	p.detect(now, failing)
}

// SetLeaving notes what membership says of an endpoint. A leaving endpoint is
// chosen no more, whatever older reports say, until membership says that it
// has returned (false) or Forget is called.
func (p *Pool) SetLeaving(endpoint string, leaving bool) {
	sh := p.shard(endpoint)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.state(endpoint).leaving = leaving
}

// InUse says whether an endpoint may be sent new work and nothing speaks against it.
func (p *Pool) InUse(now time.Time, endpoint string) bool {
	sh := p.shard(endpoint)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	st, known := sh.states[endpoint]
	return known && !st.leaving && !st.bound.suspect && !now.Before(st.avoidUntil)
}

// Open is how many requests of this router an endpoint has.
func (p *Pool) Open(endpoint string) int {
	sh := p.shard(endpoint)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if st := sh.states[endpoint]; st != nil {
		return st.inflight
	}
	return 0
}

// TakesWork says whether an endpoint may be sent new work at all, as far as is known.
func (p *Pool) TakesWork(endpoint string) bool {
	sh := p.shard(endpoint)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	st, known := sh.states[endpoint]
	return known && !st.leaving
}

// Restart notes that another process is at an endpoint from now on. It inherits nothing:
// no cached parts, no running requests, no load, no failures. What other routers saw of
// the one before may still be told for a while and isn't taken for this one's.
func (p *Pool) Restart(now time.Time, endpoint string) {
	sh := p.shard(endpoint)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.states[endpoint] = &state{restartedAt: now}
}

// Forget drops what is known of an endpoint, for one that is gone.
func (p *Pool) Forget(endpoint string) {
	sh := p.shard(endpoint)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	delete(sh.states, endpoint)
}
