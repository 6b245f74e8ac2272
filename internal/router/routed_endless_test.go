package router_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// tolerableBytes is what a router may read of an answer that makes no progress, with the buffers of
// the connection.
const tolerableBytes = 512 << 10

// writeEndlessly writes the text until the connection closes, at most mostBytes, and returns how
// many bytes were taken. With a pause it writes one line at a time.
func writeEndlessly(conn net.Conn, text string, pause time.Duration) (taken int) {
	const mostBytes = 16 << 20
	for taken < mostBytes {
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

// endlessAnswers are answers without end: what comes first, and what is repeated.
var endlessAnswers = []struct {
	name, route, first, repeated string
}{
	{"no status line", "/resume/", "", strings.Repeat("x", 4096)},
	{"status text", "/resume/", "HTTP/1.1 200 ", strings.Repeat("x", 4096)},
	{"header name", "/resume/", "HTTP/1.1 200 OK\r\n", strings.Repeat("x", 4096)},
	{"header value", "/resume/", "HTTP/1.1 200 OK\r\nX: ", strings.Repeat("x", 4096)},
	{"header lines", "/resume/", "HTTP/1.1 200 OK\r\n", strings.Repeat("X-Some: value\r\n", 300)},
	{"interim answers", "/resume/", "", strings.Repeat("HTTP/1.1 103 Early Hints\r\nX-Some: value\r\n\r\n", 100)},
	{"chunk size", "/resume/", okHead, strings.Repeat("0", 4096)},
	{"chunk extension", "/resume/", okHead + "5;x=", strings.Repeat("x", 4096)},
	{"trailers", "/safe/", okHead + "4\r\nfine\r\n0\r\n", strings.Repeat("X-Some: value\r\n", 300)},
	{"header lines of a plain answer", "/safe/", "HTTP/1.1 200 OK\r\n", strings.Repeat("X-Some: value\r\n", 300)},
}

const okHead = "HTTP/1.1 200 OK\r\nId: r1\r\nSigned: x\r\nTransfer-Encoding: chunked\r\n\r\n"

// Guards against callers and memory that are held by an answer without end.
func TestAnswerWithoutEndIsReadToABoundAndReplaced(t *testing.T) {
	for _, c := range endlessAnswers {
		t.Run(c.name, func(t *testing.T) {
			runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
				var bad atomic.Value
				var taken atomic.Int64
				w.handle = func(endpoint string, req *http.Request, conn net.Conn) {
					if bad.CompareAndSwap(nil, endpoint) {
						n, _ := io.WriteString(conn, c.first)
						taken.Store(int64(n + writeEndlessly(conn, c.repeated, 0)))
						return
					}
					if c.route == "/safe/" {
						writeOK(conn, req, "fine")
						return
					}
					last := "id: 2\ndata: b\n\n"
					if req.Header.Get("Last") == "" {
						last = "id: 1\ndata: a\n\n" + last
					}
					writeEvents(conn, req, true, last)
				}
				began := time.Now()
				got := call(g, client, "POST", c.route, "x")
				g.Expect(got.err).NotTo(HaveOccurred())
				g.Expect(got.status).To(Equal(200))
				g.Expect(got.body).To(BeElementOf("fine", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"))
				g.Expect(time.Since(began)).To(BeNumerically("<", time.Second))
				g.Expect(w.receivedCount()).To(Equal(2))
				time.Sleep(time.Second)
				g.Expect(taken.Load()).To(And(BeNumerically(">", 0), BeNumerically("<", tolerableBytes)))
			})
		})
	}
}

// Guards against an answer that looks complete where none may follow.
func TestAnswerWithoutEndOfARequestThatRunsOnceIsAnError(t *testing.T) {
	for _, c := range endlessAnswers {
		t.Run(c.name, func(t *testing.T) {
			runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
				w.handle = func(_ string, _ *http.Request, conn net.Conn) {
					_, _ = io.WriteString(conn, c.first)
					writeEndlessly(conn, c.repeated, 0)
				}
				route := "/once/"
				if c.route == "/resume/" {
					route = "/stream/"
				}
				got := call(g, client, "POST", route, "x")
				if got.err == nil {
					g.Expect(got.status).To(Equal(502))
				}
				for i, a := range w.received() {
					g.Expect(i == 0 || a.header.Get("From-Copy") != "").To(BeTrue(), "only the copy of its run may go on")
				}
				time.Sleep(time.Second)
			})
		})
	}
}
