package poison

import (
	"slices"
	"time"
)

const (
	// lossThreshold is how many endpoints may end under a request, with no answer in between,
	// before it is held back. One ends by chance, a second where many do at once; by the
	// third the request is the likely cause, and each further one costs all that runs there.
	lossThreshold = 3
	// maxLossesKept bounds what is kept of one request. The newest tell how long it is held.
	maxLossesKept = 8
	// initialHold is how long a request is held back under which maxLost endpoints ended at
	// once, as they do when a failure domain loses power: long enough for endpoints to be
	// back. It grows by holdGrowth for each time that one ended after the one before, which
	// only the request explains: three minutes after three in turn. Past longestHold one
	// endpoint an hour is what it costs to find out that the request is harmless now.
	initialHold    = 5 * time.Second
	holdMultiplier = 6
	maxHold        = time.Hour
	// lossRetention is how long it counts that an endpoint ended under a request: one that
	// comes back later is no storm. Of a request that was held back it is remembered for
	// heldMemory beyond that, so that one that comes once an hour is known.
	lossRetention       = 10 * time.Minute
	quarantineRetention = 2 * time.Hour
	// minRestartTime is the least time that an endpoint takes to start again under its name. One
	// that answers what was sent to it sooner after a connection to it broke has lived on.
	minRestartTime = time.Second
	// staggerDivisor of the time for which a request is held back is how far routers let their
	// trials begin apart, so that the first one's outcome is known to the others.
	staggerDivisor = 4
)

// Loss is an endpoint that ended while it ran a request.
type Loss struct {
	// Endpoint names the endpoint and its process: one that starts again may end again.
	Endpoint string
	// Sent is when the attempt was sent, At when it ended with the endpoint.
	Sent, At time.Time
	// Early says that nothing of an answer had come.
	Early bool
	// learnedAt is when this router learned of it: what it was told may have been a little later
	// than the time that it was told.
	learnedAt time.Time
}

// record is what is known of one request.
type record struct {
	losses []Loss // the newest, by their time
	// survivors are endpoints that broke off the request and lived on, and survived is when the
	// latest of them was found to. What they break off tells nothing of the request.
	survivors  []string
	survivedAt time.Time
	// completedAt is when it was last answered; what was lost before doesn't count.
	completedAt time.Time
	// triedAt is when it was last let through though it was held back.
	triedAt   time.Time
	changedAt time.Time // when this was last news here
}

// addLoss adds a loss and says whether it is news.
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

// confirmSurvivor notes that an endpoint answered what was sent to it at a moment, and says whether it
// is thereby known to have lived on.
func (r *record) confirmSurvivor(endpoint string, sent, now time.Time) bool {
	disproved := func(l Loss) bool {
		return l.Endpoint == endpoint && sent.After(l.learnedAt) && sent.Sub(l.At) < minRestartTime
	}
	return slices.ContainsFunc(r.losses, disproved) && r.addSurvivor(endpoint, now)
}

// addSurvivor notes that an endpoint broke off the request and lived on, and says whether it is
// news.
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

// addCompletion notes an answer and says whether it is news.
func (r *record) addCompletion(at time.Time) bool {
	if !at.After(r.completedAt) {
		return false
	}
	r.completedAt = at
	r.losses = slices.DeleteFunc(r.losses, func(l Loss) bool { return !l.At.After(at) })
	return true
}

// addTrial notes a trial and says whether it is news.
func (r *record) addTrial(at time.Time) bool {
	if !at.After(r.triedAt) {
		return false
	}
	r.triedAt = at
	return true
}

// poisonous says that too many endpoints ended under the request.
func (r *record) poisonous() bool { return len(r.losses) >= lossThreshold }

// sequentialLosses is how often endpoints ended one after the other: attempts that were under way at
// the same time count once, since what ended their endpoints may be something else.
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

// holdDuration is how long the request is held back after the latest loss or trial.
func (r *record) holdDuration() time.Duration {
	duration := initialHold
	for range r.sequentialLosses() - 1 {
		duration = min(holdMultiplier*duration, maxHold)
	}
	return duration
}

// heldUntil is when a router may let it through again that begins its trials this share,
// from [0, 1), of the stagger later.
func (r *record) heldUntil(staggerFraction float64) time.Time {
	hold := r.holdDuration()
	return r.latestActivity().Add(hold + time.Duration(staggerFraction*float64(hold)/staggerDivisor))
}

// latestActivity is when something last happened.
func (r *record) latestActivity() time.Time {
	times := []time.Time{r.completedAt, r.triedAt, r.survivedAt}
	if n := len(r.losses); n > 0 {
		times = append(times, r.losses[n-1].At)
	}
	return slices.MaxFunc(times, time.Time.Compare)
}

// expired says that what is known counts no longer.
func (r *record) expired(now time.Time) bool {
	retention := lossRetention
	if r.poisonous() {
		retention = r.holdDuration() + quarantineRetention
	}
	return now.Sub(r.latestActivity()) > retention
}

// earlyLosses counts the losses before an answer began.
func (r *record) earlyLosses() int {
	n := 0
	for _, l := range r.losses {
		if l.Early {
			n++
		}
	}
	return n
}
