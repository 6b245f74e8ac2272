package main

import (
	"fmt"
	"sync"
	"time"

	"coveferry/platform/platformtest"
)

// Times and sizes of the case.
const (
	// fleetRouters is the number of front machines: 60 of 172, which is a share of 0.349.
	fleetRouters = 60
	// fleetKeys is the number of keys of one tenant. The configuration takes 0.8 MB of the megabyte
	// that a value may have.
	fleetKeys = 34_000
	// starts is how often the fleet is started, at most.
	starts = 8
	// firstConfig is when the operator writes the first configuration, after the machines' start and
	// before traffic starts.
	firstConfig = time.Second
	// calmTime is longer than contact-ms.
	calmTime = 3500 * time.Millisecond
	// latestStart leaves time for one more start within 120 s.
	latestStart = 104 * time.Second
)

// staleAge starts a fleet, turns all of its routers away from the store while a key is taken away,
// and calls each router with that key once it must no longer work.
func staleAge(r *rig) (bool, error) {
	if err := r.planRouters(fleetRouters); err != nil {
		return false, err
	}
	replicas, err := r.startReplicas()
	if err != nil {
		return false, err
	}
	longest := time.Duration(0)
	for start := 1; start <= starts && time.Since(r.began)+longest < latestStart; start++ {
		began := time.Now()
		held, err := r.startAndRevoke(start, replicas)
		if err != nil || !held {
			return held, err
		}
		longest = max(longest, time.Since(began))
	}
	return true, nil
}

func (r *rig) startAndRevoke(start int, replicas []*replica) (bool, error) {
	defer func() {
		for _, rt := range r.routers {
			rt.kill()
		}
		r.gate.turnAway(false)
	}()
	r.store = platformtest.NewStore()
	r.gate.use(r.store)
	for i, p := range replicas {
		r.list(p, zones[i/2%len(zones)], "ready")
	}
	for i, rt := range r.routers {
		if err := r.startRouter(i, rt); err != nil {
			return false, err
		}
	}
	time.Sleep(firstConfig)
	first := config()
	addKeys(first, fleetKeys)
	r.putConfig(first)
	r.note("start %d   %d routers; the first configuration is written", start, len(r.routers))
	for _, rt := range r.routers {
		if err := rt.awaitReady(); err != nil {
			return false, err
		}
	}
	time.Sleep(calmTime)
	before := r.callAll(start, "before", takenKey)
	r.say("start %d   before: %s", start, counted(before))
	if r.trouble {
		r.gate.turnAway(true)
		r.note("store     turns the routers away (503) and serves the operator")
	}
	time.Sleep(500 * time.Millisecond)
	confirmed := r.putConfig(withoutKey(first, 4, takenKey))
	r.note("operator  version 4 without the key is confirmed")
	time.Sleep(time.Until(confirmed.Add(revokeBound + 100*time.Millisecond)))
	after := r.callAll(start, "after", takenKey)
	r.say("start %d   with the taken key: %s", start, counted(after))
	return r.checkRevoked(after, confirmed), nil
}

// callAll calls all routers at once.
func (r *rig) callAll(start int, when, key string) []*call {
	var calls []*call
	var all sync.WaitGroup
	for i, rt := range r.routers {
		c := &call{
			id: fmt.Sprintf("%s-%d-%s", when, start, rt.name), router: rt.front, path: fmt.Sprintf("/search/%d", i), key: key,
			method: "GET", limit: 600 * time.Millisecond,
		}
		calls = append(calls, c)
		all.Go(c.send)
	}
	all.Wait()
	for _, c := range calls {
		r.noteCall(c)
	}
	return calls
}

func counted(calls []*call) string {
	count := make(map[int]int)
	for _, c := range calls {
		count[c.status]++
	}
	return fmt.Sprintf("answers by status (0: none) %v", count)
}

// addKeys adds keys to the last tenant.
func addKeys(c map[string]any, n int) {
	tenants := c["tenants"].([]any)
	last := tenants[len(tenants)-1].(map[string]any)
	for name, v := range last {
		list, ok := v.([]any)
		if !ok {
			continue
		}
		for i := range n {
			list = append(list, fmt.Sprintf("key%017d", i))
		}
		last[name] = list
	}
}
