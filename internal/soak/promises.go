package soak

import "time"

// Promise is a guarantee to callers or operators that the soak checks.
type Promise string

// The promises that are checked.
const (
	PromiseComplete     Promise = "each caller gets the whole of its own answer, or none that looks whole"
	PromiseOnce         Promise = "what may not be repeated runs at most once"
	PromiseOneRun       Promise = "a stream goes on at another endpoint only once it no longer runs at the one before"
	PromiseNotRun       Promise = "what was refused as not run did not run"
	PromiseRevoked      Promise = "a revoked key no longer works after the bound"
	PromiseValid        Promise = "a valid key is not said to be unknown"
	PromiseConfig       Promise = "a route of the configuration is known after the bound"
	PromiseDrain        Promise = "a leaving endpoint gets no new work after the bound"
	PromiseRoute        Promise = "a request runs at its route's service, for its team"
	PromiseCancel       Promise = "work ends soon after its caller has left"
	PromiseRetries      Promise = "repeats stay within their share of the requests"
	PromiseLogged       Promise = "a router tells of all that it sends"
	PromiseMaxEndpoints Promise = "a request runs at no more endpoints than its route allows"
	PromiseStop         Promise = "a planned stop cuts off no request"
	PromiseRecovery     Promise = "after the last fault requests are served again"
	PromiseQuarantine   Promise = "a request that ends endpoints is sent to few"
	PromiseNoExit       Promise = "no program ends by itself"
	PromiseEvacuate     Promise = "an evacuated failure domain gets no new work after the bound"
	PromiseLimit        Promise = "an endpoint that names a limit gets no more than that from all routers"
	PromiseBackoff      Promise = "an endpoint that asks a router to back off gets nothing from it meanwhile"
	PromiseVersion      Promise = "a stream goes on only at the software version that began it"
	PromiseCold         Promise = "a cold endpoint gets no more than it takes from all routers"
)

// Bounds are the limits that the promises allow.
type Bounds struct {
	// A bound of 0 is not checked.
	Revoke, Drain, Config time.Duration
	// Slack is added to each of them for delays of the machine.
	Slack time.Duration
	// FaultMargin is the time before and after a fault in which the promises that undisturbed
	// exempts are not checked (drain, config, cancel, stop, evacuate, limit). It is also the
	// time in which routers must share a quarantine.
	FaultMargin time.Duration
	Cancel      time.Duration
	// CrashesBeforeQuarantine is the number of endpoints after which routers must quarantine
	// the crash requests.
	CrashesBeforeQuarantine int
	// RetryRatio times the requests for a service in a RetryWindow, plus RetrySlack, is the
	// number of retries that it may get from all routers.
	RetryRatio  float64
	RetrySlack  int
	RetryWindow time.Duration
	// RetrySlackStated reports whether the routers' settings state the slack.
	RetrySlackStated bool
	// Evacuate is the time after which an evacuated failure domain must get no requests.
	// A cold endpoint may get ColdExcess times its rate limit, plus ColdSlack, in a second.
	Evacuate   time.Duration
	ColdExcess float64
	ColdSlack  int
	// An endpoint that states a rate limit may get LimitExcess times that limit, plus
	// LimitSlack, in a LimitWindow, from LimitWithin after it first states it.
	LimitExcess              float64
	LimitSlack               int
	LimitWithin, LimitWindow time.Duration
	// A router may send BackoffExcess requests to an endpoint that asked it to back off, from
	// BackoffWithin after that.
	BackoffWithin time.Duration
	BackoffExcess int
}
