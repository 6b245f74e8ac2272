package wait_test

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"coveferry/internal/filters/dispatch"
	"coveferry/internal/filters/wait"
)

// call is a caller that comes back once, at another router, when it is told to.
func (f *simFleet) call(router, other int) {
	began := time.Now()
	f.count(func() { f.arrivals++ })
	err := f.send(router, f.path, f.callerTimeout)
	f.count(func() {
		if err == nil {
			f.servedFirst++
			if time.Since(began) <= simObjective {
				f.inTimeFirst++
			}
		}
	})
	if after := retryAfter(err); after > 0 {
		time.Sleep(after)
		withRoom := f.hasRoom() && !f.inBurst.Load()
		f.count(func() { f.arrivals++; f.returned++ })
		err = f.send(other, f.path, f.callerTimeout-time.Since(began))
		f.count(func() {
			if withRoom {
				f.returnedWithRoom++
			}
			if err == nil {
				f.servedAfterReturn++
				if withRoom {
					f.servedWithRoom++
				}
			}
		})
	}
	f.count(func() {
		switch {
		case err == nil && time.Since(began) <= simObjective:
			f.inTime++
			f.served++
		case err == nil:
			f.served++
		default:
			f.refused++
		}
	})
}

// hasRoom reports whether the endpoints have fewer than two requests for each slot, so that one
// more would be answered within twice its work.
func (f *simFleet) hasRoom() bool {
	requests := 0
	for _, e := range f.endpoints {
		e.mu.Lock()
		requests += e.running + e.queued
		e.mu.Unlock()
	}
	return requests < 2*simEndpoints*simSlots
}

// retryAfter returns when a refused caller comes back; 0 if it doesn't. Without the filter, callers
// are told 100 ms, as the router does.
func retryAfter(err error) time.Duration {
	var held *wait.RefusedError
	var refused *dispatch.RefusedError
	switch {
	case errors.As(err, &held):
		return held.Return.After
	case errors.As(err, &refused):
		return 100 * time.Millisecond
	}
	return 0
}

// sendAtRate sends requests at a rate, in multiples of what fits, for a time. Callers choose routers at
// random.
func (f *simFleet) sendAtRate(loadFactor float64, duration time.Duration, rnd *rand.Rand, group *sync.WaitGroup) {
	end := time.Now().Add(duration)
	for {
		time.Sleep(time.Duration(rnd.ExpFloat64() / (loadFactor * simCapacity) * float64(time.Second)))
		if time.Now().After(end) {
			return
		}
		router, other := rnd.IntN(len(f.routers)), rnd.IntN(len(f.routers))
		group.Go(func() { f.call(router, other) })
	}
}
