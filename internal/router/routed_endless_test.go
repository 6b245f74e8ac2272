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

	"coveferry/internal/server/servertest"
)

// tolerableBytes is what a router may read of an answer that makes no progress, with the buffers of
// the connection.
const tolerableBytes = 512 << 10

// endlessAnswers are answers without end: what comes first, and what is repeated.
var endlessAnswers = []struct {
	name, route, first, repeated string
	// reason is in the line of the attempt.
	reason string
}{
	{"no status line", "/resume/", "", strings.Repeat("x", 4096), "no end of the head"},
	{"status text", "/resume/", "HTTP/1.1 200 ", strings.Repeat("x", 4096), "no end of the head"},
	{"header name", "/resume/", "HTTP/1.1 200 OK\r\n", strings.Repeat("x", 4096), "no end of the head"},
	{"header value", "/resume/", "HTTP/1.1 200 OK\r\nX: ", strings.Repeat("x", 4096), "no end of the head"},
	{"header lines", "/resume/", "HTTP/1.1 200 OK\r\n", strings.Repeat("X-Some: value\r\n", 300), "no end of the head"},
	{"interim answers", "/resume/", "", strings.Repeat("HTTP/1.1 103 Early Hints\r\nX-Some: value\r\n\r\n", 100), "no end of the head"},
	{"chunk size", "/resume/", okHead, strings.Repeat("0", 4096), "the answer broke off"},
	{"chunk extension", "/resume/", okHead + "5;x=", strings.Repeat("x", 4096), "the answer broke off"},
	{"event", "/resume/", okHead + "fffffff\r\nid: 1\ndata: ", strings.Repeat("x", 4096), "no end of the event"},
	{"comments", "/resume/", okHead + "fffffff\r\n", strings.Repeat(": nothing yet\n\n", 300), "no end of the comments"},
	{"comments after an event", "/resume/", okHead + "fffffff\r\nid: 1\ndata: a\n\n", strings.Repeat(": nothing yet\n\n", 300), "no end of the comments"},
	{"trailers", "/safe/", okHead + "4\r\nfine\r\n0\r\n", strings.Repeat("X-Some: value\r\n", 300), "the answer broke off"},
	{"header lines of a plain answer", "/safe/", "HTTP/1.1 200 OK\r\n", strings.Repeat("X-Some: value\r\n", 300), "no end of the head"},
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
						taken.Store(int64(n + servertest.WriteEndlessly(conn, c.repeated, 0)))
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
				g.Expect(withoutComments(got.body)).To(BeElementOf("fine", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"))
				g.Expect(time.Since(began)).To(BeNumerically("<", time.Second))
				g.Expect(w.receivedCount()).To(Equal(2))
				g.Expect(w.log.String()).To(ContainSubstring(c.reason))
				time.Sleep(time.Second)
				g.Expect(taken.Load()).To(And(BeNumerically(">", 0), BeNumerically("<", tolerableBytes)))
			})
		})
	}
}

func withoutComments(body string) string { return strings.ReplaceAll(body, ": nothing yet\n\n", "") }

// Guards against an answer that looks complete where none may follow.
func TestAnswerWithoutEndOfARequestThatRunsOnceIsAnError(t *testing.T) {
	for _, c := range endlessAnswers {
		t.Run(c.name, func(t *testing.T) {
			runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
				w.handle = func(_ string, _ *http.Request, conn net.Conn) {
					_, _ = io.WriteString(conn, c.first)
					servertest.WriteEndlessly(conn, c.repeated, 0)
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

// Guards against comments that count as progress of an endpoint that makes none.
func TestSlowCommentsAreNoSignOfLife(t *testing.T) {
	runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
		w.handle = func(_ string, _ *http.Request, conn net.Conn) {
			_, _ = io.WriteString(conn, okHead)
			servertest.WriteEndlessly(conn, "f\r\n: nothing yet\n\n\r\n", 100*time.Millisecond)
		}
		got := call(g, client, "POST", "/stream/", "x", "Patience", "3s")
		g.Expect(got.err).NotTo(HaveOccurred())
		g.Expect(got.status).To(Equal(504))
		time.Sleep(time.Second)
	})
}

// Guards against comments that are lost, or held back between events.
func TestCommentsOfAStreamArriveUnchanged(t *testing.T) {
	runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
		parts := []string{": before\n\n", "id: 1\ndata: a\n\n", ": between\n\n", "id: 2\ndata: b\n\n", ": after\n\n"}
		w.handle = func(_ string, req *http.Request, conn net.Conn) { writeEvents(conn, req, true, parts...) }
		got := call(g, client, "POST", "/stream/", "x")
		g.Expect(got.err).NotTo(HaveOccurred())
		g.Expect(got.body).To(Equal(strings.Join(parts, "")))

		parts = []string{": only\n\n", ": comments\n\n"}
		got = call(g, client, "POST", "/stream/", "x")
		g.Expect(got.err).NotTo(HaveOccurred())
		g.Expect(got.status).To(Equal(200))
		g.Expect(got.body).To(Equal(strings.Join(parts, "")))
	})
}

// Guards against an end of an event that is missed since it arrives in parts.
func TestEventsThatArriveByteByByteAreRelayedOneByOne(t *testing.T) {
	runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
		const whole = "id: 1\r\ndata: a\r\n\r\n: x\n\nid: 2\ndata: b\n\n"
		w.handle = func(_ string, req *http.Request, conn net.Conn) {
			if req.Header.Get("Last") != "" {
				writeEvents(conn, req, true, "id: 3\ndata: c\n\n")
				return
			}
			writeEvents(conn, req, false, strings.Split(whole, "")...)
		}
		got := call(g, client, "POST", "/resume/", "x")
		g.Expect(got.err).NotTo(HaveOccurred())
		g.Expect(got.body).To(Equal(whole + "id: 3\ndata: c\n\n"))
		g.Expect(w.received()[1].header.Get("Last")).To(Equal("2"))
	})
}

// Guards against answers that lose a byte where buffers end.
func TestPlainAnswersOfAllSizesArriveUnchanged(t *testing.T) {
	for _, size := range []int{0, 1, 32<<10 - 1, 32 << 10, 32<<10 + 1, 40_000, 256<<10 - 1, 256 << 10, 256<<10 + 1, 600_000} {
		for _, chunked := range []bool{false, true} {
			runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
				body := strings.Repeat("x", size)
				w.handle = func(_ string, req *http.Request, conn net.Conn) {
					if chunked {
						writeEvents(conn, req, true, body+"y")
						return
					}
					writeOK(conn, req, body)
				}
				got := call(g, client, "POST", "/safe/", "x")
				g.Expect(got.err).NotTo(HaveOccurred())
				g.Expect(len(got.body)).To(BeElementOf(size, size+1))
				g.Expect(strings.TrimSuffix(got.body, "y") == body).To(BeTrue(), "%d", size)
			})
		}
	}
}
