package balance

import "math"

// homeOf is the endpoint that all routers prefer for the prompt's shared parts,
// -1 if it has none.
func homeOf(req Request, views []View, group []int) int {
	key := req.Prompt.Home()
	if key == 0 {
		return -1
	}
	home, best := group[0], views[group[0]].homeRank(key)
	for _, i := range group[1:] {
		if rank := views[i].homeRank(key); rank > best {
			home, best = i, rank
		}
	}
	return home
}

// slowHomes is how many homes a slow endpoint has for each of another one's. With as many it
// gets more to read than it can, and its streams hardly go on.
const slowHomes = 0.4

// homeRank ranks an endpoint as a home by weighted rendezvous hashing: it is the highest for a
// part of the keys in proportion to its weight.
func (v *View) homeRank(key uint64) float64 {
	weight := 1.0
	if v.Slow {
		weight = slowHomes
	}
	const bits = 52 // so that a float holds a half besides
	drawn := (float64(rendezvous(key, v.Endpoint)>>(64-bits)) + 0.5) / (1 << bits)
	return -weight / math.Log(drawn)
}
