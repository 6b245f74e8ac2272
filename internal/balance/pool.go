package balance

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"coveferry/internal/bundle"
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
