package main

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// answer is what a client got.
type answer struct {
	status   int
	sealed   bool
	body     []byte
	complete bool // the answer came to its end
	closed   bool // the channel was closed before the end of the answer
	err      error
	took     time.Duration
	header   http.Header
}

// client keeps a channel to a router.
type client struct {
	address string
	conn    net.Conn
	in      *bufio.Reader
}

// ask sends a request over the client's channel, which it opens if there is none.
func (c *client) ask(q call) (a answer) {
	began := time.Now()
	defer func() { a.took = time.Since(began) }()
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			return answer{err: err}
		}
		c.conn, c.in = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(q.timeLeft + time.Second))
	if _, err := c.conn.Write(q.text()); err != nil {
		c.close()
		return answer{err: err, closed: true}
	}
	resp, err := http.ReadResponse(c.in, &http.Request{Method: q.method})
	if err != nil {
		c.close()
		return answer{err: err, closed: !isTimeout(err)}
	}
	a.status, a.sealed, a.header = resp.StatusCode, resp.Header.Get(names["seal"]) != "", resp.Header
	a.body, a.err = io.ReadAll(resp.Body)
	a.complete = a.err == nil
	if !a.complete || resp.Close {
		a.closed = !a.complete && !isTimeout(a.err)
		c.close()
	}
	return a
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// events returns the IDs of the events in a body.
func events(body []byte) (ids []string) {
	for line := range strings.SplitSeq(string(body), "\n") {
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			ids = append(ids, id)
		}
	}
	return ids
}
