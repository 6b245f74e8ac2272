package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// callerTimeout is the timeout of a caller. streamEvents and eventPause define a
	// streamed answer, which lasts long enough to overlap with faults.
	callerTimeout = 4 * time.Second
	streamEvents  = 20
	eventPause    = 25 * time.Millisecond
	// meanRequestGap is the mean pause between a caller's requests.
	meanRequestGap = 60 * time.Millisecond
	// leaveChance is the probability that a caller disconnects during a streamed
	// answer, at a random time up to maxLeaveDelay.
	leaveChance   = 0.05
	maxLeaveDelay = 300 * time.Millisecond
)

// caller sends requests to one router, one after another, on persistent connections.
type caller struct {
	number int
	router int
	soak   *run
	rnd    *rand.Rand
	client *http.Client
}

func (c *caller) run(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(time.Duration(c.rnd.ExpFloat64() * float64(meanRequestGap)))
		route, added := c.soak.pickRoute(c.rnd)
		key, team := c.soak.keys.pick(c.rnd)
		if route.Stream && route.Repeatable && callersResume(c.soak.opts.Seed) {
			c.resume(route, fmt.Sprintf("c%d-%d", c.number, n), key, team)
			continue
		}
		call := c.call(route, fmt.Sprintf("c%d-%d", c.number, n), key, team)
		call.Added = added
		c.soak.record(call)
	}
}

// call sends one request and reads its answer.
func (c *caller) call(route Route, id, key, team string) Call {
	return c.callAt(c.router, route, id, key, team, &resumption{})
}

// callAt is call at a router, for the rest of the stream of which the caller holds a part. It adds
// what it receives to that.
func (c *caller) callAt(router int, route Route, id, key, team string, held *resumption) Call {
	call := Call{
		ID: id, Key: key, Team: team, Service: route.Service, Router: router, Resumes: held.First,
		Repeatable: route.Repeatable, Stream: route.Stream, Crashing: route.Crashing,
	}
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	if route.Stream && !route.Crashing && c.rnd.Float64() < c.leaveChanceOf(route) {
		call.CallerLeft = true
		time.AfterFunc(randomDuration(c.rnd, maxLeaveDelay), cancel)
	}
	req, err := c.soak.wire.Request(ctx, c.soak.routers[router].router.CallerAddr, route, id, key, callerTimeout)
	if err != nil {
		panic(err) // the soak built a malformed request
	}
	if held.First != "" {
		c.soak.wire.Resume(req, held.First, held.Last)
	}
	if HasSlowBodies(c.soak.opts.Seed) && req.ContentLength > 0 && c.rnd.Float64() < slowBodyChance {
		slowDown(req, randomDuration(c.rnd, longestBody))
	}
	call.Sent = time.Now()
	resp, err := c.client.Do(req)
	if err == nil {
		call.Status = resp.StatusCode
		call.Complete, call.ContentError = c.read(resp, route, id, held, &call.Sources)
		resp.Body.Close()
	}
	call.End = time.Now()
	return call
}

// read reads an answer. It reports whether the answer was complete, and what is wrong
// with its content, if anything, also in the received part of an incomplete answer.
func (c *caller) read(resp *http.Response, route Route, id string, held *resumption, sources *[]string) (complete bool, contentError string) {
	if resp.StatusCode != http.StatusOK {
		_, err := io.Copy(io.Discard, resp.Body)
		return err == nil, ""
	}
	if !c.soak.wire.Signed(resp) {
		return false, "a success that no endpoint signed"
	}
	if !route.Stream {
		body, err := io.ReadAll(resp.Body)
		if err == nil && !strings.HasSuffix(string(body), " to "+id) {
			contentError = fmt.Sprintf("the answer is %q", body)
		}
		return err == nil, contentError
	}
	return readStream(resp.Body, id, held, sources)
}

// readStream reads a stream of events, which must be numbered from the one after the last that the
// caller holds. It records the endpoints that they come from.
func readStream(body io.Reader, id string, held *resumption, sources *[]string) (complete bool, contentError string) {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		line := lines.Text()
		if number, ok := strings.CutPrefix(line, "id: "); ok {
			n, err := strconv.Atoi(number)
			if err != nil || n != held.Last+1 {
				return false, fmt.Sprintf("event %q follows event %d", number, held.Last)
			}
			held.Last = n
		}
		if text, ok := strings.CutPrefix(line, "data: "); ok {
			from, found := strings.CutSuffix(text, " of "+id)
			if !found {
				return false, fmt.Sprintf("event %d is %q", held.Last, text)
			}
			*sources = appendSource(*sources, strings.TrimPrefix(from, "piece by "))
		}
	}
	if lines.Err() != nil {
		return false, ""
	}
	if held.Last != streamEvents {
		return true, fmt.Sprintf("the stream ended without an error after event %d of %d", held.Last, streamEvents)
	}
	return true, ""
}

// appendSource appends an endpoint if the last event came from another one.
func appendSource(sources []string, endpoint string) []string {
	if n := len(sources); n > 0 && sources[n-1] == endpoint {
		return sources
	}
	return append(sources, endpoint)
}
