package soak

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Violation is a broken promise.
type Violation struct {
	Promise Promise `json:"promise"`
	Request string  `json:"request,omitempty"`
	What    string  `json:"what"`
}

// recoveryWithin is the time after the last fault in which the system must recover.
// recoveredShare is the share of requests that must be served from then on.
const (
	recoveryWithin = 5 * time.Second
	recoveredShare = 0.9
)

// Check returns the broken promises, ordered by request.
func Check(observed Observations, b Bounds) []Violation {
	c := checker{observed: observed, bounds: b, runs: make(map[string][]Execution), turnedAway: make(map[string][]TurnedAway)}
	for _, r := range observed.Executions {
		c.runs[r.ID] = append(c.runs[r.ID], r)
	}
	for _, t := range observed.TurnedAway {
		c.turnedAway[t.ID] = append(c.turnedAway[t.ID], t)
	}
	calls := make(map[string]bool, len(observed.Calls))
	for _, call := range observed.Calls {
		calls[call.ID] = true
		c.call(call)
	}
	for _, r := range observed.Executions {
		if !calls[r.ID] {
			c.add(PromiseRoute, r.ID, "%s ran a request that nobody sent", r.Endpoint)
		}
	}
	c.retries()
	c.retryBudget()
	c.loggedAttempts()
	c.endpointsPerRequest()
	c.crashRequests()
	c.cold()
	c.limits()
	c.backoffs()
	c.leavingAnswers()
	c.versions()
	c.overlaps()
	c.recovery()
	for _, exit := range observed.Exits {
		c.add(PromiseNoExit, "", "%s", exit)
	}
	slices.SortStableFunc(c.violations, func(a, b Violation) int { return cmp.Compare(a.Request, b.Request) })
	return c.violations
}

type checker struct {
	observed   Observations
	bounds     Bounds
	runs       map[string][]Execution
	turnedAway map[string][]TurnedAway // by request
	violations []Violation
}

func (c *checker) add(p Promise, request, format string, args ...any) {
	c.violations = append(c.violations, Violation{Promise: p, Request: request, What: fmt.Sprintf(format, args...)})
}

func (c *checker) call(call Call) {
	runs := c.runs[call.ID]
	if call.ContentError != "" {
		c.add(PromiseComplete, call.ID, "%s", call.ContentError)
	}
	if !call.Repeatable && countRuns(runs) > 1 {
		c.add(PromiseOnce, call.ID, "it ran %d times, at %s and %s", len(runs), runs[0].Endpoint, runs[1].Endpoint)
	}
	refused := call.Status == 429 || call.Status == 503
	if refused && !call.Repeatable && len(runs) > 0 {
		c.add(PromiseNotRun, call.ID, "it was answered %d and ran at %s", call.Status, runs[0].Endpoint)
	}
	_, wasRevoked := c.observed.Revoked[call.Key]
	if call.Status == 401 && !wasRevoked {
		c.add(PromiseValid, call.ID, "its key was never revoked")
	}
	if call.Status == 404 && c.mustKnowRoute(call) {
		c.add(PromiseConfig, call.ID, "its route was added %s before", call.Sent.Sub(call.Added))
	}
	for _, r := range runs {
		c.run(call, r)
	}
	c.stop(call, runs)
}

// countRuns counts runs. One that goes on from a copy is the same run.
func countRuns(runs []Execution) int {
	n := 0
	for _, r := range runs {
		if !r.FromCopy {
			n++
		}
	}
	return n
}

// mustKnowRoute reports whether the request's route must be in force at its router.
func (c *checker) mustKnowRoute(call Call) bool {
	if call.Added.IsZero() {
		return true
	}
	late := c.bounds.Config > 0 && call.Sent.Sub(call.Added) > c.bounds.Config+c.bounds.Slack
	return late && c.undisturbed(call, Execution{})
}

// stop checks a request that ran during a planned stop of its router.
func (c *checker) stop(call Call, runs []Execution) {
	stopping := slices.ContainsFunc(c.observed.Stops[call.Router], func(s Span) bool { return s.touches(call.Sent, call.End) })
	cut := call.Status == 0 || call.Status == 200 && !call.Complete
	if stopping && cut && !call.CallerLeft && len(runs) > 0 && !runs[len(runs)-1].BrokeOff && c.undisturbed(call, runs[len(runs)-1]) {
		c.add(PromiseStop, call.ID, "it ran at %s and was cut off by its router's stop", runs[len(runs)-1].Endpoint)
	}
}

func (c *checker) run(call Call, r Execution) {
	if r.Service != call.Service || !c.mayRunFor(call, r.Team) {
		c.add(PromiseRoute, call.ID, "it ran at %s of service %s for team %q", r.Endpoint, r.Service, r.Team)
	}
	if at, ok := c.observed.Revoked[call.Key]; ok && c.bounds.Revoke > 0 && call.Sent.Sub(at) > c.bounds.Revoke+c.bounds.Slack {
		c.add(PromiseRevoked, call.ID, "it was sent %s after its key was revoked and ran at %s", call.Sent.Sub(at), r.Endpoint)
	}
	if at, ok := c.observed.Drained[r.Endpoint]; ok && c.bounds.Drain > 0 && r.Begin.Sub(at) > c.bounds.Drain+c.bounds.Slack && c.undisturbed(call, r) {
		c.add(PromiseDrain, call.ID, "it ran at %s %s after that endpoint was marked as draining", r.Endpoint, r.Begin.Sub(at))
	}
	for _, s := range c.observed.Evacuated[c.observed.Domains[r.Endpoint]] {
		if late := r.Begin.Sub(s.From); r.Begin.Before(s.To) && late > c.bounds.Evacuate+c.bounds.Slack && c.undisturbed(call, r) {
			c.add(PromiseEvacuate, call.ID, "it ran at %s %s after its failure domain was evacuated", r.Endpoint, late)
		}
	}
	allowedUntil := call.End.Add(c.bounds.Cancel + c.bounds.Slack)
	if call.CallerLeft && call.Repeatable && r.End.After(allowedUntil) && c.undisturbed(call, r) {
		c.add(PromiseCancel, call.ID, "%s kept working for %s after the caller disconnected", r.Endpoint, r.End.Sub(call.End))
	}
}

// undisturbed reports whether neither the request's router nor the endpoint had a fault
// during the request or within Bounds.FaultMargin of it.
func (c *checker) undisturbed(call Call, r Execution) bool {
	from, to := call.Sent.Add(-c.bounds.FaultMargin), call.End.Add(c.bounds.FaultMargin)
	touches := func(s Span) bool { return s.touches(from, to) }
	return !slices.ContainsFunc(c.observed.RouterFaults[call.Router], touches) &&
		!slices.ContainsFunc(c.observed.EndpointFaults[r.Endpoint], touches)
}

// retries checks the number of runs beyond the first of each request against the total
// number of requests.
func (c *checker) retries() {
	retries := 0
	for _, runs := range c.runs {
		for _, r := range runs[1:] {
			if !r.Resumed {
				retries++
			}
		}
	}
	allowed := int(c.bounds.RetryRatio*float64(len(c.observed.Calls))) + c.bounds.RetrySlack
	if retries > allowed {
		c.add(PromiseRetries, "", "%d runs beyond the first of %d requests, over %d", retries, len(c.observed.Calls), allowed)
	}
}

// cold checks the number of requests that endpoints got in each second in which they were
// cold. The limit applies to all routers together, with faults or not.
func (c *checker) cold() {
	runs := make(map[string][]Execution)
	for _, r := range c.observed.Executions {
		runs[r.Endpoint] = append(runs[r.Endpoint], r)
	}
	allowed := int(c.bounds.ColdExcess*coldRate) + c.bounds.ColdSlack
	for endpoint, spans := range c.observed.Cold {
		for _, s := range spans {
			if in := busiestWindow(runs[endpoint], s, time.Second); len(in) > allowed {
				c.add(PromiseCold, "", "%s began %d requests in a second while it was cold, over %d: cold from %s, %s",
					endpoint, len(in), allowed, s.From.Format(timeFormat), formatStarts(in))
			}
		}
	}
}

// timeFormat is the time format in violations, the same as in the processes' logs.
const timeFormat = "15:04:05.000"

// busiestWindow returns the runs that begin in the window with the most of them, within a span,
// in order.
func busiestWindow(runs []Execution, span Span, window time.Duration) []Execution {
	in := slices.DeleteFunc(slices.Clone(runs), func(r Execution) bool { return r.Begin.Before(span.From) || r.Begin.After(span.To) })
	slices.SortFunc(in, func(a, b Execution) int { return a.Begin.Compare(b.Begin) })
	var busiest []Execution
	from := 0
	for i, r := range in {
		for r.Begin.Sub(in[from].Begin) >= window {
			from++
		}
		if i-from+1 > len(busiest) {
			busiest = in[from : i+1]
		}
	}
	return busiest
}

// formatStarts formats the IDs and start times of runs.
func formatStarts(runs []Execution) string {
	names := make([]string, len(runs))
	for i, r := range runs {
		names[i] = r.ID + " at " + r.Begin.Format(timeFormat)
	}
	return strings.Join(names, ", ")
}

func (c *checker) recovery() {
	from := c.observed.LastFault.Add(recoveryWithin)
	all, served := 0, 0
	for _, call := range c.observed.Calls {
		_, revoked := c.observed.Revoked[call.Key]
		if call.Sent.Before(from) || call.CallerLeft || call.Crashing || revoked {
			continue
		}
		all++
		if call.Complete && call.Status == 200 {
			served++
		}
	}
	if float64(served) < recoveredShare*float64(all) {
		c.add(PromiseRecovery, "", "%d of %d requests were served from %s after the last fault on", served, all, recoveryWithin)
	}
}
