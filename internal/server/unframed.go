package server

import (
	"context"
	"net"
	"net/http"
)

// EndsWithConnection reports whether a response has a body with neither a length nor chunks, so that its
// end is that of its connection. The kernel ends the connections of a process that is killed in the same
// way.
func EndsWithConnection(resp *http.Response) bool {
	return resp.Body != http.NoBody && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// connKey is the context key of a request's connection.
type connKey struct{}

// withConn returns the context of the requests on a connection.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// lingerer is a connection whose close can be made a reset, such as *net.TCPConn.
type lingerer interface{ SetLinger(seconds int) error }

// resetUnfinished returns a handler that has the connection of an HTTP/1.0 request reset unless next
// returns. Its answer may end with the connection, so that any other close, also that by the kernel
// when this process is killed, would complete it.
func resetUnfinished(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, ok := r.Context().Value(connKey{}).(lingerer)
		if r.ProtoAtLeast(1, 1) || !ok {
			next.ServeHTTP(w, r)
			return
		}
		_ = conn.SetLinger(0) // fails only on a closed connection
		next.ServeHTTP(w, r)
		_ = conn.SetLinger(-1)
	})
}
