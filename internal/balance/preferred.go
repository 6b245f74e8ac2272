package balance

import (
	"math"

	"coveferry/internal/pace"
)

// preferredEndpoint returns the index of the endpoint that all routers prefer for the prompt's
// shared parts, -1 if it has none.
func preferredEndpoint(req Request, views []View, group []int) int {
	key := req.Prompt.SharedPrefixID()
	if key == 0 {
		return -1
	}
	usual := usualPace(views)
	preferred, best := group[0], newPreference(key, &views[group[0]], usual)
	for _, i := range group[1:] {
		if p := newPreference(key, &views[i], usual); p.above(best) {
			preferred, best = i, p
		}
	}
	return preferred
}

// usualPace returns the pace with which those of the views are compared.
func usualPace(views []View) pace.Usual {
	return pace.UsualOf(func(yield func(pace.Class) bool) {
		for i := range views {
			if !yield(views[i].PaceClass) {
				return
			}
		}
	})
}

// preference is an endpoint's rank for a key by weighted rendezvous hashing: each endpoint is ranked
// first for a part of the keys in proportion to its weight, and a changed weight moves only keys of
// this endpoint.
type preference struct {
	hash   uint64
	weight float64
}

func newPreference(key uint64, v *View, usual pace.Usual) preference {
	return preference{hash: rendezvous(key, v.Endpoint), weight: usual.Weight(v.PaceClass)}
}

// above reports whether p is ranked above other.
func (p preference) above(other preference) bool {
	if p.weight == other.weight {
		return p.hash > other.hash
	}
	return p.delay() < other.delay()
}

// delay is exponentially distributed over the keys, with a rate that is the weight. The endpoint with
// the lowest one is ranked first.
func (p preference) delay() float64 {
	return -math.Log((float64(p.hash)+0.5)/(1<<64)) / p.weight
}
