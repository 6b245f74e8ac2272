package soak

import (
	"encoding/json"
	"slices"
	"strings"
	"time"
)

// handleRouterLog handles a line of a router's log.
func (r *run) handleRouterLog(line []byte) {
	var ended struct {
		Message, Request string
		Attempts         json.RawMessage
	}
	if err := json.Unmarshal(line, &ended); err != nil || ended.Message != "request ended" || ended.Request == "" {
		return // another log line
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observed.LoggedAttempts[ended.Request] = CountAttempts(ended.Attempts)
}

// CountAttempts returns the number of attempts at endpoints in a router's log line.
func CountAttempts(attempts json.RawMessage) int {
	var logged []string
	if err := json.Unmarshal(attempts, &logged); err != nil {
		return 0 // the request ended before its first attempt
	}
	return len(slices.DeleteFunc(logged, func(a string) bool { return strings.Contains(a, " at : ") }))
}

// loggedAttempts compares the arrivals at endpoints with the attempts that routers logged. A
// killed router logs nothing for its open requests, and a busy one drops log lines.
func (c *checker) loggedAttempts() {
	for id, attempts := range c.observed.LoggedAttempts {
		if n := len(c.runs[id]) + len(c.turnedAway[id]); n > attempts {
			c.add(PromiseLogged, id, "it arrived at endpoints %d times, its router logged %d attempts", n, attempts)
		}
	}
}

// retryBudget counts, in each window, the arrivals at the endpoints of a service beyond the
// first one of each request. The budget applies to all routers together, with faults or not.
func (c *checker) retryBudget() {
	sent := make(map[string][]time.Time)
	retries := make(map[string][]time.Time)
	for _, call := range c.observed.Calls {
		sent[call.Service] = append(sent[call.Service], call.Sent)
		var begins []time.Time
		for _, r := range c.runs[call.ID] {
			begins = append(begins, r.Begin)
		}
		for _, t := range c.turnedAway[call.ID] {
			begins = append(begins, t.At)
		}
		slices.SortFunc(begins, time.Time.Compare)
		if len(begins) > 1 {
			retries[call.Service] = append(retries[call.Service], begins[1:]...)
		}
	}
	for service, at := range retries {
		if n, allowed := MaxRetries(sent[service], at, c.bounds); n > allowed {
			c.add(PromiseRetries, "", "service %s got %d retries in %s, allowed are %d", service, n, c.bounds.RetryWindow, allowed)
		}
	}
}

// MaxRetries returns the number of retries, and the number allowed, in the window that exceeds
// its retry budget most. The budget is based on the requests sent in the window itself, in one
// half a window earlier or in one a window earlier, whichever has most.
func MaxRetries(sent, retryTimes []time.Time, b Bounds) (retries, allowed int) {
	for i, from := range retryTimes {
		n, requests := countInWindow(retryTimes, from, b.RetryWindow), 0
		for _, shift := range []time.Duration{0, b.RetryWindow / 2, b.RetryWindow} {
			requests = max(requests, countInWindow(sent, from.Add(-shift), b.RetryWindow))
		}
		budget := int(b.RetryRatio*float64(requests)) + b.RetrySlack
		if i == 0 || n-budget > retries-allowed {
			retries, allowed = n, budget
		}
	}
	return retries, allowed
}

// MaxEndpoints is the maximum number of endpoints at which a request of a soak may run.
const MaxEndpoints = 2

// endpointsPerRequest checks the number of endpoints at which each request ran.
func (c *checker) endpointsPerRequest() {
	for id, runs := range c.runs {
		at := make(map[string]bool)
		for _, r := range runs {
			at[r.Endpoint] = true
		}
		if len(at) > MaxEndpoints {
			c.add(PromiseMaxEndpoints, id, "it ran at %d endpoints, over %d", len(at), MaxEndpoints)
		}
	}
}

// countInWindow returns the number of times in the window that begins at from.
func countInWindow(at []time.Time, from time.Time, window time.Duration) int {
	n := 0
	for _, t := range at {
		if !t.Before(from) && t.Sub(from) < window {
			n++
		}
	}
	return n
}
