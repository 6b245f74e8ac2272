package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// giveUpEvery is how many clients there are for each that gives up: a share of 0.25.
	giveUpEvery = 4
	// giveUpAfter is when a client gives up, well within half of each objective.
	giveUpAfter = 8 * time.Millisecond
	// streamGiveUpAfter is the same for streams whose first events have come.
	streamGiveUpAfter = 120 * time.Millisecond
	halfClosedCalls   = 120
	halfClosedGap     = 25 * time.Millisecond
)

// halfClosed plays clients that give up by closing their direction of the channel (a FIN, as after
// shutdown) and read what comes until the channel ends.
func halfClosed(r *rig) (bool, error) {
	r.putConfig(config())
	if _, err := r.startReplicas(); err != nil {
		return false, err
	}
	if err := r.startRouters(3); err != nil {
		return false, err
	}
	time.Sleep(calmTime)
	var calls []*call
	var all sync.WaitGroup
	for i := range halfClosedCalls {
		c := r.halfClosedCall(i)
		calls = append(calls, c)
		all.Go(func() {
			c.send()
			r.noteCall(c)
		})
		time.Sleep(halfClosedGap)
	}
	all.Wait()
	return r.checkWhole(calls), nil
}

func (r *rig) halfClosedCall(i int) *call {
	path := []string{"/receipt/", "/search/", "/query/"}[i/giveUpEvery%3]
	c := &call{
		id: fmt.Sprintf("%016x", 0xb000+i), router: r.routers[i%len(r.routers)].front, path: fmt.Sprintf("%s%d", path, i), key: keptKey,
		method: "POST", limit: 600 * time.Millisecond, body: []byte("a filing"),
	}
	if path == "/query/" {
		c.limit = 12 * time.Second
	}
	if !r.trouble || i%giveUpEvery != 0 {
		return c
	}
	c.closeAfter = giveUpAfter
	if path == "/query/" && i/giveUpEvery%2 == 0 {
		c.closeAfter = streamGiveUpAfter
	}
	return c
}

// checkWhole notes each success that isn't the whole answer of a replica, and returns whether there
// was none. The client sees the end of an answer by its length or its last chunk.
func (r *rig) checkWhole(calls []*call) (held bool) {
	held = true
	for _, c := range calls {
		whole := c.seal != "" && (strings.HasPrefix(c.answer, "answer of ") || strings.Contains(c.answer, "piece 8 of 8"))
		if c.status < 200 || c.status > 299 || c.err != nil || whole {
			continue
		}
		held = false
		r.say("broken    %s %s: a success that looks whole and isn't: %s", c.id, c.path, c.describe())
	}
	return held
}
