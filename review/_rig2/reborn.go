package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// What the case plays: one of five replicas is cut off for cutFor. After crashAfter its process crashes, and after
// rebornAfter it starts again, still behind the cut, under the ID that it had.
const (
	reviewReplicas = 5
	reviewPieces   = 9
	reviewGap      = 200 * time.Millisecond
	cutAt          = 700 * time.Millisecond // after the requests were sent
	crashAfter     = 500 * time.Millisecond
	rebornAfter    = 600 * time.Millisecond
	cutFor         = 1600 * time.Millisecond
	reviewLimit    = 4 * time.Second
	reviewCalls    = 9
)

// rebornBehindCut checks that no answer that ends early looks complete.
func rebornBehindCut(r *rig, trouble bool) (broken int) {
	type place struct {
		id, zone, address string
		proxy             *proxy
		process           *child
	}
	var places []*place
	for i := range reviewReplicas {
		zone := zones[i%len(zones)]
		p := &place{id: fmt.Sprintf("i-models-%d", i+1), zone: zone, address: freeAddress()}
		p.process = startReplica(r.record, p.id, p.address, reviewPieces, reviewGap)
		p.proxy = newProxy(p.address)
		r.list(p.id, "models", p.proxy.address(), zone, "v1", "ready", 64, time.Now())
		places = append(places, p)
	}
	r.startRouters(len(zones))
	time.Sleep(4 * time.Second)
	answers := make([]answer, reviewCalls)
	var calls sync.WaitGroup
	for i := range answers {
		x := r.routers[i%len(r.routers)]
		calls.Go(func() {
			c := &client{address: x.front}
			defer c.close()
			answers[i] = c.ask(call{method: "POST", path: "/review/a", id: fmt.Sprintf("review-%d", i), key: key, timeLeft: reviewLimit, body: []byte("a constitution"), prompt: true})
		})
	}
	time.Sleep(cutAt)
	if trouble {
		p := slices.MaxFunc(places, func(a, b *place) int { return int(a.process.begun.Load() - b.process.begun.Load()) })
		r.record.printf("%s is cut off", p.id)
		p.proxy.cut()
		time.Sleep(crashAfter)
		p.process.kill()
		r.record.printf("the process of %s has crashed", p.id)
		time.Sleep(rebornAfter)
		if control() {
			r.unlist(p.id)
			p.id += "-new"
		}
		p.process = startReplica(r.record, p.id, p.address, reviewPieces, reviewGap)
		r.list(p.id, "models", p.proxy.address(), p.zone, "v1", "ready", 64, time.Now())
		r.record.printf("the process has started again as %s", p.id)
		time.Sleep(cutFor - crashAfter - rebornAfter)
		p.proxy.heal()
		r.record.printf("the cut of %s has healed", p.id)
	}
	calls.Wait()
	for i, a := range answers {
		got := len(events(a.body))
		r.record.printf("client: review-%d answered %d, sealed %t, complete %t, %d of %d events, in %s, %v", i, a.status, a.sealed, a.complete, got, reviewPieces, a.took.Round(time.Millisecond), a.err)
		if a.status == 200 && a.complete && got < reviewPieces {
			broken++
			r.record.result("MIXED: review-%d got a success that came to its end with %d of the %d events", i, got, reviewPieces)
		}
	}
	return broken
}
