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
		call := c.call(route, fmt.Sprintf("c%d-%d", c.number, n), key, team)
		call.Added = added
		c.soak.record(call)
	}
}

// call sends one request and reads its answer.
func (c *caller) call(route Route, id, key, team string) Call {
	call := Call{
		ID: id, Key: key, Team: team, Service: route.Service, Router: c.router,
		Repeatable: route.Repeatable, Stream: route.Stream, Crashing: route.Crashing,
	}
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	if route.Stream && !route.Crashing && c.rnd.Float64() < leaveChance {
		call.CallerLeft = true
		time.AfterFunc(randomDuration(c.rnd, maxLeaveDelay), cancel)
	}
	req, err := c.soak.wire.Request(ctx, c.soak.routers[c.router].router.CallerAddr, route, id, key, callerTimeout)
	if err != nil {
		panic(err) // the soak built a malformed request
	}
	call.Sent = time.Now()
	resp, err := c.client.Do(req)
	if err == nil {
		call.Status = resp.StatusCode
		call.Complete, call.ContentError = c.read(resp, route, id)
		resp.Body.Close()
	}
	call.End = time.Now()
	return call
}

// read reads an answer. It reports whether the answer was complete, and what is wrong
// with its content, if anything, also in the received part of an incomplete answer.
func (c *caller) read(resp *http.Response, route Route, id string) (complete bool, contentError string) {
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
	return readStream(resp.Body, id)
}

// readStream reads a stream of events, which must be numbered from 1.
func readStream(body io.Reader, id string) (complete bool, contentError string) {
	lines := bufio.NewScanner(body)
	last := 0
	for lines.Scan() {
		line := lines.Text()
		if number, ok := strings.CutPrefix(line, "id: "); ok {
			n, err := strconv.Atoi(number)
			if err != nil || n != last+1 {
				return false, fmt.Sprintf("event %q follows event %d", number, last)
			}
			last = n
		}
		if text, ok := strings.CutPrefix(line, "data: "); ok && !strings.HasSuffix(text, " of "+id) {
			return false, fmt.Sprintf("event %d is %q", last, text)
		}
	}
	if lines.Err() != nil {
		return false, ""
	}
	if last != streamEvents {
		return true, fmt.Sprintf("the stream ended without an error after event %d of %d", last, streamEvents)
	}
	return true, ""
}
