package soak

import (
	"encoding/json"
	"slices"
	"strings"
	"time"
)

// hearRouter takes a line of a router's log.
func (r *run) hearRouter(line []byte) {
	var ended struct {
		Message, Request string
		Attempts         json.RawMessage
	}
	if err := json.Unmarshal(line, &ended); err != nil || ended.Message != "request ended" || ended.Request == "" {
		return // of something else
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seen.Told[ended.Request] = AttemptsTold(ended.Attempts)
}

// AttemptsTold is how many attempts at endpoints a router's line on a request tells of.
func AttemptsTold(attempts json.RawMessage) int {
	var told []string
	if err := json.Unmarshal(attempts, &told); err != nil {
		return 0 // it ended before there could be any
	}
	return len(slices.DeleteFunc(told, func(a string) bool { return strings.Contains(a, " at : ") }))
}

// told compares what endpoints got with what routers tell. A router that was killed tells
// nothing of what it had open, and one with much to tell leaves lines out.
func (c *checker) told() {
	for id, attempts := range c.seen.Told {
		if n := len(c.runs[id]); n > attempts {
			c.add(PromiseTold, id, "endpoints got it %d times, its router tells of %d attempts", n, attempts)
		}
	}
}

// repeats counts, in each window, what the endpoints of a service got beyond the first
// arrival of each request. It holds for all routers together, harmed or not.
func (c *checker) repeats() {
	sent := make(map[string][]time.Time)
	repeated := make(map[string][]time.Time)
	for _, call := range c.seen.Calls {
		sent[call.Service] = append(sent[call.Service], call.Sent)
		var begins []time.Time
		for _, r := range c.runs[call.ID] {
			begins = append(begins, r.Begin)
		}
		slices.SortFunc(begins, time.Time.Compare)
		if len(begins) > 1 {
			repeated[call.Service] = append(repeated[call.Service], begins[1:]...)
		}
	}
	for service, at := range repeated {
		if n, allowed := MostRepeats(sent[service], at, c.bounds); n > allowed {
			c.add(PromiseRetries, "", "%s got %d requests again in %s, over %d", service, n, c.bounds.RetryWindow, allowed)
		}
	}
}

// MostRepeats is the window with most repeats over what its requests allow: how many there
// were, and how many were allowed. Requests count that were sent in the window, half a window
// before or a window before, whichever are most.
func MostRepeats(sent, repeated []time.Time, b Bounds) (repeats, allowed int) {
	for i, from := range repeated {
		n, of := countIn(repeated, from, b.RetryWindow), 0
		for _, back := range []time.Duration{0, b.RetryWindow / 2, b.RetryWindow} {
			of = max(of, countIn(sent, from.Add(-back), b.RetryWindow))
		}
		may := int(b.RetryRatio*float64(of)) + b.RetrySlack
		if i == 0 || n-may > repeats-allowed {
			repeats, allowed = n, may
		}
	}
	return repeats, allowed
}

// MostPlaces is at how many endpoints a request of a soak's routes may run.
const MostPlaces = 2

// places counts at how many endpoints each request ran.
func (c *checker) places() {
	for id, runs := range c.runs {
		at := make(map[string]bool)
		for _, r := range runs {
			at[r.Endpoint] = true
		}
		if len(at) > MostPlaces {
			c.add(PromisePlaces, id, "it ran at %d endpoints, over %d", len(at), MostPlaces)
		}
	}
}

// countIn is how many of the moments lie in the window that begins at one.
func countIn(at []time.Time, from time.Time, window time.Duration) int {
	n := 0
	for _, t := range at {
		if !t.Before(from) && t.Sub(from) < window {
			n++
		}
	}
	return n
}
