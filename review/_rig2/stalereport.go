package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// What the case plays: three routers and three replicas, as in a small deployment, under clients that
// stream summaries.
const (
	reportLag      = 200 * time.Millisecond // of the replicas' reports, as the site file states
	summaryEvents  = 30
	summaryGap     = 50 * time.Millisecond
	clientsPerZone = 12
	calmBefore     = 5 * time.Second
	garbleFor      = 6500 * time.Millisecond // at most, by the pages
	garblePause    = 1500 * time.Millisecond
	garbleTimes    = 6
	garbleEvery    = 50 // one answer in so many is broken off: a share of 0.02
	// stillAtWork is how long a run may go on at the replica before.
	stillAtWork = 400 * time.Millisecond
)

// staleReport has one of three replicas break off one in fifty of its answers, and checks that no stream goes on
// at another replica while the one before still works on it.
func staleReport(r *rig, trouble bool) int {
	var garbling atomic.Bool
	var answers atomic.Int64
	var replicas []*replica
	lag := reportLag
	if control() {
		lag = 0
	}
	for i, zone := range zones {
		p := &replica{
			id: fmt.Sprintf("i-models-%d", i+1), zone: zone, record: r.record, reportLag: lag,
			events: summaryEvents, gap: summaryGap, number: plainNumbers,
		}
		if i == 0 && trouble {
			p.breakOff = func() bool { return garbling.Load() && answers.Add(1)%garbleEvery == 1 }
		}
		p.listen()
		replicas = append(replicas, p)
		r.list(p.id, "models", p.address, zone, "v1", "ready", 64, time.Now())
	}
	r.startRouters(len(zones))
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var asked, served atomic.Int64
	for _, x := range r.routers {
		for n := range clientsPerZone {
			clients.Go(func() { r.streamSummaries(x, n, stop, &asked, &served) })
		}
	}
	time.Sleep(calmBefore)
	for range garbleTimes {
		r.record.printf("garble begins at %s: one answer in %d is broken off", replicas[0].id, garbleEvery)
		garbling.Store(true)
		time.Sleep(garbleFor)
		garbling.Store(false)
		r.record.printf("garble ends")
		time.Sleep(garblePause)
	}
	close(stop)
	clients.Wait()
	time.Sleep(summaryEvents * summaryGap) // runs that go on without their callers
	r.record.result("%d requests, %d of them served", asked.Load(), served.Load())
	return countOverlaps(r.record, replicas)
}

// streamSummaries has one client ask for summaries, one after the other over a kept channel.
func (r *rig) streamSummaries(x *router, n int, stop chan struct{}, asked, served *atomic.Int64) {
	c := &client{address: x.front}
	defer c.close()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		q := call{method: "POST", path: "/summary/a", id: fmt.Sprintf("%s-%d-%d", x.zone, n, i), key: key, timeLeft: 8 * time.Second, body: []byte("a return"), prompt: true}
		asked.Add(1)
		a := c.ask(q)
		got := events(a.body)
		r.record.printf("client of %s: %s answered %d, sealed %t, complete %t, %d events, in %s", x.name, q.id, a.status, a.sealed, a.complete, len(got), a.took.Round(time.Millisecond))
		if a.complete && a.status == 200 && len(got) == summaryEvents {
			served.Add(1)
		}
	}
}

// countOverlaps counts the requests that went on at another replica while the one before worked on them for
// longer than stillAtWork.
func countOverlaps(rec *record, replicas []*replica) (broken int) {
	byID := make(map[string][]*run)
	for _, p := range replicas {
		p.mu.Lock()
		for _, run := range p.runs {
			byID[run.id] = append(byID[run.id], run)
		}
		p.mu.Unlock()
	}
	twice := 0
	for id, runs := range byID {
		if len(runs) > 1 {
			twice++
		}
		for _, before := range runs {
			for _, next := range runs {
				if next.replica == before.replica || !next.start.After(before.start) {
					continue
				}
				over := before.end.Sub(next.start)
				if !before.ended {
					over = time.Since(next.start)
				}
				if over > stillAtWork {
					broken++
					rec.result("TWICE: %s went on at %s after event %d while %s still worked on it %d ms later", id, next.replica, next.after, before.replica, over.Milliseconds())
				}
			}
		}
	}
	rec.result("%d requests ran at two replicas", twice)
	return broken
}
