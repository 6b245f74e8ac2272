package server

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"

	"github.com/cockroachdb/errors"
)

// NotSentError is the error of a request of which nothing was written to a connection, so
// that it can't have arrived.
type NotSentError struct{ Cause error }

// Error implements error.
func (e *NotSentError) Error() string { return "server: nothing was sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// MayHaveSent reports whether a request that failed with err may have arrived.
func MayHaveSent(err error) bool {
	var notSent *NotSentError
	return !errors.As(err, &notSent)
}

// atMostOnceTransport sends requests over HTTP/1 that arrive at most once. http.Transport
// retries a request whose connection breaks before the response, on every idle connection it
// has: requests without a body whose method is idempotent, and requests with an idempotency
// key. Such retries are not counted by any retry budget and carry the remaining time that was
// computed for the first send, which is too long by then. atMostOnceTransport resends only a
// request of which nothing was written, because peers close idle connections. Errors of
// requests that can't have arrived are *NotSentError.
type atMostOnceTransport struct {
	*http.Transport
	// unpooled opens a connection for each request.
	unpooled *http.Transport
}

// newAtMostOnceClient returns a client without TLS whose transport is an atMostOnceTransport.
func newAtMostOnceClient(t *http.Transport, dial Dial) *http.Client {
	t.DialContext = dialClientConns(dial)
	unpooled := t.Clone()
	unpooled.DisableKeepAlives = true
	return &http.Client{Transport: atMostOnceTransport{t, unpooled}}
}

// newConnectionKey is the context key of requests that need a connection of their own.
type newConnectionKey struct{}

// WithNewConnection returns a context whose requests are each sent over a new connection by the clients of
// NewDirectClient, and of NewClient without TLS. Nothing that comes over it can answer an earlier request.
func WithNewConnection(ctx context.Context) context.Context {
	return context.WithValue(ctx, newConnectionKey{}, true)
}

// transportFor returns the transport that sends a request.
func (t atMostOnceTransport) transportFor(req *http.Request) *http.Transport {
	if req.Context().Value(newConnectionKey{}) != nil {
		return t.unpooled
	}
	return t.Transport
}

// RoundTrip implements http.RoundTripper.
func (t atMostOnceTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	transport := t.transportFor(req)
	for {
		var used usedConn
		resp, err := transport.RoundTrip(withoutRetry(req, &used))
		switch {
		case err == nil:
			return checkAnswer(resp, used.conn)
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

// withoutRetry returns the request in a form that http.Transport doesn't retry after part
// of it was written.
func withoutRetry(req *http.Request, used *usedConn) *http.Request {
	trace := &httptrace.ClientTrace{GotConn: used.onGotConn}
	out := req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	out.GetBody = nil
	if transportMayRetry(out) {
		out.Body = io.NopCloser(strings.NewReader("")) // http.Transport only retries without a body
	}
	return out
}

// transportMayRetry reports whether http.Transport may retry a request.
func transportMayRetry(req *http.Request) bool {
	if req.Body != nil && req.Body != http.NoBody {
		return false
	}
	switch req.Method {
	case "", http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return req.Header["Idempotency-Key"] != nil || req.Header["X-Idempotency-Key"] != nil
}

// rewindBody returns the request with an unread body, or false if the body can't be read
// again.
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

// usedConn records the connection of a request, if it got one, and the number of bytes
// written to it before.
type usedConn struct {
	conn          net.Conn
	reused        bool
	writtenBefore int64
}

func (u *usedConn) onGotConn(info httptrace.GotConnInfo) {
	u.conn, u.reused = info.Conn, info.Reused
	if conn, ok := info.Conn.(*clientConn); ok {
		u.writtenBefore = conn.written.Load()
	}
}

// hasWritten reports whether part of the request may have been written.
func (u *usedConn) hasWritten() bool {
	conn, ok := u.conn.(*clientConn)
	return !ok || conn.written.Load() > u.writtenBefore
}
