package server

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// NotSentError is a request of which nothing was written to a connection, so that it can't
// have arrived.
type NotSentError struct{ Cause error }

// Error implements error.
func (e *NotSentError) Error() string { return "server: nothing was sent: " + e.Cause.Error() }

// Unwrap returns why.
func (e *NotSentError) Unwrap() error { return e.Cause }

// MayHaveSent says whether a request that ended with the error may have arrived.
func MayHaveSent(err error) bool {
	var notSent *NotSentError
	return !errors.As(err, &notSent)
}

// noRetryTransport sends each request over HTTP/1 to arrive at most once. The library's own
// transport repeats one whose connection breaks before an answer, for as long as it has kept
// others: each without a body whose method is idempotent by the protocol, and each with an
// idempotency key. Peers would get what no retry budget counts, with the time that was left
// at first. Only a request of which nothing was written goes out again, as peers close
// connections that they keep. Errors of requests that can't have arrived are *NotSentError.
type noRetryTransport struct{ *http.Transport }

// newNoRetryClient returns a client whose transport dials plain connections.
func newNoRetryClient(t *http.Transport, dial Dial) *http.Client {
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn}, nil
	}
	return &http.Client{Transport: noRetryTransport{t}}
}

// RoundTrip implements http.RoundTripper.
func (t noRetryTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	for {
		var used usedConn
		resp, err := t.Transport.RoundTrip(withoutRetry(req, &used))
		switch {
		case err == nil:
			return resp, nil
		case used.conn != nil && (used.hasWritten() || req.Context().Err() != nil):
			return nil, err
		}
		rewound, ok := rewindBody(req)
		if !used.reused || !ok {
			return nil, &NotSentError{Cause: err}
		}
		req = rewound
	}
}

// withoutRetry is a request that the library doesn't repeat withoutRetry something of it was written.
func withoutRetry(req *http.Request, used *usedConn) *http.Request {
	trace := &httptrace.ClientTrace{GotConn: used.onGotConn}
	out := req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	out.GetBody = nil
	if libraryMayRetry(out) {
		out.Body = io.NopCloser(strings.NewReader("")) // an empty one, too, is more than none
	}
	return out
}

// libraryMayRetry says whether the library takes a request for one that it may repeat.
func libraryMayRetry(req *http.Request) bool {
	if req.Body != nil && req.Body != http.NoBody {
		return false
	}
	switch req.Method {
	case "", http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return req.Header["Idempotency-Key"] != nil || req.Header["X-Idempotency-Key"] != nil
}

// rewindBody is the request with its body unread; false if that can't be had.
func rewindBody(req *http.Request) (*http.Request, bool) {
	if req.Body == nil || req.Body == http.NoBody {
		return req, true
	}
	if req.GetBody == nil {
		return nil, false
	}
	body, err := req.GetBody()
	if err != nil {
		return nil, false
	}
	next := req.WithContext(req.Context())
	next.Body = body
	return next, true
}

// usedConn is the connection that a request got, if any, and what had been written to it.
type usedConn struct {
	conn   net.Conn
	reused bool
	writtenBefore int64
}

func (u *usedConn) onGotConn(info httptrace.GotConnInfo) {
	u.conn, u.reused = info.Conn, info.Reused
	if counted, ok := info.Conn.(*countedConn); ok {
		u.writtenBefore = counted.written.Load()
	}
}

// hasWritten says whether something may have been hasWritten to it for the request.
func (u *usedConn) hasWritten() bool {
	counted, ok := u.conn.(*countedConn)
	return !ok || counted.written.Load() > u.writtenBefore
}

// countedConn counts the bytes that its system took to send.
type countedConn struct {
	net.Conn
	written atomic.Int64
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}
