package balance

// Pace is how fast the streams of an endpoint go on against those of its peers.
type Pace uint8

// The paces of endpoints.
const (
	PaceUnknown Pace = iota
	PaceUsual
	PaceSlow
)

const (
	// slowFrom is how many times as long as its peers an endpoint takes for a token to count
	// as slow, and slowUntil below how many it no longer does. Endpoints that run more streams
	// than others differ by less.
	slowFrom  = 1.8
	slowUntil = 1.5
	// leastPace is how many samples of an endpoint tell its pace: those of a stream's first
	// tenths of a second.
	leastPace = 4
	// bestQuantile of the times between tokens is that of an engine with few streams that
	// reads nothing meanwhile, which tells of its VM rather than of its load.
	bestQuantile = 0.1
)

// paceOf is the pace of an endpoint with this time between tokens, and which had another pace
// before.
func (e *engineSpeeds) paceOf(own quantile, before Pace) Pace {
	e.mu.Lock()
	defer e.mu.Unlock()
	if own.samples < leastPace || e.best.samples < leastSamples {
		return before
	}
	limit := slowFrom
	if before == PaceSlow {
		limit = slowUntil
	}
	if own.value > limit*e.best.value {
		return PaceSlow
	}
	return PaceUsual
}

// hearPace takes in what another router knows of the endpoint's pace, if this one doesn't.
func (st *state) hearPace(said Pace) {
	if st.best.samples < leastPace && said != PaceUnknown {
		st.pace = said
	}
}
