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

// Pool holds a router's state of the endpoints it uses. It is safe for concurrent use.
type Pool struct {
	cfg    Config
	shards [shardCount]shard
	// choiceCount numbers the choices; each has its own random sequence.
	choiceCount atomic.Uint64
	scratch     sync.Pool
	// speedsByGroup maps the name of an endpoint group to its *engineSpeeds.
	speedsByGroup sync.Map
	// nextDetectAt is when outlier detection runs next, in Unix nanoseconds.
	nextDetectAt atomic.Int64
	detectMu     sync.Mutex
	limits       limitStats
	backoffs     backoffStats
	domains      domainMonitor
	refusals     refusalStats
}

// scratch holds the reusable buffers of one call of Choose.
type scratch struct {
	views            []View
	candidateIndexes []int // index in the candidates, by view
	// leaving are the views of endpoints that accept no new requests but still serve running ones
	// and their caches, and leavingIndexes their indexes in the candidates.
	leaving        []View
	leavingIndexes []int
	excluded       exclusions
	pcg            rand.PCG
	rnd            *rand.Rand
}

// NewPool returns an empty pool. Endpoints are added when they are first used.
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

// Choose selects the endpoint for a request among the candidates, except those that are leaving
// or for which skip (which may be nil) returns true. The error is a *NoEndpointError, which
// matches ErrNoEndpoint.
func (p *Pool) Choose(now time.Time, req Request, candidates []*bundle.Endpoint, skip func(endpoint string) bool) (*bundle.Endpoint, error) {
	s := p.scratch.Get().(*scratch)
	defer p.scratch.Put(s)
	i, err := p.choose(s, now, req, candidates, skip)
	if err != nil {
		return nil, err
	}
	return candidates[s.candidateIndexes[i]], nil
}

// Choice is the selected endpoint and what the policy expects there.
type Choice struct {
	Endpoint *bundle.Endpoint
	// Wait is the expected time to first token; 0 if the policy can't estimate it.
	Wait time.Duration
	// PrefillTime is the part of Wait for the prefill of the request's own prompt.
	PrefillTime time.Duration
	// SecondsPerOutputToken is the expected time between two tokens of the answer, 0 if unknown.
	SecondsPerOutputToken float64
	// Forecast is set if the endpoint was chosen, and Wait estimated, by a forecast of the answer.
	Forecast bool
	// FetchFrom probably has cached parts of the prompt that the endpoint lacks; nil if there is
	// none.
	FetchFrom *bundle.Endpoint
	// TightGap is set if the stream would exceed its gap limit beside long prompts.
	TightGap bool
	// DedicatedEndpoints is the number of endpoints dedicated to such streams.
	DedicatedEndpoints int
	// BackingOff and Leaving count the candidates that got no request since they asked this router
	// to back off or are leaving.
	BackingOff, Leaving int
	// CopyTo is the endpoint to which the stream's KV cache is copied as it grows, so that the
	// stream can resume there after a crash; nil if that isn't worth its cost.
	CopyTo *bundle.Endpoint
}

// ChoiceEstimator is a Policy that can estimate more about its choice.
type ChoiceEstimator interface {
	// Estimate returns the estimates for the chosen view. leaving are the views of endpoints that
	// accept no new requests but still serve their caches.
	Estimate(req Request, views, leaving []View, chosen int) Estimates
}

// Estimates holds a policy's estimates for a choice. Indexes are those of the views, followed
// by those of leaving endpoints; -1 means none.
type Estimates struct {
	// Wait, PrefillTime, Forecast, TightGap and DedicatedEndpoints are as in Choice.
	Wait, PrefillTime  time.Duration
	Forecast           bool
	TightGap           bool
	DedicatedEndpoints int
	// FetchFrom is the index of the endpoint to fetch missing cached parts from, and CopyTo that
	// of the one to which the KV cache is copied.
	FetchFrom, CopyTo int
}

// StreamObserver is a Policy that learns from finished streams.
type StreamObserver interface {
	// StreamEnded records the end of a stream of a service with the given gap limit, the time
	// for which it held its slot, and whether it exceeded its objective or gap limit.
	StreamEnded(now time.Time, service string, gap, held time.Duration, late bool)
}

// ChooseWithEstimates is Choose that also returns the policy's estimates.
func (p *Pool) ChooseWithEstimates(now time.Time, req Request, candidates []*bundle.Endpoint, skip func(endpoint string) bool) (Choice, error) {
	s := p.scratch.Get().(*scratch)
	defer p.scratch.Put(s)
	i, err := p.choose(s, now, req, candidates, skip)
	if err != nil {
		return Choice{}, err
	}
	choice := Choice{Endpoint: candidates[s.candidateIndexes[i]], BackingOff: s.excluded.backingOff, Leaving: s.excluded.leaving}
	choice.SecondsPerOutputToken = s.views[i].SecondsPerOutputToken
	e, ok := p.cfg.Policy.(ChoiceEstimator)
	if !ok {
		return choice, nil
	}
	expected := e.Estimate(req, s.views, s.leaving, i)
	choice.Wait, choice.PrefillTime, choice.TightGap, choice.DedicatedEndpoints = expected.Wait, expected.PrefillTime, expected.TightGap, expected.DedicatedEndpoints
	choice.Forecast = expected.Forecast
	if expected.FetchFrom >= 0 {
		choice.FetchFrom = candidates[append(s.candidateIndexes, s.leavingIndexes...)[expected.FetchFrom]]
	}
	if expected.CopyTo >= 0 {
		choice.CopyTo = candidates[s.candidateIndexes[expected.CopyTo]]
	}
	return choice, nil
}

// choose returns the index of the chosen view in the scratch.
func (p *Pool) choose(s *scratch, now time.Time, req Request, candidates []*bundle.Endpoint, skip func(string) bool) (int, error) {
	s.pcg.Seed(p.cfg.Seed, p.choiceCount.Add(1))
	s.excluded = p.collect(s, now, req, candidates, skip)
	if s.excluded.rateLimited > 0 && 2*s.excluded.suspect > len(candidates) {
		// This router itself is or was disconnected. Suspect endpoints aren't limited to the rate
		// of cold ones then, so that it notices at once when its network is back.
		req.majoritySuspect = true
		s.excluded = p.collect(s, now, req, candidates, skip)
	}
	comparePaces(s.views, s.leaving)
	if i, weight := p.distrustedView(now, req, s.views, s.rnd); i >= 0 && (!s.views[i].Metered || p.Take(now, candidates[s.candidateIndexes[i]], req)) {
		// Estimates for the choice are made as if the endpoint were chosen by load.
		s.views[i].Weight = weight
		p.recordDistrustedChoice(now, req, s.views[i], s.rnd)
		return i, nil
	}
	restoreIfAllEjected(s.views)
	for {
		i, ok := p.cfg.Policy.Choose(now, req, s.views, s.rnd)
		if !ok {
			if s.excluded.rateLimited+s.excluded.backingOff > 0 {
				p.recordUnserved(now, candidates, req)
			}
			return 0, s.excluded.error(len(candidates))
		}
		chosen := candidates[s.candidateIndexes[i]]
		if !s.views[i].Metered || p.Take(now, chosen, req) {
			return i, nil
		}
		// A concurrent request used up the rate limit or the ramp.
		if delay := p.backoffLeft(now, chosen.Name, req.Tier); delay > 0 {
			s.excluded.addBackingOff(delay)
		} else {
			s.excluded.addRateLimited(p.recordRejected(now, chosen, req))
		}
		s.views = slices.Delete(s.views, i, i+1)
		s.candidateIndexes = slices.Delete(s.candidateIndexes, i, i+1)
	}
}

// collect fills the scratch with the views of the usable candidates.
func (p *Pool) collect(s *scratch, now time.Time, req Request, candidates []*bundle.Endpoint, skip func(string) bool) (excluded exclusions) {
	s.views = s.views[:0]
	s.candidateIndexes = s.candidateIndexes[:0]
	s.leaving = s.leaving[:0]
	s.leavingIndexes = s.leavingIndexes[:0]
	for i, c := range candidates {
		if skip != nil && skip(c.Name) {
			excluded.addSkipped(p.backoffLeft(now, c.Name, req.Tier))
			continue
		}
		s.views = append(s.views, View{})
		v := &s.views[len(s.views)-1]
		avail := p.fillView(now, c, v, req)
		if v.Suspect {
			excluded.suspect++
		}
		switch avail {
		case accepting:
			s.candidateIndexes = append(s.candidateIndexes, i)
			continue
		case atRateLimit:
			excluded.addRateLimited(p.recordRejected(now, c, req))
		case backingOff:
			excluded.addBackingOff(p.backoffLeft(now, c.Name, req.Tier))
		case draining:
			s.leaving = append(s.leaving, *v)
			s.leavingIndexes = append(s.leavingIndexes, i)
			excluded.leaving++
		}
		s.views = s.views[:len(s.views)-1]
	}
	return excluded
}

// availability reports whether an endpoint may be sent a request.
type availability uint8

const (
	accepting availability = iota
	// draining: it accepts no new requests.
	draining
	// atRateLimit: the endpoint has a rate limit, and this router has used up its share.
	atRateLimit
	// backingOff: the endpoint asked this router to back off, or takes no more requests yet in
	// the ramp after that.
	backingOff
)

// restoreIfAllEjected restores the weight of ejected endpoints if there are no others: a slow
// response is better than none.
func restoreIfAllEjected(views []View) {
	for i := range views {
		if views[i].Weight > 0 {
			return
		}
	}
	for i := range views {
		views[i].Weight = 1
	}
}

// fillView fills v and returns whether the endpoint may be sent the request.
func (p *Pool) fillView(now time.Time, c *bundle.Endpoint, v *View, req Request) availability {
	sh := p.shard(c.Name)
	sh.mu.Lock()
	st := sh.state(c.Name)
	change := st.updateDistrust(now)
	avail := p.fillViewOf(now, st, c, v, req)
	sh.mu.Unlock()
	p.notifyRefusals(RefusalEvent{Endpoint: c.Name}, change)
	return avail
}

// fillViewOf is fillView for the state of the endpoint, whose shard is locked.
func (p *Pool) fillViewOf(now time.Time, st *state, c *bundle.Endpoint, v *View, req Request) availability {
	if st.group == "" {
		st.group, st.domain = endpointGroup(c), c.FailureDomain
	}
	if st.speeds == nil {
		st.speeds = p.speedsOf(st.group)
	}
	st.fillView(c, v)
	paceNow := st.pace.At(now)
	v.Pace, v.PaceClass = paceNow.Factor, paceNow.Class
	speed := st.speeds.estimate(st.outputToken, v.Pace)
	v.SecondsPerOutputToken, v.SecondsPerPromptToken, v.PrefillOverhead = speed.SecondsPerOutputToken, speed.SecondsPerPromptToken, speed.PrefillOverhead
	v.CachedTokens = st.cachedParts.cached(now, req.Prompt)
	v.Full = st.full(now)
	v.Weight = st.health.weight(now, p.cfg.Outlier)
	if st.rateState.suspect || now.Before(st.avoidUntil) || st.backoff.avoided(now) {
		v.Weight = 0
	}
	if req.Retry && st.backoff.untested(now) {
		v.Weight = 0 // another refusal would cost another retry
	}
	_, limited := st.rateState.currentLimit(now, c, req)
	v.Metered = limited || st.backoff.ramping(now)
	v.ReducedCapacity = st.rateState.reducedCapacity(now, req.ColdRate)
	v.Suspect = st.rateState.suspect
	v.Distrusted = st.refusals.Distrusted()
	switch {
	case st.leaving:
		return draining
	case !st.backoff.allows(now, req.Tier):
		return backingOff
	case !p.ready(now, st, c, req):
		return atRateLimit
	}
	return accepting
}

func (p *Pool) speedsOf(group string) *engineSpeeds {
	speeds, _ := p.speedsByGroup.LoadOrStore(group, &engineSpeeds{})
	return speeds.(*engineSpeeds)
}

// Views returns the state of the candidates for status pages, in their order and including
// leaving ones.
func (p *Pool) Views(now time.Time, candidates []*bundle.Endpoint) []View {
	views := make([]View, len(candidates))
	for i, c := range candidates {
		p.fillView(now, c, &views[i], Request{})
	}
	comparePaces(views, nil)
	return views
}

// Sent records that a request was sent to an endpoint. Each call must be followed by one of Done.
func (p *Pool) Sent(now time.Time, endpoint string) {
	sh := p.shard(endpoint)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.state(endpoint).recordSent(now)
}

// Report records a load report of an endpoint. A report with an older Seq than the last one is
// ignored.
func (p *Pool) Report(now time.Time, endpoint string, r load.Report) {
	sh := p.shard(endpoint)
	sh.mu.Lock()
	st := sh.state(endpoint)
	changed := st.recordReport(now, r, p.cfg.SeqHold)
	estimate := st.pace.At(now)
	sh.mu.Unlock()
	p.notifyPace(changed, endpoint, estimate)
	p.detectOutliers(now, false)
}

// Done records the outcome of a request. firstToken is the time from sending to the first token,
// 0 if there was none.
func (p *Pool) Done(now time.Time, endpoint string, res Result, firstToken time.Duration) {
	sh := p.shard(endpoint)
	sh.mu.Lock()
	st := sh.state(endpoint)
	st.recordDone(now, res, firstToken, p.cfg.FirstTokenSmoothing)
	failing := res == ResultFailed && st.health.failureShare > p.cfg.Outlier.FailureShare
	sh.mu.Unlock()
	p.detectOutliers(now, failing)
}

// SetLeaving records whether membership lists an endpoint as leaving. A leaving endpoint isn't
// chosen, whatever older reports say, until membership lists it as returned (false) or Forget is
// called.
func (p *Pool) SetLeaving(endpoint string, leaving bool) {
	sh := p.shard(endpoint)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.state(endpoint).leaving = leaving
}

// Usable reports whether an endpoint may be sent new requests and is neither suspect, avoided nor
// backing off.
func (p *Pool) Usable(now time.Time, endpoint string) bool {
	sh := p.shard(endpoint)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	st, known := sh.states[endpoint]
	return known && !st.leaving && !st.rateState.suspect && !now.Before(st.avoidUntil) && st.backoff.allows(now, 0)
}

// InService reports whether an endpoint is neither leaving nor suspect. It may be at its rate limit
// or backing off.
func (p *Pool) InService(endpoint string) bool {
	sh := p.shard(endpoint)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	st, known := sh.states[endpoint]
	return !known || !st.leaving && !st.rateState.suspect
}

// Inflight returns the number of this router's requests at an endpoint.
func (p *Pool) Inflight(endpoint string) int {
	sh := p.shard(endpoint)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if st := sh.states[endpoint]; st != nil {
		return st.inflight
	}
	return 0
}

// AcceptsWork reports whether an endpoint is known and neither leaving nor backing off.
func (p *Pool) AcceptsWork(now time.Time, endpoint string) bool {
	sh := p.shard(endpoint)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	st, known := sh.states[endpoint]
	return known && !st.leaving && st.backoff.allows(now, 0)
}

// Restart records that the process of an endpoint was replaced by another one. The new process
// inherits no cached parts, running requests, load or failures. Peer reports about the old
// process may still arrive for a while and are ignored.
func (p *Pool) Restart(now time.Time, endpoint string) {
	sh := p.shard(endpoint)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.states[endpoint] = &state{restartedAt: now}
}

// Forget drops the state of an endpoint that is gone.
func (p *Pool) Forget(endpoint string) {
	sh := p.shard(endpoint)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	delete(sh.states, endpoint)
}
