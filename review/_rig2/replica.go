package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is a request's run at a replica.
type run struct {
	id         string
	replica    string
	after      int // the last event that the caller had
	start, end time.Time
	ended      bool
}

// replica is a stand-in of a model replica that is served inside this process. It works on a request to its
// end also if the request's channel closes, as some replicas do, and its report tells what it ran reportLag ago.
type replica struct {
	id, zone, address string
	record            *record
	reportLag         time.Duration
	// events is the number of events of a stream and gap the time between two.
	events int
	gap    time.Duration
	// number returns the ID of the n-th event, from 1 on.
	number func(n int) int
	// breakOff reports whether to break off the answer to the next request, after its first event.
	breakOff func() bool

	listener net.Listener
	mu       sync.Mutex
	runs     []*run
}

func (p *replica) listen() {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("%v", err)
	}
	p.listener, p.address = l, l.Addr().String()
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

func (p *replica) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil || !p.answer(conn, req, body) {
			return
		}
	}
}

// answer answers one request and reports whether the channel is kept.
func (p *replica) answer(conn net.Conn, req *http.Request, _ []byte) bool {
	switch req.URL.Path {
	case names["report_path"]:
		return p.answerReport(conn)
	case "/health":
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", names["instance"], p.id, names["load"], p.load())
		return err == nil
	}
	id := req.Header.Get(names["id"])
	if expected := req.Header.Get(names["expect"]); expected != "" && expected != p.id {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", names["id"], id, names["instance"], p.id)
		return err == nil
	}
	return p.stream(conn, req, id)
}

// load states what runs and waits, and the slots.
func (p *replica) load() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	running := 0
	for _, r := range p.runs {
		if !r.ended {
			running++
		}
	}
	return fmt.Sprintf("%d,0,64", running)
}

// answerReport tells what ran reportLag ago.
func (p *replica) answerReport(conn net.Conn) bool {
	asOf := time.Now().Add(-p.reportLag)
	runs := [][]any{}
	p.mu.Lock()
	for _, r := range p.runs {
		if !r.start.After(asOf) && (!r.ended || r.end.After(asOf)) {
			runs = append(runs, []any{r.id, 600, 1, 1})
		}
	}
	p.mu.Unlock()
	text, _ := json.Marshal(map[string]any{
		"stage": "mixed", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false, "sequence": 1,
		"queued": 0, "running": len(runs), "kv-used": 600 * len(runs), "kv-total": 289584, "handles": 0, "runs": runs,
	})
	p.record.printf("%s reports as of %s ago: %d runs %s", p.id, p.reportLag, len(runs), text)
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	return err == nil
}

// stream runs a request and sends its events.
func (p *replica) stream(conn net.Conn, req *http.Request, id string) bool {
	after, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	r := &run{id: id, replica: p.id, after: after, start: time.Now()}
	p.mu.Lock()
	p.runs = append(p.runs, r)
	breaks := p.breakOff != nil && p.breakOff()
	p.mu.Unlock()
	p.record.printf("%s begins to run %s after event %d", p.id, id, after)
	var head strings.Builder
	fmt.Fprintf(&head, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n%s: %s\r\n%s: sealed-by-%s\r\n%s: %s\r\n\r\n",
		names["id"], id, names["seal"], p.id, names["load"], p.load())
	_, err := io.WriteString(conn, head.String())
	sent := 0
	for n := 1; n <= p.events; n++ {
		number := p.number(n)
		if number <= after {
			continue
		}
		time.Sleep(p.gap)
		event := fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", number, n, id)
		if err == nil {
			_, err = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
		}
		sent++
		if breaks && sent == 1 {
			p.record.printf("%s breaks off its answer to %s after event %d and works on", p.id, id, number)
			_ = conn.Close()
			err = net.ErrClosed
		}
	}
	if err == nil {
		_, err = io.WriteString(conn, "0\r\n\r\n")
	}
	p.mu.Lock()
	r.end, r.ended = time.Now(), true
	p.mu.Unlock()
	p.record.printf("%s ends its run of %s", p.id, id)
	return err == nil
}

func plainNumbers(n int) int { return n }
