package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// What the case plays: three replicas, whose answers end with their channels, under their usual traffic and then
// under a burst.
const (
	busySlots     = 16
	busyQueue     = 48
	busyEvents    = 9
	busyGap       = 150 * time.Millisecond
	usualClients  = 12 // of each router
	burstFactor   = 3
	burstFor      = 9 * time.Second
	calmFor       = 6 * time.Second
	afterBurst    = 4 * time.Second
	defaultRank   = 5 // of requests that state no urgency, such as liveness checks
	reviewTimeout = 4 * time.Second
)

// busyReplica is a stand-in of a model replica with slots and a queue. Liveness checks wait for a slot in the same way
// as requests do. More urgent requests are admitted first.
type busyReplica struct {
	id, address string
	record      *record
	slots       int

	mu      sync.Mutex
	running int
	waiting []*waiter
	whole   map[string]bool // the requests whose whole answer was sent
}

// waiter waits for a slot.
type waiter struct {
	rank  int
	admit chan struct{}
}

func (p *busyReplica) listen() {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("%v", err)
	}
	p.address, p.whole = l.Addr().String(), make(map[string]bool)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
}

// take waits for a slot. It returns false if the queue is full.
func (p *busyReplica) take(rank int) bool {
	p.mu.Lock()
	if p.running < p.slots {
		p.running++
		p.mu.Unlock()
		return true
	}
	if len(p.waiting) >= busyQueue {
		p.mu.Unlock()
		return false
	}
	w := &waiter{rank: rank, admit: make(chan struct{})}
	at := len(p.waiting)
	for at > 0 && p.waiting[at-1].rank > rank {
		at--
	}
	p.waiting = append(p.waiting[:at], append([]*waiter{w}, p.waiting[at:]...)...)
	p.mu.Unlock()
	<-w.admit
	return true
}

// release gives a slot to the first that waits.
func (p *busyReplica) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.waiting) == 0 {
		p.running--
		return
	}
	close(p.waiting[0].admit)
	p.waiting = p.waiting[1:]
}

func (p *busyReplica) load() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", p.running, len(p.waiting), p.slots)
}

func (p *busyReplica) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		id := req.Header.Get(names["id"])
		if expected := req.Header.Get(names["expect"]); expected != "" && expected != p.id {
			fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", names["id"], id, names["instance"], p.id)
			continue
		}
		if req.URL.Path == names["report_path"] {
			said := `{"stage":"mixed","queued":0,"running":0,"runs":[]}`
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(said), said)
			continue
		}
		began := time.Now()
		rank := defaultRank
		if n, err := strconv.Atoi(req.Header.Get(names["urgency"])); err == nil {
			rank = n
		}
		checks := req.URL.Path == "/health"
		if checks && control() {
			p.answerCheck(conn, began)
			continue
		}
		if !p.take(rank) {
			fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\n%s: 1\r\n%s: %s\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", names["id"], id, names["not_run"], names["load"], p.load(), names["instance"], p.id)
			continue
		}
		if checks {
			time.Sleep(time.Millisecond)
			p.release()
			p.answerCheck(conn, began)
			continue
		}
		p.stream(conn, id, time.Since(began))
		p.release()
		return
	}
}

// answerCheck answers a liveness check that came at a time.
func (p *busyReplica) answerCheck(conn net.Conn, began time.Time) {
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", names["instance"], p.id, names["load"], p.load())
	p.record.printf("%s answered a liveness check after %s", p.id, time.Since(began).Round(time.Millisecond))
}

// stream sends an answer that ends with its channel.
func (p *busyReplica) stream(conn net.Conn, id string, waited time.Duration) {
	var head strings.Builder
	fmt.Fprintf(&head, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n%s: %s\r\n%s: sealed-by-%s\r\n%s: %s\r\n\r\n",
		names["id"], id, names["seal"], p.id, names["load"], p.load())
	_, err := io.WriteString(conn, head.String())
	for n := 1; n <= busyEvents && err == nil; n++ {
		time.Sleep(busyGap)
		_, err = fmt.Fprintf(conn, "id: %d\ndata: piece %d of %s\n\n", n, n, id)
	}
	_ = conn.Close()
	p.record.printf("%s ran %s, which had waited %s: whole answer sent: %t", p.id, id, waited.Round(time.Millisecond), err == nil)
	p.mu.Lock()
	p.whole[id] = err == nil
	p.mu.Unlock()
}

func (p *busyReplica) sentWhole(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.whole[id]
}

// busyCheck checks that no more than three whole answers of sound replicas are cut off under a burst.
func busyCheck(r *rig, trouble bool) int {
	l := r.startReviews(busySlots)
	stop := make(chan struct{})
	time.Sleep(calmFor)
	if trouble {
		r.record.printf("burst: %d times the traffic", burstFactor)
		l.start((burstFactor-1)*usualClients, "b", stop)
	}
	time.Sleep(burstFor)
	close(stop)
	time.Sleep(afterBurst)
	return l.end()
}

// reviews is the load of a case: three replicas whose answers end with their channels, and clients that stream
// reviews from them, one after the other over kept channels.
type reviews struct {
	rig                                            *rig
	replicas                                       []*busyReplica
	stop                                           chan struct{}
	clients                                        sync.WaitGroup
	asked, served, refused, cut, cutOnKept, failed atomic.Int64
}

// startReviews starts replicas with so many slots, the routers and the usual clients.
func (r *rig) startReviews(slots int) *reviews {
	l := &reviews{rig: r, stop: make(chan struct{})}
	for i, zone := range zones {
		p := &busyReplica{id: fmt.Sprintf("i-models-%d", i+1), record: r.record, slots: slots}
		p.listen()
		r.list(p.id, "models", p.address, zone, "v1", "ready", slots, time.Now())
		l.replicas = append(l.replicas, p)
	}
	r.startRouters(len(zones))
	l.start(usualClients, "u", l.stop)
	return l
}

// start starts so many clients of each router, which ask until stop is closed.
func (l *reviews) start(n int, kind string, stop chan struct{}) {
	for _, x := range l.rig.routers {
		for i := range n {
			l.clients.Go(func() { l.ask(x, fmt.Sprintf("%s-%s%d", x.zone, kind, i), stop) })
		}
	}
}

// usualPace is the time between two requests of a client, so that refused clients send no more than others.
const usualPace = busyEvents*busyGap + 50*time.Millisecond

// ask has one client ask for reviews, one each usualPace at most. A request that is refused is tried once more, when
// the answer says.
func (l *reviews) ask(x *router, name string, stop chan struct{}) {
	c := &client{address: x.front}
	defer c.close()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		next := time.Now().Add(usualPace)
		if wait, refused := l.try(c, fmt.Sprintf("%s-%d", name, i)); refused {
			time.Sleep(wait)
			l.try(c, fmt.Sprintf("%s-%d-again", name, i))
		}
		time.Sleep(time.Until(next))
	}
}

// try sends one request. If it was refused, it returns how long to wait before it is tried again.
func (l *reviews) try(c *client, id string) (wait time.Duration, refused bool) {
	kept := c.conn != nil
	q := call{method: "POST", path: "/review/a", id: id, key: key, timeLeft: reviewTimeout, body: []byte("a constitution"), prompt: true}
	l.asked.Add(1)
	a := c.ask(q)
	got := len(events(a.body))
	whole := slices.ContainsFunc(l.replicas, func(p *busyReplica) bool { return p.sentWhole(q.id) })
	l.rig.record.printf("client: %s answered %d on a kept channel: %t, complete %t, closed %t, %d of %d events, whole at the replica: %t, in %s", q.id, a.status, kept, a.complete, a.closed, got, busyEvents, whole, a.took.Round(time.Millisecond))
	switch {
	case a.status == 200 && a.complete && got == busyEvents:
		l.served.Add(1)
	case a.status == 429 || a.status == 503:
		l.refused.Add(1)
		after, _ := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
		return min(reviewTimeout/3, time.Duration(after*float64(time.Second))), true
	case a.closed && whole:
		l.cut.Add(1)
		if kept {
			l.cutOnKept.Add(1)
		}
	default:
		l.failed.Add(1)
	}
	return 0, false
}

// end ends the load and returns how many whole answers were cut off on kept channels if they are too many.
func (l *reviews) end() int {
	close(l.stop)
	l.clients.Wait()
	l.rig.record.result("%d asked, %d served, %d refused, %d whole answers cut off (%d on kept channels), %d failed otherwise",
		l.asked.Load(), l.served.Load(), l.refused.Load(), l.cut.Load(), l.cutOnKept.Load(), l.failed.Load())
	if n := l.cutOnKept.Load(); n > allowedClosings {
		return int(n)
	}
	return 0
}
