package soak

import (
	"fmt"
	"time"
)

// HasVersions reports whether endpoints of several software versions serve side by side, and callers
// resume streams at other routers, in the runs of a seed: every second block of 16000 seeds.
func HasVersions(seed uint64) bool { return seed/16000%2 == 1 }

// callersResume reports whether callers resume streams at other routers in the runs of a seed.
func callersResume(seed uint64) bool {
	return HasVersions(seed) || HasDisorder(seed) || HasRenames(seed)
}

const (
	// versionCount is how many software versions serve side by side.
	versionCount = 2
	// maxResumptions is how often a caller resumes a stream, and resumeLeaveChance the probability
	// that it leaves one to do so.
	maxResumptions    = 3
	resumeLeaveChance = 0.4
	// maxResumeDelay is the longest time after which a caller comes back.
	maxResumeDelay = 400 * time.Millisecond
)

// versionOf returns the version of the endpoint that is started as the given one. Those that replace
// others change between the versions.
func (r *run) versionOf(started int) string {
	if !HasVersions(r.opts.Seed) {
		return "v1"
	}
	return fmt.Sprint("v", 1+started%versionCount)
}

// resumption is the part of a stream that its caller has.
type resumption struct {
	// First is the ID of the request whose answer brought the first event; empty before it.
	First string
	// Last is the number of the last event.
	Last int
}

// resume receives a stream in up to maxResumptions more requests, each to the next router.
func (c *caller) resume(route Route, id, key, team string) {
	var held resumption
	at := c.router
	for try := range 1 + maxResumptions {
		request := fmt.Sprintf("%s-%d", id, try)
		call := c.callAt(at, route, request, key, team, &held)
		c.soak.record(call)
		if call.Complete && call.Status == 200 || call.ContentError != "" {
			return
		}
		if held.First == "" && held.Last > 0 {
			held.First = request
		}
		at = c.soak.nextRouter(at)
		time.Sleep(randomDuration(c.rnd, maxResumeDelay))
	}
}

// nextRouter returns the router to which a caller comes back with a stream that broke off at the given one: the
// next, or in runs with renames the one that is isolated at times.
func (r *run) nextRouter(at int) int {
	if HasRenames(r.opts.Seed) {
		return len(r.routers) - 1
	}
	return (at + 1) % len(r.routers)
}

// leaveChanceOf returns the probability that a caller leaves a stream.
func (c *caller) leaveChanceOf(route Route) float64 {
	if route.Repeatable && callersResume(c.soak.opts.Seed) {
		return resumeLeaveChance
	}
	return leaveChance
}

// versions checks that all events of a stream come from endpoints of one version.
func (c *checker) versions() {
	type source struct{ endpoint, version string }
	first := make(map[string]source) // by the stream's first request
	for _, call := range c.observed.Calls {
		stream := call.ID
		if call.Resumes != "" {
			stream = call.Resumes
		}
		for _, endpoint := range call.Sources {
			s := source{endpoint, c.observed.Versions[endpoint]}
			begun, known := first[stream]
			if !known {
				first[stream] = s
				continue
			}
			if s.version != begun.version {
				c.add(PromiseVersion, call.ID, "its events come from %s (%s), the stream %s began at %s (%s)", s.endpoint, s.version, stream, begun.endpoint, begun.version)
			}
		}
	}
}

// ResumedStreams counts the streams that callers resumed after some events, and how many of them went
// on; and the same of new ones.
type ResumedStreams struct {
	Resumed   int `json:"resumed"`
	Continued int `json:"continued"`
	New       int `json:"new"`
	Begun     int `json:"begun"`
}

func countResumed(calls []Call) ResumedStreams {
	var n ResumedStreams
	for _, call := range calls {
		served := len(call.Sources) > 0
		switch {
		case !call.Stream || call.Crashing:
		case call.Resumes != "":
			n.Resumed++
			n.Continued += count(served)
		default:
			n.New++
			n.Begun += count(served)
		}
	}
	return n
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}
