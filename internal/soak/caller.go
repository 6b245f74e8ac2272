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
	// patience is how long a caller waits, and streamEvents and eventPause make up
	// an answer that is a stream: long enough to meet faults on its way.
	patience     = 4 * time.Second
	streamEvents = 20
	eventPause   = 25 * time.Millisecond
	// meanThink is the mean time between a caller's requests.
	meanThink = 60 * time.Millisecond
	// leaveChance is how often a caller leaves in the middle of an answer, after
	// up to leaveAfter.
	leaveChance = 0.05
	leaveAfter  = 300 * time.Millisecond
)

// caller sends requests to one router, one after another, on connections that it
// keeps.
type caller struct {
	number int
	router int
	soak   *run
	rnd    *rand.Rand
	client *http.Client
}

func (c *caller) run(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(time.Duration(c.rnd.ExpFloat64() * float64(meanThink)))
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
		Repeatable: route.Repeatable, Stream: route.Stream, Deadly: route.Deadly,
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	if route.Stream && !route.Deadly && c.rnd.Float64() < leaveChance {
		call.Left = true
		time.AfterFunc(upTo(c.rnd, leaveAfter), cancel)
	}
	req, err := c.soak.wire.Request(ctx, c.soak.routers[c.router].router.Callers, route, id, key, patience)
	if err != nil {
		panic(err) // the soak's own request is malformed
	}
	call.Sent = time.Now()
	resp, err := c.client.Do(req)
	if err == nil {
		call.Status = resp.StatusCode
		call.Whole, call.Wrong = c.read(resp, route, id)
		resp.Body.Close()
	}
	call.End = time.Now()
	return call
}

// read reads an answer and says whether it ended in good order, and what is wrong
// with one that did or with the part that came.
func (c *caller) read(resp *http.Response, route Route, id string) (whole bool, wrong string) {
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
			wrong = fmt.Sprintf("the answer is %q", body)
		}
		return err == nil, wrong
	}
	return readStream(resp.Body, id)
}

// readStream reads events that are numbered from 1.
func readStream(body io.Reader, id string) (whole bool, wrong string) {
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
		return true, fmt.Sprintf("the stream ended in good order after event %d of %d", last, streamEvents)
	}
	return true, ""
}
