package poison

import (
	"slices"
	"time"
)

const (
	// lossThreshold is the number of endpoints lost while running a request, without a
	// response in between, after which it is quarantined. One may be lost by chance, and a
	// second one while many are lost at the same time. By the third, the request is the
	// likely cause, and each further loss costs all requests that run there.
	lossThreshold = 3
	// maxLossesKept limits the losses kept per request. The newest ones
	// and those in sequence determine the hold time.
	maxLossesKept = 8
	// initialHold is the hold time after lossThreshold simultaneous losses, as when a
	// failure domain loses power. It is long enough for the endpoints to be back. Each
	// further loss in sequence (see sequentialLosses), which only the request explains,
	// multiplies the hold time by holdMultiplier: it is three minutes after three
	// sequential losses. At maxHold, finding out whether the request is harmless by now
	// costs at most one endpoint an hour.
	initialHold    = 5 * time.Second
	holdMultiplier = 6
	maxHold        = time.Hour
	// lossRetention is how long losses count: a request repeated less often than that does
	// limited damage. Quarantined requests are remembered for quarantineRetention after
	// their hold time, so that one repeated every hour is still recognized.
	lossRetention       = 10 * time.Minute
	quarantineRetention = 2 * time.Hour
	// clearedPartRetention is how long a part without losses is remembered: until its losses
	// are cleared at all routers.
	clearedPartRetention = 30 * time.Second
	// minRestartTime is the minimum time in which an endpoint restarts under its name. An
	// endpoint that answers a request sent less than this after its connection broke has
	// survived.
	minRestartTime = time.Second
	// crashDelay is the longest time from a request's first event to the crash of its endpoint
	// if one of its parts causes it. A request that had been streaming longer was not the cause.
	crashDelay = 300 * time.Millisecond
)

// Loss is the loss of an endpoint while it ran a request.
type Loss struct {
	// Endpoint names the endpoint and its process: an endpoint that restarts may be lost
	// again.
	Endpoint string
	// Sent is when the attempt was sent, At when the endpoint was lost.
	Sent, At time.Time
	// Early reports that no part of the response had arrived.
	Early bool
	// Streamed is how long the request's events had been arriving.
	Streamed time.Duration
	// reported says that another router observed the loss.
	reported bool
	// learnedAt is when this router learned of the loss. At may be slightly earlier than
	// the loss itself if another router reported it.
	learnedAt time.Time
}

// record holds what is known about one request, or about the requests that share a part.
type record struct {
	part   uint64 // ID of the part; 0 for a whole request
	losses []Loss // newest ones, sorted by time
	// survivedAt is when losses were last dropped since their endpoint had survived.
	survivedAt time.Time
	// completedAt is when the request last got a response. Losses before that don't count.
	completedAt time.Time
	// triedAt is when the request was last let through as a trial while quarantined.
	triedAt   time.Time
	changedAt time.Time // when this router's record last changed
	// cleared is the number of losses that the latest completion cleared, here or at others.
	cleared int
	// failedTrials is the number of losses to trials.
	failedTrials int
	// refusals is the number of requests that this router refused since the latest loss.
	refusals int
}

// addLoss adds a loss and reports whether the record changed.
func (r *record) addLoss(l Loss) bool {
	if !l.At.After(r.completedAt) || r.hasLossAt(l.Endpoint) {
		return false
	}
	if r.quarantined() && r.isTrial(l) {
		r.failedTrials++
	}
	at, _ := slices.BinarySearchFunc(r.losses, l, func(a, b Loss) int { return a.At.Compare(b.At) })
	r.losses = slices.Insert(r.losses, at, l)
	r.refusals = 0
	if len(r.losses) <= maxLossesKept {
		return true
	}
	dropped := r.leastRelevantLoss()
	r.losses = slices.Delete(r.losses, dropped, dropped+1)
	return dropped != at
}

// isTrial reports whether the lost attempt was a trial. Received times may be slightly off.
func (r *record) isTrial(l Loss) bool {
	return !r.triedAt.IsZero() && l.Sent.Sub(r.triedAt) > -maxTransitError
}

// leastRelevantLoss returns the index of the oldest loss that sequentialLosses doesn't count,
// or else of the oldest one.
func (r *record) leastRelevantLoss() int {
	sequence := r.sequence()
	for i := range r.losses {
		if !slices.Contains(sequence, i) {
			return i
		}
	}
	return 0
}

func (r *record) hasLossAt(endpoint string) bool {
	return slices.ContainsFunc(r.losses, func(l Loss) bool { return l.Endpoint == endpoint })
}

// dropLossesAt drops the losses of an endpoint that survived, and reports whether there were any.
func (r *record) dropLossesAt(endpoint string, now time.Time) bool {
	if !r.hasLossAt(endpoint) {
		return false
	}
	r.losses = slices.DeleteFunc(r.losses, func(l Loss) bool { return l.Endpoint == endpoint })
	r.survivedAt = now
	return true
}

// addCompletion records a response and reports whether the record changed. Requests that
// share a part complete all the time, so that a completion changes a part's record only if
// it clears losses.
func (r *record) addCompletion(at time.Time) bool {
	if !at.After(r.completedAt) {
		return false
	}
	r.completedAt = at
	before := len(r.losses)
	r.losses = slices.DeleteFunc(r.losses, func(l Loss) bool { return !l.At.After(at) })
	cleared := before - len(r.losses)
	if cleared > 0 {
		r.cleared, r.failedTrials = cleared, 0
	}
	return r.part == 0 || cleared > 0
}

// weight returns how much the record matters to others: the losses that it has or has
// cleared.
func (r *record) weight() int { return max(len(r.losses), r.cleared) }

// addTrial records a trial and reports whether the record changed.
func (r *record) addTrial(at time.Time) bool {
	if !at.After(r.triedAt) {
		return false
	}
	r.triedAt = at
	return true
}

// quarantined reports whether too many endpoints were lost to the request. Many requests may
// share a part, so that one crash of a failure domain loses several endpoints to it. Only
// losses in sequence count for a part.
func (r *record) quarantined() bool {
	if r.part != 0 {
		return r.sequentialLosses() >= lossThreshold
	}
	return len(r.losses) >= lossThreshold
}

// sequentialLosses returns the number of losses in sequence. Losses of attempts that
// overlapped in time count once, since they may have another common cause.
func (r *record) sequentialLosses() int { return len(r.sequence()) }

// sequence returns the indexes of losses whose attempts didn't overlap in time, from the
// oldest.
func (r *record) sequence() []int {
	var indexes []int
	var ended time.Time
	for i, l := range r.losses {
		if len(indexes) == 0 || !l.Sent.Before(ended) {
			indexes = append(indexes, i)
			ended = l.At
		}
	}
	return indexes
}

// holdDuration returns how long the request is held after the latest loss or trial. The
// requests that share a part may come fast, so that their losses after the first few count
// only if they were trials.
func (r *record) holdDuration() time.Duration {
	steps := r.sequentialLosses() - 1
	if r.part != 0 {
		steps = lossThreshold - 1 + r.failedTrials
	}
	duration := initialHold
	for range steps {
		duration = min(holdMultiplier*duration, maxHold)
	}
	return duration
}

// latestActivity returns the time of the latest event of the record.
func (r *record) latestActivity() time.Time {
	times := []time.Time{r.completedAt, r.triedAt, r.survivedAt}
	if n := len(r.losses); n > 0 {
		times = append(times, r.losses[n-1].At)
	}
	return slices.MaxFunc(times, time.Time.Compare)
}

// expired reports whether the record no longer counts.
func (r *record) expired(now time.Time) bool {
	retention := lossRetention
	switch {
	case r.quarantined():
		retention = r.holdDuration() + quarantineRetention
	case r.part != 0 && len(r.losses) == 0:
		retention = clearedPartRetention
	}
	return now.Sub(r.latestActivity()) > retention
}

// earlyLosses returns the number of losses before any part of a response.
func (r *record) earlyLosses() int {
	n := 0
	for _, l := range r.losses {
		if l.Early {
			n++
		}
	}
	return n
}
