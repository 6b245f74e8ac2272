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
	// maxLossesKept limits the losses, and the survivors, kept per request. The newest
	// losses determine the hold time.
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
	// minRestartTime is the minimum time in which an endpoint restarts under its name. An
	// endpoint that answers a request sent less than this after its connection broke has
	// survived.
	minRestartTime = time.Second
	// staggerDivisor sets the stagger of trials: routers spread their start over the hold
	// time divided by it, so that the others learn the outcome of the first trial.
	staggerDivisor = 4
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
	// learnedAt is when this router learned of the loss. At may be slightly earlier than
	// the loss itself if another router reported it.
	learnedAt time.Time
}

// record holds what is known about one request.
type record struct {
	losses []Loss // newest ones, sorted by time
	// survivors are endpoints that broke the connection but stayed alive, and survivedAt
	// is when the latest of them was found to be alive. Their broken connections say
	// nothing about the request.
	survivors  []string
	survivedAt time.Time
	// completedAt is when the request last got a response. Losses before that don't count.
	completedAt time.Time
	// triedAt is when the request was last let through as a trial while quarantined.
	triedAt   time.Time
	changedAt time.Time // when this router's record last changed
}

// addLoss adds a loss and reports whether the record changed.
func (r *record) addLoss(l Loss) bool {
	if !l.At.After(r.completedAt) || r.hasLossAt(l.Endpoint) || slices.Contains(r.survivors, l.Endpoint) {
		return false
	}
	at, _ := slices.BinarySearchFunc(r.losses, l, func(a, b Loss) int { return a.At.Compare(b.At) })
	if at == 0 && len(r.losses) == maxLossesKept {
		return false
	}
	r.losses = slices.Insert(r.losses, at, l)
	r.losses = r.losses[max(0, len(r.losses)-maxLossesKept):]
	return true
}

func (r *record) hasLossAt(endpoint string) bool {
	return slices.ContainsFunc(r.losses, func(l Loss) bool { return l.Endpoint == endpoint })
}

// confirmSurvivor records that an endpoint answered a request sent at the given time, and
// reports whether this proves that it survived a loss.
func (r *record) confirmSurvivor(endpoint string, sent, now time.Time) bool {
	disproved := func(l Loss) bool {
		return l.Endpoint == endpoint && sent.After(l.learnedAt) && sent.Sub(l.At) < minRestartTime
	}
	return slices.ContainsFunc(r.losses, disproved) && r.addSurvivor(endpoint, now)
}

// addSurvivor records that an endpoint survived, and reports whether the record changed.
func (r *record) addSurvivor(endpoint string, now time.Time) bool {
	if slices.Contains(r.survivors, endpoint) {
		return false
	}
	r.losses = slices.DeleteFunc(r.losses, func(l Loss) bool { return l.Endpoint == endpoint })
	r.survivors = append(r.survivors, endpoint)
	r.survivors = r.survivors[max(0, len(r.survivors)-maxLossesKept):]
	r.survivedAt = now
	return true
}

// addCompletion records a response and reports whether the record changed.
func (r *record) addCompletion(at time.Time) bool {
	if !at.After(r.completedAt) {
		return false
	}
	r.completedAt = at
	r.losses = slices.DeleteFunc(r.losses, func(l Loss) bool { return !l.At.After(at) })
	return true
}

// addTrial records a trial and reports whether the record changed.
func (r *record) addTrial(at time.Time) bool {
	if !at.After(r.triedAt) {
		return false
	}
	r.triedAt = at
	return true
}

// quarantined reports whether too many endpoints were lost to the request.
func (r *record) quarantined() bool { return len(r.losses) >= lossThreshold }

// sequentialLosses returns the number of losses in sequence. Losses of attempts that
// overlapped in time count once, since they may have another common cause.
func (r *record) sequentialLosses() int {
	count := 0
	var ended time.Time
	for _, l := range r.losses {
		if count == 0 || !l.Sent.Before(ended) {
			count++
			ended = l.At
		}
	}
	return count
}

// holdDuration returns how long the request is held after the latest loss or trial.
func (r *record) holdDuration() time.Duration {
	duration := initialHold
	for range r.sequentialLosses() - 1 {
		duration = min(holdMultiplier*duration, maxHold)
	}
	return duration
}

// heldUntil returns when a router may try the request again. staggerFraction, from [0, 1),
// is the router's position in the stagger.
func (r *record) heldUntil(staggerFraction float64) time.Time {
	hold := r.holdDuration()
	return r.latestActivity().Add(hold + time.Duration(staggerFraction*float64(hold)/staggerDivisor))
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
	if r.quarantined() {
		retention = r.holdDuration() + quarantineRetention
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
