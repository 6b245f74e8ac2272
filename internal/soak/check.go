package soak

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Promise is what a violation breaks.
type Promise string

// The promises that are checked.
const (
	PromiseWhole    Promise = "each caller gets the whole of its own answer, or none that looks whole"
	PromiseOnce     Promise = "what may not be repeated runs at most once"
	PromiseNotRun   Promise = "what was refused as not run did not run"
	PromiseRevoked  Promise = "a revoked key no longer works after the bound"
	PromiseValid    Promise = "a valid key is not said to be unknown"
	PromiseConfig   Promise = "a route of the configuration is known after the bound"
	PromiseDrain    Promise = "a leaving endpoint gets no new work after the bound"
	PromiseRoute    Promise = "a request runs at its route's service, for its team"
	PromiseCancel   Promise = "work ends soon after its caller has left"
	PromiseRetries  Promise = "repeats stay within their share of the requests"
	PromiseTold     Promise = "a router tells of all that it sends"
	PromisePlaces   Promise = "a request runs at no more endpoints than its route allows"
	PromiseStop     Promise = "a planned stop cuts off no request"
	PromiseRecovery Promise = "after the last fault requests are served again"
	PromiseDeadly   Promise = "a request that ends endpoints is sent to few"
	PromiseAlive    Promise = "no program ends by itself"
	PromiseEvacuate Promise = "an evacuated failure domain gets no new work after the bound"
	PromiseLimit    Promise = "an endpoint that names a limit gets no more than that from all routers"
	PromiseCold     Promise = "a cold endpoint gets no more than it takes from all routers"
)

// Bounds are what the promises allow.
type Bounds struct {
	// Where one of them is 0, nothing is demanded there.
	Revoke, Drain, Config time.Duration
	// Slack is added to each for what the machine adds.
	Slack time.Duration
	// Contact is how long after a fault a router isn't held to Drain, Config and Cancel.
	Contact time.Duration
	Cancel  time.Duration
	// RetryRatio of the requests for a service in a RetryWindow, and RetrySlack more, is how
	// often it may get a request again from all routers.
	RetryRatio  float64
	RetrySlack  int
	RetryWindow time.Duration
	// RetrySlackStated says that routers are told of the slack.
	RetrySlackStated bool
	// Evacuate is how soon a failure domain must get nothing. ColdExcess times what a cold
	// endpoint takes in a second, and ColdSlack more, is what it may get in one.
	Evacuate   time.Duration
	ColdExcess float64
	ColdSlack  int
	// LimitExcess times what an endpoint that names a limit takes in LimitWindow, and
	// LimitSlack more, is what it may get in one, from LimitWithin after it first names it.
	LimitExcess              float64
	LimitSlack               int
	LimitWithin, LimitWindow time.Duration
}

// Call is a request as its caller saw it.
type Call struct {
	ID, Key, Team, Service string
	Router                 int
	// Repeatable says that the request may run more than once.
	Repeatable bool
	Stream     bool
	// Deadly says that it ends each endpoint that runs it.
	Deadly    bool
	Sent, End time.Time
	// Added is when the request's route was added; zero if it stood from the start.
	Added time.Time
	// Left says that the caller left before the answer.
	Left bool
	// Status is 0 if no answer came. Whole says that the answer ended in good
	// order, and Wrong what is wrong with its body, if anything.
	Status int
	Whole  bool
	Wrong  string
}

// Execution is a request as an endpoint ran it.
type Execution struct {
	ID, Endpoint, Service, Team string
	// Resumed says that the run goes on from an earlier one of the same request.
	Resumed    bool
	Begin, End time.Time // End is zero if the endpoint didn't live to tell
}

// Span is a time for which something held.
type Span struct{ From, To time.Time }

func (s Span) touches(from, to time.Time) bool { return s.From.Before(to) && s.To.After(from) }

// Seen is all that was seen from outside.
type Seen struct {
	Calls []Call
	Runs  []Execution
	// Revoked is when each key was taken away, Drained when each endpoint said
	// that it leaves.
	Revoked, Drained map[string]time.Time
	// Harmed are the times at which each router, its ways or the store had faults.
	Harmed map[int][]Span
	// Down are the times at which each router's process didn't run.
	Down map[int][]Span
	// Stops are the planned stops of each router, from SIGTERM to its end.
	Stops map[int][]Span
	// EndpointHarmed are the harms of endpoints.
	EndpointHarmed map[string][]Span
	// Domains has the failure domain of each endpoint, Evacuated the times at which each had
	// an order to evacuate, and Cold those at which each endpoint was cold.
	Domains   map[string]string
	Evacuated map[string][]Span
	Cold      map[string][]Span
	// Limited are the times at which each endpoint named a limit.
	Limited map[string][]Limited
	// Told is how many attempts at endpoints a request's router tells of, by request.
	Told map[string]int
	// Exits are programs that ended by themselves.
	Exits []string
	// LastFault is when the last fault had ended.
	LastFault time.Time
}

// Violation is a broken promise.
type Violation struct {
	Promise Promise `json:"promise"`
	Request string  `json:"request,omitempty"`
	What    string  `json:"what"`
}

// recoveryWithin is how long after the last fault all must be well again, and
// recoveredShare the share of the requests from then on that must be served.
const (
	recoveryWithin = 5 * time.Second
	recoveredShare = 0.9
)

// Check lists the broken promises, ordered by request.
func Check(seen Seen, b Bounds) []Violation {
	c := checker{seen: seen, bounds: b, runs: make(map[string][]Execution)}
	for _, r := range seen.Runs {
		c.runs[r.ID] = append(c.runs[r.ID], r)
	}
	calls := make(map[string]bool, len(seen.Calls))
	for _, call := range seen.Calls {
		calls[call.ID] = true
		c.call(call)
	}
	for _, r := range seen.Runs {
		if !calls[r.ID] {
			c.add(PromiseRoute, r.ID, "%s ran a request that nobody sent", r.Endpoint)
		}
	}
	c.retries()
	c.repeats()
	c.told()
	c.places()
	c.deadly()
	c.cold()
	c.limits()
	c.recovery()
	for _, exit := range seen.Exits {
		c.add(PromiseAlive, "", "%s", exit)
	}
	slices.SortStableFunc(c.found, func(a, b Violation) int { return cmp.Compare(a.Request, b.Request) })
	return c.found
}

type checker struct {
	seen   Seen
	bounds Bounds
	runs   map[string][]Execution
	found  []Violation
}

func (c *checker) add(p Promise, request, format string, args ...any) {
	c.found = append(c.found, Violation{Promise: p, Request: request, What: fmt.Sprintf(format, args...)})
}

func (c *checker) call(call Call) {
	runs := c.runs[call.ID]
	if call.Wrong != "" {
		c.add(PromiseWhole, call.ID, "%s", call.Wrong)
	}
	if !call.Repeatable && len(runs) > 1 {
		c.add(PromiseOnce, call.ID, "it ran %d times, at %s and %s", len(runs), runs[0].Endpoint, runs[1].Endpoint)
	}
	refused := call.Status == 429 || call.Status == 503
	if refused && !call.Repeatable && len(runs) > 0 {
		c.add(PromiseNotRun, call.ID, "it was answered %d and ran at %s", call.Status, runs[0].Endpoint)
	}
	_, wasRevoked := c.seen.Revoked[call.Key]
	if call.Status == 401 && !wasRevoked {
		c.add(PromiseValid, call.ID, "its key was never taken away")
	}
	if call.Status == 404 && c.mustKnowRoute(call) {
		c.add(PromiseConfig, call.ID, "its route was added %s before", call.Sent.Sub(call.Added))
	}
	for _, r := range runs {
		c.run(call, r)
	}
	c.stop(call, runs)
}

// mustKnowRoute says whether the request's route must be in force at its router.
func (c *checker) mustKnowRoute(call Call) bool {
	if call.Added.IsZero() {
		return true
	}
	late := c.bounds.Config > 0 && call.Sent.Sub(call.Added) > c.bounds.Config+c.bounds.Slack
	return late && c.inTouch(call, Execution{})
}

// stop judges a request that ran while its router was stopping as planned.
func (c *checker) stop(call Call, runs []Execution) {
	stopping := slices.ContainsFunc(c.seen.Stops[call.Router], func(s Span) bool { return s.touches(call.Sent, call.End) })
	cut := call.Status == 0 || call.Status == 200 && !call.Whole
	if stopping && cut && !call.Left && len(runs) > 0 && c.inTouch(call, runs[len(runs)-1]) {
		c.add(PromiseStop, call.ID, "it ran at %s and was cut off by its router's stop", runs[len(runs)-1].Endpoint)
	}
}

func (c *checker) run(call Call, r Execution) {
	if r.Service != call.Service || r.Team != call.Team {
		c.add(PromiseRoute, call.ID, "it ran at %s of service %s for team %q", r.Endpoint, r.Service, r.Team)
	}
	if at, ok := c.seen.Revoked[call.Key]; ok && c.bounds.Revoke > 0 && call.Sent.Sub(at) > c.bounds.Revoke+c.bounds.Slack {
		c.add(PromiseRevoked, call.ID, "it was sent %s after its key was taken away and ran at %s", call.Sent.Sub(at), r.Endpoint)
	}
	if at, ok := c.seen.Drained[r.Endpoint]; ok && c.bounds.Drain > 0 && r.Begin.Sub(at) > c.bounds.Drain+c.bounds.Slack && c.inTouch(call, r) {
		c.add(PromiseDrain, call.ID, "it ran at %s %s after that said that it leaves", r.Endpoint, r.Begin.Sub(at))
	}
	for _, s := range c.seen.Evacuated[c.seen.Domains[r.Endpoint]] {
		if late := r.Begin.Sub(s.From); r.Begin.Before(s.To) && late > c.bounds.Evacuate+c.bounds.Slack && c.inTouch(call, r) {
			c.add(PromiseEvacuate, call.ID, "it ran at %s %s after its failure domain was evacuated", r.Endpoint, late)
		}
	}
	left := call.End.Add(c.bounds.Cancel + c.bounds.Slack)
	if call.Left && call.Repeatable && r.End.After(left) && c.inTouch(call, r) {
		c.add(PromiseCancel, call.ID, "%s worked on for %s after its caller had left", r.Endpoint, r.End.Sub(call.End))
	}
}

// inTouch says that neither the request's router nor the endpoint was harmed
// shortly before the run or during it.
func (c *checker) inTouch(call Call, r Execution) bool {
	from, to := call.Sent.Add(-c.bounds.Contact), call.End.Add(c.bounds.Contact)
	touches := func(s Span) bool { return s.touches(from, to) }
	return !slices.ContainsFunc(c.seen.Harmed[call.Router], touches) &&
		!slices.ContainsFunc(c.seen.EndpointHarmed[r.Endpoint], touches)
}

// retries compares the runs beyond the first with the requests.
func (c *checker) retries() {
	repeats := 0
	for _, runs := range c.runs {
		for _, r := range runs[1:] {
			if !r.Resumed {
				repeats++
			}
		}
	}
	allowed := int(c.bounds.RetryRatio*float64(len(c.seen.Calls))) + c.bounds.RetrySlack
	if repeats > allowed {
		c.add(PromiseRetries, "", "%d runs beyond the first of %d requests, over %d", repeats, len(c.seen.Calls), allowed)
	}
}

// cold counts what endpoints got in each second in which they were cold. It holds for all
// routers, harmed or not.
func (c *checker) cold() {
	runs := make(map[string][]Execution)
	for _, r := range c.seen.Runs {
		runs[r.Endpoint] = append(runs[r.Endpoint], r)
	}
	most := int(c.bounds.ColdExcess*coldRate) + c.bounds.ColdSlack
	for endpoint, spans := range c.seen.Cold {
		for _, s := range spans {
			if in := busiest(runs[endpoint], s, time.Second); len(in) > most {
				c.add(PromiseCold, "", "%s began %d requests in a second while it was cold, over %d: cold from %s, %s",
					endpoint, len(in), most, s.From.Format(momentFormat), beginsOf(in))
			}
		}
	}
}

// momentFormat is how a broken promise names a moment, as the processes' lines do.
const momentFormat = "15:04:05.000"

// busiest are the runs that begin in the window of a span in which most do, in order.
func busiest(runs []Execution, span Span, window time.Duration) []Execution {
	in := slices.DeleteFunc(slices.Clone(runs), func(r Execution) bool { return r.Begin.Before(span.From) || r.Begin.After(span.To) })
	slices.SortFunc(in, func(a, b Execution) int { return a.Begin.Compare(b.Begin) })
	var most []Execution
	from := 0
	for i, r := range in {
		for r.Begin.Sub(in[from].Begin) >= window {
			from++
		}
		if i-from+1 > len(most) {
			most = in[from : i+1]
		}
	}
	return most
}

// beginsOf names runs and when each began.
func beginsOf(runs []Execution) string {
	names := make([]string, len(runs))
	for i, r := range runs {
		names[i] = r.ID + " at " + r.Begin.Format(momentFormat)
	}
	return strings.Join(names, ", ")
}

func (c *checker) recovery() {
	from := c.seen.LastFault.Add(recoveryWithin)
	all, served := 0, 0
	for _, call := range c.seen.Calls {
		_, revoked := c.seen.Revoked[call.Key]
		if call.Sent.Before(from) || call.Left || call.Deadly || revoked {
			continue
		}
		all++
		if call.Whole && call.Status == 200 {
			served++
		}
	}
	if float64(served) < recoveredShare*float64(all) {
		c.add(PromiseRecovery, "", "%d of %d requests were served from %s after the last fault on", served, all, recoveryWithin)
	}
}
