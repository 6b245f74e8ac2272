package daemon

import (
	"time"

	"coveferry/internal/follow"
	"coveferry/internal/retry"
	"coveferry/internal/server"
)

// Shares of the operator's bounds by which a direct router sets its own times.
const (
	// trustShare of RevokeWithin is how old knowledge of keys may be. What
	// remains covers the way of a request from its caller.
	trustShare = 0.94
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
	// budgetShare of the operator's ratio is used for retries: callers' own
	// count as requests, but those at the window's edges may count twice.
	budgetShare = 0.75
	// noticeShare of StopWithin is the most that passes before a stopping
	// router refuses new requests.
	noticeShare = 0.33
	// peerWaits is how many waits old the word of another router may be: a call
	// tells of the moment at which it was sent, so that in calm times what a reader
	// knows gets two waits old before the next one ends. Beyond that, and the slack
	// of a call, others are asked and then the source itself.
	peerWaits = 2
	// unreadyShare of the trusted age is where a router asks the balancer to
	// turn away: it will soon have to refuse.
	unreadyShare = 0.6
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
	// directNotice is how long the balancer goes on sending connections after a
	// router has said that it takes no more: two questions a second apart.
	directNotice = 2500 * time.Millisecond
	// directMargin is what a stop leaves for callers to be told that their
	// answers end early, and again for the process to end by itself.
	directMargin = 400 * time.Millisecond
	// silenceLimit is the silence, over all open requests at an endpoint, after
	// which it is asked for its health: longer than the longest prompts take to
	// be read where nothing else runs, and a third of the time in which the
	// list drops an endpoint that has gone dark.
	silenceLimit = time.Second
	silenceTick  = 200 * time.Millisecond
	// settingsTick is the time between two readings of the settings file without
	// a signal.
	settingsTick = 5 * time.Second
	// peerEvery is the time between two questions to a reader: a tenth of the
	// shortest bound on configurations that is known, at some kilobytes a
	// second.
	peerEvery = 250 * time.Millisecond
	// directLinger is the quiet after which a stopping router closes
	// connections.
	directLinger = 300 * time.Millisecond
	// directCollectorPercent keeps the heap small, as memory is dear on entry
	// VMs: at 40 a router peaked at 19.9 MB and took 18% more processor time
	// than at 100, where it peaked at 22.7 MB.
	directCollectorPercent = 50
	// Bounds on what callers may send before a configuration is known.
	directHeaderTimeout  = 10 * time.Second
	directMaxHeaderBytes = 64 << 10
	directBodyTimeout    = 30 * time.Second
	directMaxOpen        = 2000
	directMaxBodyBytes   = 32 << 20
)

// timing is how the source is asked so that the operator's bounds hold.
func timing(b DirectBounds) follow.Timing {
	t := follow.Timing{Wait: waitFor(b), Slack: watchSlack, Pace: defaultPace, Return: listReturn}
	if b.DrainWithin > 0 {
		spare := b.DrainWithin - (t.Wait + t.Slack + readTimeout)
		pace := max(time.Duration(paceShare*float64(b.DrainWithin)), min(t.Wait, time.Duration(spareShare*float64(spare))))
		t.Pace = max(minPace, pace)
	}
	t.Outage = peerWaits*t.Wait + outageSlacks*t.Slack
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

// peerAge is how old the word of another router may be. It holds whether keys have
// to be revoked in time or not.
func peerAge(b DirectBounds) time.Duration {
	return peerWaits*waitFor(b) + watchSlack
}

const (
	// slackShare of the operator's slack is used for retries. It is shared among the
	// routers that are known: where a fleet is cut in two, each half thinks it has all.
	slackShare = 0.5
	// retryFloor is how many retries a second a router may make besides its share of the
	// requests where the operator states no slack.
	retryFloor = 0.1
	// largestFleet is how many routers a router takes for granted that has heard of none:
	// somewhat more than are planned.
	largestFleet = 1000
)

// directRetries bounds retries for each service over all routers, of which routers tells
// how many there are.
func directRetries(b DirectBounds, routers func() int, seed uint64) *retry.Policy {
	budget := retry.BudgetConfig{Ratio: budgetShare * b.RetryRatio, Window: b.RetryWindow, Floor: retryFloor, Seed: seed}
	if b.RetrySlack > 0 && b.RetryWindow > 0 {
		budget.Floor, budget.Routers = slackShare*b.RetrySlack/b.RetryWindow.Seconds(), routers
	}
	return &retry.Policy{ChargeAll: true, Budget: retry.NewBudget(budget)}
}

// stopPlan is how a direct router stops within so long.
func stopPlan(within time.Duration) server.Plan {
	notice := min(directNotice, time.Duration(noticeShare*float64(within)))
	return server.Plan{Notice: notice, Grace: within - notice - directMargin, Margin: directMargin}
}
