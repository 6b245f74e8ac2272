package poison

import (
	"slices"
	"time"
)

const (
	// maxLost is how many endpoints may end under a request, with no answer in between,
	// before it is held back. One ends by chance, a second where many do at once; by the
	// third the request is the likely cause, and each further one costs all that runs there.
	maxLost = 3
	// keptLosses bounds what is kept of one request. The newest tell how long it is held.
	keptLosses = 8
	// firstHold is how long a request is held back under which maxLost endpoints ended at
	// once, as they do when a failure domain loses power: long enough for endpoints to be
	// back. It grows by holdGrowth for each time that one ended after the one before, which
	// only the request explains: three minutes after three in turn. Past longestHold one
	// endpoint an hour is what it costs to find out that the request is harmless now.
	firstHold   = 5 * time.Second
	holdGrowth  = 6
	longestHold = time.Hour
	// forgetAfter is how long it counts that an endpoint ended under a request: one that
	// comes back later is no storm. Of a request that was held back it is remembered for
	// heldMemory beyond that, so that one that comes once an hour is known.
	forgetAfter = 10 * time.Minute
	heldMemory  = 2 * time.Hour
	// restartTakes is the least time that an endpoint takes to start again under its name. One
	// that answers what was sent to it sooner after a connection to it broke has lived on.
	restartTakes = time.Second
	// staggerShare of the time for which a request is held back is how far routers let their
	// trials begin apart, so that the first one's outcome is known to the others.
	staggerShare = 4
)

// Loss is an endpoint that ended while it ran a request.
type Loss struct {
	// Endpoint names the endpoint and its process: one that starts again may end again.
	Endpoint string
	// Sent is when the attempt was sent, At when it ended with the endpoint.
	Sent, At time.Time
	// Early says that nothing of an answer had come.
	Early bool
	// known is when this router learned of it: what it was told may have been a little later
	// than the time that it was told.
	known time.Time
}

// record is what is known of one request.
type record struct {
	losses []Loss // the newest, by their time
	// survivors are endpoints that broke off the request and lived on, and survived is when the
	// latest of them was found to. What they break off tells nothing of the request.
	survivors []string
	survived  time.Time
	// completed is when it was last answered; what was lost before doesn't count.
	completed time.Time
	// tried is when it was last let through though it was held back.
	tried   time.Time
	changed time.Time // when this was last news here
}

// lose adds a loss and says whether it is news.
func (r *record) lose(l Loss) bool {
	if !l.At.After(r.completed) || r.knows(l.Endpoint) || slices.Contains(r.survivors, l.Endpoint) {
		return false
	}
	at, _ := slices.BinarySearchFunc(r.losses, l, func(a, b Loss) int { return a.At.Compare(b.At) })
	if at == 0 && len(r.losses) == keptLosses {
		return false
	}
	r.losses = slices.Insert(r.losses, at, l)
	r.losses = r.losses[max(0, len(r.losses)-keptLosses):]
	return true
}

func (r *record) knows(endpoint string) bool {
	return slices.ContainsFunc(r.losses, func(l Loss) bool { return l.Endpoint == endpoint })
}

// survive notes that an endpoint answered what was sent to it at a moment, and says whether it
// is thereby known to have lived on.
func (r *record) survive(endpoint string, sent, now time.Time) bool {
	lived := func(l Loss) bool {
		return l.Endpoint == endpoint && sent.After(l.known) && sent.Sub(l.At) < restartTakes
	}
	return slices.ContainsFunc(r.losses, lived) && r.livedOn(endpoint, now)
}

// livedOn notes that an endpoint broke off the request and lived on, and says whether it is
// news.
func (r *record) livedOn(endpoint string, now time.Time) bool {
	if slices.Contains(r.survivors, endpoint) {
		return false
	}
	r.losses = slices.DeleteFunc(r.losses, func(l Loss) bool { return l.Endpoint == endpoint })
	r.survivors = append(r.survivors, endpoint)
	r.survivors = r.survivors[max(0, len(r.survivors)-keptLosses):]
	r.survived = now
	return true
}

// complete notes an answer and says whether it is news.
func (r *record) complete(at time.Time) bool {
	if !at.After(r.completed) {
		return false
	}
	r.completed = at
	r.losses = slices.DeleteFunc(r.losses, func(l Loss) bool { return !l.At.After(at) })
	return true
}

// try notes a trial and says whether it is news.
func (r *record) try(at time.Time) bool {
	if !at.After(r.tried) {
		return false
	}
	r.tried = at
	return true
}

// poisonous says that too many endpoints ended under the request.
func (r *record) poisonous() bool { return len(r.losses) >= maxLost }

// turns is how often endpoints ended one after the other: attempts that were under way at
// the same time count once, since what ended their endpoints may be something else.
func (r *record) turns() int {
	turns := 0
	var ended time.Time
	for _, l := range r.losses {
		if turns == 0 || !l.Sent.Before(ended) {
			turns++
			ended = l.At
		}
	}
	return turns
}

// hold is how long the request is held back after the latest loss or trial.
func (r *record) hold() time.Duration {
	hold := firstHold
	for range r.turns() - 1 {
		hold = min(holdGrowth*hold, longestHold)
	}
	return hold
}

// heldUntil is when a router may let it through again that begins its trials this share,
// from [0, 1), of the stagger later.
func (r *record) heldUntil(share float64) time.Time {
	hold := r.hold()
	return r.latest().Add(hold + time.Duration(share*float64(hold)/staggerShare))
}

// latest is when something last happened.
func (r *record) latest() time.Time {
	times := []time.Time{r.completed, r.tried, r.survived}
	if n := len(r.losses); n > 0 {
		times = append(times, r.losses[n-1].At)
	}
	return slices.MaxFunc(times, time.Time.Compare)
}

// outdated says that what is known counts no longer.
func (r *record) outdated(now time.Time) bool {
	memory := forgetAfter
	if r.poisonous() {
		memory = r.hold() + heldMemory
	}
	return now.Sub(r.latest()) > memory
}

// early counts the losses before an answer began.
func (r *record) early() int {
	n := 0
	for _, l := range r.losses {
		if l.Early {
			n++
		}
	}
	return n
}
