package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// call is a client's attempt.
type call struct {
	id, router, path, key string
	method                string
	limit                 time.Duration // the client's time limit
	body                  []byte
	// pieces and over say in how many pieces the client sends the body, and over which time: its
	// own line is slow.
	pieces int
	over   time.Duration
	// closeAfter is when, after the request, the client closes its direction of the channel; 0 for
	// not before the answer has ended.
	closeAfter time.Duration

	sent, end time.Time
	status    int
	seal      string
	answer    string
	err       error
}

// send sends the call on a new connection and reads its answer.
func (c *call) send() {
	c.sent = time.Now()
	defer func() { c.end = time.Now() }()
	conn, err := net.DialTimeout("tcp", c.router, time.Second)
	if err != nil {
		c.err = err
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(c.limit))
	go c.write(conn)
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: c.method})
	if err != nil {
		c.err = err
		return
	}
	defer resp.Body.Close()
	c.status, c.seal = resp.StatusCode, resp.Header.Get(names["seal"])
	text, err := io.ReadAll(resp.Body)
	c.answer, c.err = string(text), err
}

func (c *call) write(conn net.Conn) {
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", c.method, c.path, host)
	for _, line := range [][2]string{
		{names["attemptID"], c.id}, {names["deadline"], fmt.Sprint(c.limit.Milliseconds())},
		{names["model"], "m"}, {names["tokenCounts"], "1460,80"}, {names["promptPrefix"], "5c1e07a2:800,91bd3f06:410," + fmt.Sprintf("%x", hash(c.id)) + ":250"},
		{"Authorization", "Token " + c.key}, {"Content-Length", fmt.Sprint(len(c.body))},
	} {
		fmt.Fprintf(&head, "%s: %s\r\n", line[0], line[1])
	}
	head.WriteString("\r\n")
	if _, err := io.WriteString(conn, head.String()); err != nil {
		return
	}
	pieces := max(1, c.pieces)
	for i := range pieces {
		piece := c.body[i*len(c.body)/pieces : (i+1)*len(c.body)/pieces]
		if _, err := conn.Write(piece); err != nil {
			return
		}
		if i < pieces-1 {
			time.Sleep(c.over / time.Duration(pieces-1))
		}
	}
	if c.closeAfter > 0 {
		time.Sleep(c.closeAfter)
		_ = conn.(*net.TCPConn).CloseWrite()
	}
}

func hash(s string) uint32 {
	h := uint32(2166136261)
	for i := range len(s) {
		h = (h ^ uint32(s[i])) * 16777619
	}
	return h
}

// describe returns what the client saw.
func (c *call) describe() string {
	text := fmt.Sprintf("status %d, seal %q, %d bytes", c.status, c.seal, len(c.answer))
	if c.err != nil {
		text += fmt.Sprintf(", error %v", c.err)
	}
	return text
}
