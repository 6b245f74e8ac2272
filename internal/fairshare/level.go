package fairshare

import (
	"cmp"
	"math"
	"slices"
)

const (
	// thinningStart is the pressure from which work is refused. Below it requests are in time with
	// half of the limit to spare.
	thinningStart = 0.5
	// thinningEnd is the pressure at which all work is refused: the limit itself, so that the wait
	// settles below it whatever the load. At three times what fits it settles at 0.83.
	thinningEnd = 1.0
)

// AdmittedPart returns the part of the requested work that is admitted at a pressure. It is a
// function of the pressure alone, so that routers that see the same pressure agree without a
// message, and a router that starts has nothing to learn.
func AdmittedPart(pressure float64) float64 {
	return min(max((thinningEnd-pressure)/(thinningEnd-thinningStart), 0), 1)
}

// load is the work of a number of teams, each with the same sum.
type load struct {
	sum   float64
	teams int
}

// fairLevel returns the max-min fair level: if each team gets its sum, but at most the level, all get
// the given part of the total. It sorts the loads.
func fairLevel(loads []load, part float64) float64 {
	if part >= 1 {
		return math.Inf(1)
	}
	slices.SortFunc(loads, func(a, b load) int { return cmp.Compare(a.sum, b.sum) })
	left, teams := 0.0, 0
	for _, l := range loads {
		left += l.sum * float64(l.teams)
		teams += l.teams
	}
	left *= part
	for _, l := range loads {
		level := left / float64(teams)
		if l.sum > level {
			return level
		}
		left -= l.sum * float64(l.teams)
		teams -= l.teams
	}
	return math.Inf(1) // no work is known
}
