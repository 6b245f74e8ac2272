package balance

import (
	"math"
	"slices"

	"coveferry/internal/pace"
)

// preferredEndpoint returns the index of the endpoint that all routers prefer for the prompt's
// shared parts, -1 if it has none.
func preferredEndpoint(req Request, views []View, group []int) int {
	key := req.Prompt.SharedPrefixID()
	if key == 0 {
		return -1
	}
	preferred, best := group[0], newPreference(key, &views[group[0]])
	for _, i := range group[1:] {
		if p := newPreference(key, &views[i]); p.above(best) {
			preferred, best = i, p
		}
	}
	return preferred
}

// alternateCount is the number of endpoints next in rank after the preferred one at which requests
// for the same parts meet when the preferred one is backlogged. More would spread a part over so many
// endpoints that each prefills it for few requests.
const alternateCount = 2

// alternates returns the indexes of the endpoints that come after the preferred one for the prompt's
// shared parts: the same at all routers, so that these parts are cached at few endpoints.
func alternates(req Request, views []View, group []int, preferred int) []int {
	key := req.Prompt.SharedPrefixID()
	found := make([]int, 0, alternateCount+1)
	for _, i := range group {
		if i == preferred {
			continue
		}
		p := newPreference(key, &views[i])
		at := len(found)
		for at > 0 && p.above(newPreference(key, &views[found[at-1]])) {
			at--
		}
		found = slices.Insert(found, at, i)
		found = found[:min(len(found), alternateCount)]
	}
	return found
}

// comparePaces sets the weights of the endpoints that are slower than usual among the views. It is
// called once for a choice.
func comparePaces(views, leaving []View) {
	known := func(v *View) bool { return v.PaceClass != pace.Unknown }
	first := 0
	for first < len(views) && !known(&views[first]) {
		first++
	}
	if first == len(views) {
		return
	}
	usual := pace.UsualOf(func(yield func(pace.Class) bool) {
		for i := first; i < len(views); i++ {
			if !yield(views[i].PaceClass) {
				return
			}
		}
	})
	if usual.Uneven {
		setSlowWeights(views, usual)
	}
	setSlowWeights(leaving, usual)
}

func setSlowWeights(views []View, usual pace.Usual) {
	for i := range views {
		if c := views[i].PaceClass; usual.Slow(c) {
			views[i].SlowWeight = usual.Weight(c)
		}
	}
}

// preference is an endpoint's rank for a key by weighted rendezvous hashing: each endpoint is ranked
// first for a part of the keys in proportion to its weight, and a changed weight moves only keys of
// this endpoint.
type preference struct {
	hash   uint64
	weight float64
}

func newPreference(key uint64, v *View) preference {
	p := preference{hash: rendezvous(key, v.Endpoint), weight: 1}
	if v.slow() {
		p.weight = v.SlowWeight
	}
	return p
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
