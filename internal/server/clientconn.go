package server

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// clientConn is a connection of an HTTP/1 client. It counts the bytes accepted by the kernel for sending,
// and tells a reset from an orderly end, which may be the end of an answer.
//
// The kernel reports a reset once. If a write takes the report, the next read returns io.EOF as if the peer
// had closed in order.
type clientConn struct {
	net.Conn
	written atomic.Int64

	// writing is held during a write. It guards failure.
	writing sync.Mutex
	// failure is the error of a write that found the connection broken.
	failure error
}

// dialClientConns returns a dial function whose connections are of type *clientConn.
func dialClientConns(dial Dial) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &clientConn{Conn: conn}, nil
	}
}

// Write implements net.Conn.
func (c *clientConn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	if isBroken(err) {
		c.failure = err
	}
	return n, err
}

// Read implements net.Conn. It returns io.EOF only for an orderly end.
func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != io.EOF {
		return n, err
	}
	if failure := c.writeFailure(); failure != nil {
		return n, errors.Wrap(failure, "the connection broke while the request was sent")
	}
	return n, io.EOF
}

// writeFailure ends a write that is under way, since it may be about to take the report of a reset, and
// returns the failure of any write so far. HTTP/1 uses no connection further that the peer has ended.
func (c *clientConn) writeFailure() error {
	_ = c.SetWriteDeadline(time.Unix(1, 0)) // fails only on a closed connection, where writes end, too
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.failure
}

// isBroken reports whether a write failed since the connection broke, as by a reset. EPIPE is the error of
// one that the peer had ended in order before.
func isBroken(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && errno != syscall.EPIPE
}
