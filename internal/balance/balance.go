// Package balance implements client-side load balancing: it selects an endpoint for each request
// that a router forwards. A Pool holds the router's state of all endpoints, in shards with a lock
// each; a Policy chooses among the Views taken from that state and holds no lock.
package balance

import (
	"math/rand/v2"
	"time"

	"coveferry/internal/forecast"
	"coveferry/internal/load"
	"coveferry/internal/pace"
	"coveferry/internal/prompt"
)

// maxTiers is the number of priority tiers that are tracked, the same as at endpoints.
const maxTiers = 10

// Request holds the properties of a request that the choice of an endpoint depends on.
type Request struct {
	Service string // set for requests routed by service
	Tier    int    // priority at the endpoint; 0 is the highest
	Class   string
	// Prefix is a hash of the start of the prompt. Requests with the same prefix benefit from the
	// same endpoint's prefix cache. 0 means none.
	Prefix uint64
	// Prompt describes the parts and sizes of the prompt, if the caller sent them.
	Prompt prompt.Prompt
	// MaxGap is the gap limit, the longest allowed pause between two events of the stream; 0 means
	// none. Stride is the number of tokens in an event.
	MaxGap time.Duration
	Stride int
	// Objective is the target for the time to the first event of the response; 0 means none.
	Objective time.Duration
	// TimeLeft is the time until the caller's deadline; 0 means none.
	TimeLeft time.Duration
	// Retry marks a request that was already sent to an endpoint. It isn't sent to an endpoint
	// known to be full, and is rejected if all are.
	Retry bool
	// ColdRate limits the requests a second that a cold endpoint receives from all routers; 0
	// means no limit.
	ColdRate float64
	// AtMostOnce marks a request that must not be retried after its endpoint failed while running
	// it.
	AtMostOnce bool
	// Subset says that the candidates are only some of the service's endpoints, by which nothing is
	// decided about all of them.
	Subset bool
	// majoritySuspect is set if connections to more than half of the candidates fail.
	majoritySuspect bool
}

// kind returns the key under which demand for this request is counted.
func (r *Request) kind() kindKey { return kindKey{r.Service, r.MaxGap.Milliseconds()} }

// View is a snapshot of a router's state of one endpoint.
type View struct {
	Endpoint      string
	FailureDomain string
	// Version is that of the endpoint's software; empty if unknown.
	Version string
	// Inflight is the number of this router's own requests at the endpoint.
	Inflight int
	// PendingPrefill is the number of prompt tokens, by tier, that this router sent and that the
	// endpoint may not have prefilled yet.
	PendingPrefill [maxTiers]int
	// InflightByTier is the number of this router's own tracked requests, by tier.
	InflightByTier [maxTiers]int
	// TightGapStreams is the number of this router's streams with a tight gap limit.
	TightGapStreams int
	// CachedTokens is the number of tokens at the start of the prompt that this router sent to
	// the endpoint recently, so that its prefix cache probably holds them.
	CachedTokens int
	// OwnUnreported is the number of this router's inflight requests that were sent after the
	// last load report arrived, so that the report doesn't include them.
	OwnUnreported int
	// EstimatedUnreported estimates the requests of all routers that the last report doesn't
	// include. A policy that needs it computes it from all views.
	EstimatedUnreported float64
	// EstimatedInflight estimates the requests of all routers at an endpoint without a load
	// report. A policy that needs it computes it from all views.
	EstimatedInflight float64
	// Load is the last load report and ReportedAt when it arrived; zero if there is none.
	Load       load.Report
	ReportedAt time.Time
	// TimeToFirstToken is a moving average.
	TimeToFirstToken time.Duration
	// SlotTime is the average time for which a request holds a slot, derived from the running
	// requests and the drain rate in load reports; 0 if unknown.
	SlotTime time.Duration
	// SecondsPerOutputToken is the time between two output tokens, 0 if unknown, and
	// SecondsPerPromptToken the prefill time of a prompt token.
	SecondsPerOutputToken, SecondsPerPromptToken float64
	// PrefillOverhead is the fixed part of a prompt's prefill time, in seconds.
	PrefillOverhead float64
	// Pace is how long work takes at the endpoint, apart from its load, relative to the usual
	// time; 0 if the endpoint doesn't state it.
	Pace float64
	// PaceClass is the class of Pace, by which endpoints are compared.
	PaceClass pace.Class
	// SlowWeight is the share of work relative to a usual endpoint if this one is slower than usual
	// among the views; 0 if it isn't.
	SlowWeight float64
	// forecast describes the endpoint for forecasts; forecasts is set if they apply to it. A policy
	// that makes forecasts sets both.
	forecast  forecast.Endpoint
	forecasts bool
	// Metered is set if the endpoint counts requests: it has a rate limit over all routers, or is
	// in the ramp after a backoff, and still admits this request. Endpoints that don't aren't
	// among the views.
	Metered bool
	// Suspect is set if connections to the endpoint fail or it is unresponsive.
	Suspect bool
	// ReducedCapacity is set for a cold endpoint, or one with a stated rate limit that turns
	// requests away. It is left out when endpoints are dedicated to tight-gap streams, preferred
	// endpoints are assigned and waits are estimated, and only receives requests that would cost
	// more elsewhere.
	ReducedCapacity bool
	// Full is set if the endpoint recently refused a request for lack of capacity.
	Full bool
	// Distrusted is set if the endpoint's refusals contradict its load.
	Distrusted bool
	// Weight is 1 for a healthy endpoint, less for one that ramps up after it was slow, failing
	// or gone, and 0 for one that is ejected or suspect.
	Weight float64
}

// Policy chooses one of the views for a request. Choose returns false if none is usable.
// Implementations draw randomness from rnd only, and don't use the pool.
type Policy interface {
	Name() string
	Choose(now time.Time, req Request, views []View, rnd *rand.Rand) (int, bool)
}

// Result is the outcome of an attempt as far as it affects the endpoint's health.
type Result uint8

// Outcomes of an attempt.
const (
	ResultOK Result = iota
	// ResultRefused: the endpoint didn't run the request. (Requests are refused by endpoints and
	// rejected by routers.)
	ResultRefused
	// ResultFailed: the connection or the inference engine failed.
	ResultFailed
	// ResultCancelled: the caller cancelled, which doesn't affect the endpoint's health.
	ResultCancelled
)

// slow reports whether the endpoint is slower than usual.
func (v *View) slow() bool { return v.SlowWeight > 0 }
