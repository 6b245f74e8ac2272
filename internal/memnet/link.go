package memnet

import (
	"bytes"
	"net"
	"sync"
	"time"
)

// segmentSize is how much of a write goes over a link at a time, so that a reader sees
// a long answer come in parts, as from a socket.
const segmentSize = 16 << 10

// maxSegments is more than any test has on the way over one connection.
const maxSegments = 1 << 14

// Link is the link of one VM: what is sent over it waits for what was sent before,
// by all its connections. It is safe for concurrent use.
type Link struct {
	mu   sync.Mutex
	mbps float64
	freeAt time.Time
	sent int
}

// NewLink returns an idle link of so many Mbit/s.
func NewLink(mbps float64) *Link { return &Link{mbps: mbps} }

// Reserve returns when so many bytes more will have been sent.
func (l *Link) Reserve(bytes int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(bytes) * 8 / l.mbps * float64(time.Microsecond)))
	l.sent += bytes
	return l.freeAt
}

// Sent is how many bytes went over the link.
func (l *Link) Sent() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sent
}

// Conn returns the connection with its writes going over the link.
func (l *Link) Conn(c net.Conn) net.Conn {
	lc := &linkConn{Conn: c, link: l, out: make(chan []byte, maxSegments), closed: make(chan struct{})}
	go lc.send()
	return lc
}

// Listener returns the listener with the writes of all its connections going over
// the link.
func (l *Link) Listener(inner net.Listener) net.Listener { return linkListener{inner, l} }

type linkListener struct {
	net.Listener
	link *Link
}

func (l linkListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.link.Conn(c), nil
}

// linkConn is a connection that sends over a link. Writes return at once, as a
// writer that slept under a lock would stop the clock of a test in fake time.
type linkConn struct {
	net.Conn
	link *Link
	out  chan []byte
	// closed ends the sender.
	closed    chan struct{}
	closeOnce sync.Once
}

func (c *linkConn) send() {
	for {
		select {
		case <-c.closed:
			return
		case p := <-c.out:
			time.Sleep(time.Until(c.link.Reserve(len(p))))
			if _, err := c.Conn.Write(p); err != nil {
				return
			}
		}
	}
}

func (c *linkConn) Write(p []byte) (int, error) {
	for rest := bytes.Clone(p); len(rest) > 0; {
		n := min(segmentSize, len(rest))
		c.out <- rest[:n]
		rest = rest[n:]
	}
	return len(p), nil
}

func (c *linkConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
