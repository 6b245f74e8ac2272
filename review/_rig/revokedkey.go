package main

import (
	"bytes"
	"fmt"
	"sync"
	"time"
)

// Times of the case. The bounds are those of the site's sheet.
const (
	// turnedAway is how long the store turns the routers away.
	turnedAway = 9 * time.Second
	// uploadTime is how long the clients' line takes for a body.
	uploadTime = time.Second
	bodyBytes  = 110_000
	callGap    = 100 * time.Millisecond
)

// revokedKey plays a store that turns all routers away while a key is taken away, and clients that
// go on with that key.
func revokedKey(r *rig) (bool, error) {
	first := config()
	r.putConfig(first)
	if _, err := r.startReplicas(); err != nil {
		return false, err
	}
	if err := r.startRouters(3); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second) // contact-ms: all is calm
	if r.trouble {
		r.gate.turnAway(true)
		r.note("store     turns the routers away (503) and serves the operator")
		time.AfterFunc(turnedAway, func() {
			r.gate.turnAway(false)
			r.note("store     serves the routers again")
		})
	}
	time.Sleep(500 * time.Millisecond)
	confirmed := r.putConfig(withoutKey(first, 4, takenKey))
	r.note("operator  version 4 without the key is confirmed")
	calls := r.callWithTakenKey(confirmed.Add(revokeBound+100*time.Millisecond), 6*time.Second)
	return r.checkRevoked(calls, confirmed), nil
}

// callWithTakenKey sends requests with the taken key to all routers in turn, from the given time on.
func (r *rig) callWithTakenKey(from time.Time, length time.Duration) []*call {
	time.Sleep(time.Until(from))
	var calls []*call
	var all sync.WaitGroup
	for i := 0; time.Since(from) < length; i++ {
		rt := r.routers[i%len(r.routers)]
		c := &call{
			id: fmt.Sprintf("%016x", 0xa000+i), router: rt.front, path: "/review/1", key: takenKey, method: "POST",
			limit: 4 * time.Second, body: bytes.Repeat([]byte("constitution "), bodyBytes/13), pieces: 20, over: uploadTime,
		}
		calls = append(calls, c)
		all.Go(func() {
			c.send()
			r.noteCall(c)
		})
		time.Sleep(callGap)
	}
	all.Wait()
	return calls
}
