package daemon

import (
	"time"

	"coveferry/internal/follow"
)

// Shares of the operator's bounds by which a direct router sets how it reads the source.
const (
	// waitShare of RevokeWithin is how long one call waits for news, so that
	// several may fail in a row before keys are no longer trusted.
	waitShare = 0.2
	// newsShare is the same of DrainWithin and ConfigWithin: a call that is lost is
	// noticed after its wait and some slack, and the next one must still bring the
	// news within the bound.
	newsShare = 0.35
	// paceShare of DrainWithin lies between two calls at least, so that where
	// something changes all the time several may fail before a leaving endpoint
	// must be out of use; and spareShare of what a call that is lost and the next one
	// leave of DrainWithin, where that is more: where heartbeats are news each wait ends at
	// once, and a reader calls as often as it may.
	paceShare  = 0.1
	spareShare = 0.5
	// outageSlacks is how many calls without a wait must have failed for the
	// service to count as having been away, beyond what knowledge ages in calm
	// times: a call tells of the moment at which it was sent, so that what is known
	// gets two waits old before the next one ends. Entries lapse after three
	// heartbeats, which take longer.
	outageSlacks = 2
)

const (
	// defaultWait is how long a call waits for news where no bound demands
	// less, and defaultPace lies between two calls at least.
	defaultWait = 5 * time.Second
	defaultPace = 200 * time.Millisecond
	// minWait and minPace bound what is asked of the service however short a bound
	// is: some answers' time, and ten calls a second of each reader.
	minWait = 200 * time.Millisecond
	minPace = 100 * time.Millisecond
	// readTimeout bounds the silence in one call, before its answer and in it; the
	// service answers in milliseconds, in a quarter of a second when it is slow.
	readTimeout = 600 * time.Millisecond
	// watchSlack is the same for a call that waits, where it comes on top of the wait.
	watchSlack = 400 * time.Millisecond
	// listReturn is how long entries may take to be back after the service was
	// away; the operators say about two seconds.
	listReturn = 2500 * time.Millisecond
)

// timing is how the source is asked so that the operator's bounds hold.
func timing(b DirectBounds) follow.Timing {
	t := follow.Timing{Wait: waitFor(b), Slack: watchSlack, MinInterval: defaultPace, EntryReturnTime: listReturn}
	if b.DrainWithin > 0 {
		spare := b.DrainWithin - (t.Wait + t.Slack + readTimeout)
		pace := max(time.Duration(paceShare*float64(b.DrainWithin)), min(t.Wait, time.Duration(spareShare*float64(spare))))
		t.MinInterval = max(minPace, pace)
	}
	t.OutageThreshold = peerWaits*t.Wait + outageSlacks*t.Slack
	return t
}

// waitFor is how long a call waits for news, by the shortest of the bounds that
// are in force.
func waitFor(b DirectBounds) time.Duration {
	wait := defaultWait
	for _, bound := range []struct {
		within time.Duration
		share  float64
	}{{b.RevokeWithin, waitShare}, {b.DrainWithin, newsShare}, {b.ConfigWithin, newsShare}} {
		if bound.within > 0 {
			wait = min(wait, time.Duration(bound.share*float64(bound.within)))
		}
	}
	return max(wait, minWait)
}
