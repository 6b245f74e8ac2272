package memnet

import (
	"bytes"
	"net"
	"sync"
	"time"
)

// segmentSize is the number of bytes of a write sent over a link at a time, so that a
// reader receives a long answer in parts, as from a socket.
const segmentSize = 16 << 10

// maxSegments is more than any test has in flight on one connection.
const maxSegments = 1 << 14

// Link simulates the network link of one VM. All its connections share the bandwidth,
// and data is sent in the order of the writes. It is safe for concurrent use.
type Link struct {
	mu     sync.Mutex
	mbps   float64
	freeAt time.Time
	sent   int
}

// NewLink returns an idle link with a bandwidth in Mbit/s.
func NewLink(mbps float64) *Link { return &Link{mbps: mbps} }

// Reserve adds a number of bytes to the link's queue and returns when they will have
// been sent.
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

// Sent returns the number of bytes sent over the link.
func (l *Link) Sent() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sent
}

// Conn returns a connection whose writes are sent over the link.
func (l *Link) Conn(c net.Conn) net.Conn {
	lc := &linkConn{Conn: c, link: l, out: make(chan []byte, maxSegments), closed: make(chan struct{})}
	go lc.send()
	return lc
}

// Listener returns a listener whose connections send their writes over the link.
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

// linkConn is a connection that sends over a link. Writes return at once, because a
// writer that slept while it held a lock would stop the fake clock of a test.
type linkConn struct {
	net.Conn
	link *Link
	out  chan []byte
	// closed stops the sending goroutine.
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
