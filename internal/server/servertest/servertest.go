// Package servertest has peers on raw connections, for tests of how answers are read.
package servertest

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"testing"
	"time"
)

// ListenRaw has serve handle each connection to an address of loopback, until the test ends, and returns the
// address. A connection is closed once serve returns.
func ListenRaw(t testing.TB, serve func(conn *net.TCPConn)) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for conn, err := l.Accept(); err == nil; conn, err = l.Accept() {
			go func() {
				defer conn.Close()
				serve(conn.(*net.TCPConn))
			}()
		}
	}()
	return l.Addr().String()
}

// mostEndlessBytes bounds what WriteEndlessly writes.
const mostEndlessBytes = 16 << 20

// WriteEndlessly writes the text again and again until the connection closes, or 16 MB, and returns how many
// bytes were taken. With a pause it writes one text at a time.
func WriteEndlessly(conn net.Conn, text string, pause time.Duration) (taken int) {
	for taken < mostEndlessBytes {
		n, err := io.WriteString(conn, text)
		taken += n
		if err != nil {
			return taken
		}
		if pause > 0 {
			time.Sleep(pause)
		}
	}
	return taken
}

// ReusesConnection sends a request without a body and reports whether the client had a connection for it. The
// error is that of the client.
func ReusesConnection(ctx context.Context, client *http.Client, method, url string) (reused bool, err error) {
	trace := &httptrace.ClientTrace{GotConn: func(c httptrace.GotConnInfo) { reused = c.Reused }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, url, nil)
	if err != nil {
		return false, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return reused, err
	}
	return reused, resp.Body.Close()
}
