package balance

import (
	"time"

	"coveferry/internal/bundle"
)

// Pair holds the endpoints at which a request is queued. With late binding it is queued at both
// and runs where a slot is free first; it is then cancelled at the other.
type Pair struct {
	First *bundle.Endpoint
	// Second is nil if First is known to have free slots or no other endpoint is usable.
	Second *bundle.Endpoint
}

// ChoosePair is Choose for late binding. Call Sent for each endpoint of the pair, and Done with
// ResultCancelled for the one where the request didn't run. An agent must ask the router before
// it starts a request that is queued at two endpoints.
func (p *Pool) ChoosePair(now time.Time, req Request, candidates []*bundle.Endpoint, skip func(endpoint string) bool) (Pair, error) {
	s := p.scratch.Get().(*scratch)
	defer p.scratch.Put(s)
	first, err := p.choose(s, now, req, candidates, skip)
	if err != nil {
		return Pair{}, err
	}
	pair := Pair{First: candidates[s.candidateIndexes[first]]}
	if s.views[first].hasFreeSlots(p.cfg.LateBindingThreshold) {
		return pair, nil
	}
	s.remove(first)
	second, ok := p.cfg.Policy.Choose(now, req, s.views, s.rnd)
	if ok {
		pair.Second = candidates[s.candidateIndexes[second]]
	}
	return pair, nil
}

// hasFreeSlots reports whether the slot utilization is known to be below the threshold.
func (v *View) hasFreeSlots(threshold float64) bool {
	return !v.ReportedAt.IsZero() && v.loadPerSlot() < threshold
}

func (s *scratch) remove(i int) {
	last := len(s.views) - 1
	s.views[i], s.candidateIndexes[i] = s.views[last], s.candidateIndexes[last]
	s.views, s.candidateIndexes = s.views[:last], s.candidateIndexes[:last]
}
