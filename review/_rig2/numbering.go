package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// What the case plays: four replicas whose events are numbered 1, 2, 3; two of them are replaced, one after the
// other, by a version whose events bear the number of their first token: 1, 7, 13.
const (
	queryReplicas   = 4
	replaced        = 2 // a share of .5
	queryEvents     = 20
	queryGap        = 30 * time.Millisecond
	queryClients    = 4 // of each router
	tokensPerEvent  = 6
	beforeRelease   = 10 * time.Second
	releaseStep     = time.Second
	drainFor        = 4 * time.Second // a replaced replica serves on for drain-ms and a little longer
	afterRelease    = 10 * time.Second
	allowedClosings = 3
)

func tokenNumbers(n int) int { return 1 + (n-1)*tokensPerEvent }

// newNumbering checks that no more than three answers of sound replicas are cut off.
func newNumbering(r *rig, trouble bool) (broken int) {
	start := func(i int, version string, number func(int) int) *replica {
		p := &replica{
			id: fmt.Sprintf("i-models-%s-%d", version, i+1), zone: zones[i%len(zones)], record: r.record, reportLag: reportLag,
			events: queryEvents, gap: queryGap, number: number,
		}
		p.listen()
		r.list(p.id, "models", p.address, p.zone, version, "ready", 64, time.Now())
		return p
	}
	var old []*replica
	for i := range queryReplicas {
		old = append(old, start(i, "v1", plainNumbers))
	}
	r.startRouters(len(zones))
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var asked, served, cut, failed atomic.Int64
	for _, x := range r.routers {
		for n := range queryClients {
			clients.Go(func() {
				c := &client{address: x.front}
				defer c.close()
				for i := 0; ; i++ {
					select {
					case <-stop:
						return
					default:
					}
					kept := c.conn != nil
					q := call{method: "POST", path: "/query/a", id: fmt.Sprintf("%s-%d-%d", x.zone, n, i), key: key, timeLeft: 11 * time.Second, body: []byte("a question"), prompt: true}
					asked.Add(1)
					a := c.ask(q)
					got := len(events(a.body))
					r.record.printf("client of %s: %s answered %d on a kept channel: %t, sealed %t, complete %t, closed %t, %d of %d events, in %s", x.name, q.id, a.status, kept, a.sealed, a.complete, a.closed, got, queryEvents, a.took.Round(time.Millisecond))
					switch {
					case a.status == 200 && a.complete && got == queryEvents:
						served.Add(1)
					case kept && a.closed:
						cut.Add(1)
					default:
						failed.Add(1)
					}
				}
			})
		}
	}
	time.Sleep(beforeRelease)
	r.record.result("before the release: %d asked, %d served, %d cut off, %d failed", asked.Load(), served.Load(), cut.Load(), failed.Load())
	numbers := tokenNumbers
	if control() {
		numbers = plainNumbers
	}
	if trouble {
		for i := range replaced {
			start(i, "v2", numbers)
			r.record.printf("release: i-models-v2-%d has started, %s drains", i+1, old[i].id)
			r.list(old[i].id, "models", old[i].address, old[i].zone, "v1", "draining", 64, time.Now())
			p := old[i]
			time.AfterFunc(drainFor, func() { r.unlist(p.id); _ = p.listener.Close() })
			time.Sleep(releaseStep)
		}
	}
	time.Sleep(afterRelease)
	close(stop)
	clients.Wait()
	r.record.result("at the end: %d asked, %d served, %d cut off on kept channels, %d failed otherwise", asked.Load(), served.Load(), cut.Load(), failed.Load())
	if n := cut.Load(); n > allowedClosings {
		return int(n)
	}
	return 0
}
