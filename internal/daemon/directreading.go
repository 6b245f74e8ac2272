package daemon

import (
	"time"

	"coveferry/internal/follow"
)

// Shares of the operator's bounds that determine how a direct router reads the source.
const (
	// revokeWaitShare of RevokeWithin is the wait of one watch call, so that several calls may
	// fail in a row before keys are no longer trusted.
	revokeWaitShare = 0.2
	// updateWaitShare is the corresponding share of DrainWithin and ConfigWithin: a failed
	// call is noticed after its wait and some slack, and the next one must still deliver the
	// change within the bound.
	updateWaitShare = 0.35
	// minIntervalShare of DrainWithin is the minimum interval between two calls, so that
	// several calls may fail before a draining endpoint must be out of use, even if something
	// changes all the time. Where heartbeats count as changes, each wait ends at once and a
	// reader calls as often as the interval allows. The interval is therefore longer if the
	// bound permits: up to spareShare of what remains of DrainWithin after a failed watch call
	// and one more read, but not longer than the wait.
	minIntervalShare = 0.1
	spareShare       = 0.5
	// outageSlacks is the time, in watch slacks, beyond the normal maximum age of data
	// (maxAgeWaits) after which the service counts as having been down: that of two failed
	// calls without a wait. Entries expire only later, after three heartbeats.
	outageSlacks = 2
)

const (
	// defaultWait is the wait of a watch call, and defaultMinInterval the minimum interval
	// between two calls, if no bound requires less.
	defaultWait        = 5 * time.Second
	defaultMinInterval = 200 * time.Millisecond
	// minWait and shortestInterval bound the load on the service however short a bound is: a
	// wait of several response times, and ten calls a second per reader.
	minWait          = 200 * time.Millisecond
	shortestInterval = 100 * time.Millisecond
	// readTimeout bounds the time without data in one call, before and during its response.
	// The service responds in milliseconds, or in a quarter of a second when it is slow.
	readTimeout = 600 * time.Millisecond
	// watchSlack is the corresponding timeout of a watch call, added to its wait.
	watchSlack = 400 * time.Millisecond
	// entryReturnTime is how long endpoints may take to be listed again after an outage of the
	// service; the operators state about two seconds.
	entryReturnTime = 2500 * time.Millisecond
)

// sourceTiming returns the timing of calls to the source that satisfies the operator's bounds.
func sourceTiming(b DirectBounds) follow.Timing {
	t := follow.Timing{Wait: watchWait(b), Slack: watchSlack, MinInterval: defaultMinInterval, EntryReturnTime: entryReturnTime}
	if b.DrainWithin > 0 {
		spare := b.DrainWithin - (t.Wait + t.Slack + readTimeout)
		minInterval := max(time.Duration(minIntervalShare*float64(b.DrainWithin)), min(t.Wait, time.Duration(spareShare*float64(spare))))
		t.MinInterval = max(shortestInterval, minInterval)
	}
	t.OutageThreshold = maxAgeWaits*t.Wait + outageSlacks*t.Slack
	return t
}

// watchWait returns the wait of a watch call, derived from the shortest bound that is set.
func watchWait(b DirectBounds) time.Duration {
	wait := defaultWait
	for _, bound := range []struct {
		within time.Duration
		share  float64
	}{{b.RevokeWithin, revokeWaitShare}, {b.DrainWithin, updateWaitShare}, {b.ConfigWithin, updateWaitShare}} {
		if bound.within > 0 {
			wait = min(wait, time.Duration(bound.share*float64(bound.within)))
		}
	}
	return max(wait, minWait)
}
