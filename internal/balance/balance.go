// Package balance chooses the endpoint for a request at a router. The state
// that a router keeps of endpoints lives in a Pool, in shards that each have
// their own lock; a Policy is a pure choice among views taken from it.
package balance

import (
	"math/rand/v2"
	"time"

	"coveferry/internal/load"
	"coveferry/internal/prompt"
)

// maxRanks is how many ranks of requests are told apart, as many as endpoints do.
const maxRanks = 10

// Request is what the choice of an endpoint depends on.
type Request struct {
	Service string // of a routed request
	Tier    int    // rank by which the endpoint admits it; 0 is the highest
	Class   string
	// Prefix is a hash of the start of the prompt; requests that share it
	// profit from the same endpoint's prefix cache. 0 means none.
	Prefix uint64
	// Prompt is the shape of the prompt, where the caller tells it.
	Prompt prompt.Prompt
	// MaxGap is the longest pause between two events of a stream that is on time; 0
	// if any will do. Stride is how many tokens an event holds.
	MaxGap time.Duration
	Stride int
	// Objective is the time to the first event of an answer that is on time; 0 if any will do.
	Objective time.Duration
	// Again says that an endpoint has had the request before: it isn't sent to one that is
	// known to be full, and to none if all are.
	Again bool
	// ColdRate is how many requests a second a cold endpoint takes from all routers; 0
	// bounds nothing.
	ColdRate float64
	// Once says that the request may not run again after its endpoint broke off.
	Once bool
	// mostUnsure says that connections to more than half of the candidates fail.
	mostUnsure bool
}

// kind is the kind that the request is of.
func (r *Request) kind() kindKey { return kindKey{r.Service, r.MaxGap.Milliseconds()} }

// View is what a router knows of one endpoint at one moment.
type View struct {
	Endpoint      string
	FailureDomain string
	// Inflight counts this router's own requests at the endpoint.
	Inflight int
	// Prefill is how many prompt tokens this router sent that the endpoint
	// isn't known to have read, of each tier.
	Prefill [maxRanks]int
	// Open counts this router's own requests whose work is known, of each tier.
	Open [maxRanks]int
	// Tight is how many of this router's tight streams run there.
	Tight int
	// Cached is how many tokens at the start of the request's prompt this
	// router sent there lately.
	Cached int
	// SinceReport counts those of this router's requests that were sent after
	// the last report arrived and haven't ended, so that the report misses them.
	SinceReport int
	// Since is how many requests all routers together probably sent that the last report
	// lacks; a policy that needs it works it out from all views.
	Since float64
	// Expected is how many requests all routers together probably have there, where
	// the endpoint doesn't say; a policy that needs it works it out from all views.
	Expected float64
	// Load is the last report and ReportedAt when it arrived; zero if none.
	Load       load.Report
	ReportedAt time.Time
	// FirstToken is the smoothed time to the first token.
	FirstToken time.Duration
	// Service is the smoothed time for which a request holds a slot, worked
	// out from the reports' running requests and drain rate; 0 if unknown.
	Service time.Duration
	// Token is how many seconds the endpoint takes between two tokens, 0 if that
	// isn't known, and PerToken how many for reading a token of a prompt.
	Token, PerToken float64
	// First is how many seconds a prompt takes besides, however short it is.
	First float64
	// Bounded says that it takes so many requests a second from all routers, and may be sent
	// this one. One that may not isn't among the views.
	Bounded bool
	// Unsure says that connections to it fail or it is silent.
	Unsure bool
	// Aside says that it is no part of what decides who is kept apart, where homes are and
	// how long requests wait: it takes too little, and only what costs more elsewhere.
	Aside bool
	// Full says that it had no room just now.
	Full bool
	// Weight is 1 for a healthy endpoint; less for one that comes back
	// slowly after it was found slow, failing or away; 0 for one that is
	// shed or suspect.
	Weight float64
}

// Policy picks one of the views for a request. It returns false if none may be
// used. Implementations are pure but for the random source handed in.
type Policy interface {
	Name() string
	Choose(now time.Time, req Request, views []View, rnd *rand.Rand) (int, bool)
}

// Result is how an attempt at an endpoint ended, as far as its health counts.
type Result uint8

// The results of an attempt.
const (
	ResultOK Result = iota
	// ResultRefused: the endpoint said that it didn't run the request.
	ResultRefused
	// ResultFailed: the connection or the engine broke.
	ResultFailed
	// ResultCancelled: the caller left; says nothing about the endpoint.
	ResultCancelled
)
