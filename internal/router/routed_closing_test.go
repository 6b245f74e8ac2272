package router_test

import (
	"cmp"
	"fmt"
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
)

// writeUntilClose writes an answer with neither a length nor chunks, which ends with its connection.
func writeUntilClose(conn net.Conn, req *http.Request, protocol, body string) {
	_, _ = fmt.Fprintf(conn, "%s 200 OK\r\nId: %s\r\nSigned: x\r\n\r\n%s", protocol, req.Header.Get("Id"), body)
	_ = conn.Close()
}

func TestStreamsThatEndWithTheirConnection(t *testing.T) {
	const first, second = "id: 1\ndata: a\n\n", "id: 2\ndata: z\n\n"
	for _, c := range []struct {
		name, protocol, answer string
		relayed                string // of the answer
		broken                 bool
	}{
		{"after an event", "HTTP/1.1", first, first, false},
		{"after an event, HTTP/1.0", "HTTP/1.0", first, first, false},
		{"inside an event", "HTTP/1.1", first + "id: 2\nda", first, true},
		{"inside the blank line after an event", "HTTP/1.1", first + "id: 2\ndata: b\n", first, true},
		{"inside a blank line with CR", "HTTP/1.1", "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r", "id: 1\r\ndata: a\r\n\r\n", true},
		{"before the first event", "HTTP/1.1", "", "", true},
		{"inside the first event", "HTTP/1.1", "id: 1\n", "", true},
	} {
		runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
			w.handle = func(_ string, req *http.Request, conn net.Conn) {
				switch {
				case w.receivedCount() == 1:
				case req.Header.Get("Last") == "":
					writeEvents(conn, req, true, first, second)
					return
				default:
					writeEvents(conn, req, true, second)
					return
				}
				writeUntilClose(conn, req, c.protocol, c.answer)
			}
			attempts, want := 1, c.relayed
			if c.broken {
				attempts, want = 2, cmp.Or(c.relayed, first)+second
			}
			got := call(g, client, "POST", "/resume/", "x")
			g.Expect(got.err).NotTo(HaveOccurred(), c.name)
			g.Expect(got.status).To(Equal(200), c.name)
			g.Expect(got.body).To(Equal(want), c.name)
			g.Expect(w.receivedCount()).To(Equal(attempts), c.name)
		})
	}
}

// Guards against passing on the empty answer of an endpoint that crashed as a whole stream.
func TestStreamWithoutEventsThatEndsWithItsConnectionIsNotComplete(t *testing.T) {
	runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
		w.handle = func(_ string, req *http.Request, conn net.Conn) { writeUntilClose(conn, req, "HTTP/1.1", "") }
		got := call(g, client, "POST", "/stream/", "x")
		g.Expect(got.status).To(Equal(502))
		g.Expect(w.receivedCount()).To(Equal(1))
	})
}

func TestEmptyStreamWithAnEndIsComplete(t *testing.T) {
	runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
		w.handle = func(_ string, req *http.Request, conn net.Conn) { writeEvents(conn, req, true) }
		got := call(g, client, "POST", "/stream/", "x")
		g.Expect(got.err).NotTo(HaveOccurred())
		g.Expect(got.status).To(Equal(200))
		g.Expect(got.body).To(BeEmpty())
	})
}

func TestPlainAnswersThatEndWithTheirConnection(t *testing.T) {
	for _, body := range []string{"", "fine"} {
		runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
			w.handle = func(_ string, req *http.Request, conn net.Conn) { writeUntilClose(conn, req, "HTTP/1.1", body) }
			for range 3 { // each on a new connection
				got := call(g, client, "POST", "/once/", "x")
				g.Expect(got.err).NotTo(HaveOccurred())
				g.Expect(got.status).To(Equal(200))
				g.Expect(got.body).To(Equal(body))
			}
			g.Expect(w.receivedCount()).To(Equal(3))
		})
	}
}

func TestStreamWhoseProcessEndedGoesOnAtAnother(t *testing.T) {
	for name, rest := range map[string]string{"cut": eventsFrom(5, 8), "whole before": ""} {
		t.Run(name, func(t *testing.T) {
			runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
				w.processesEnd = true
				w.handle = func(_ string, req *http.Request, conn net.Conn) {
					if req.Header.Get("Last") == "4" {
						writeEvents(conn, req, true, rest)
						return
					}
					writeUntilClose(conn, req, "HTTP/1.1", eventsFrom(1, 4))
				}
				got := call(g, client, "POST", "/resume/", "x")
				g.Expect(got.err).NotTo(HaveOccurred())
				g.Expect(got.body).To(Equal(eventsFrom(1, 4) + rest))
				g.Expect(w.receivedCount()).To(Equal(2))
			})
		})
	}
}

func TestRestOfAStreamThatEndsWithItsConnectionMayBeEmpty(t *testing.T) {
	runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
		w.handle = func(_ string, req *http.Request, conn net.Conn) {
			if req.Header.Get("Last") == "4" {
				writeUntilClose(conn, req, "HTTP/1.1", "")
				return
			}
			writeEvents(conn, req, false, eventsFrom(1, 4))
		}
		got := call(g, client, "POST", "/resume/", "x")
		g.Expect(got.err).NotTo(HaveOccurred())
		g.Expect(got.body).To(Equal(eventsFrom(1, 4)))
	})
}

func TestPlainAnswerWhoseProcessEndedIsNoSuccess(t *testing.T) {
	for path, runs := range map[string]int{"/once/": 1, "/safe/": 2} {
		runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
			w.processesEnd = true
			w.handle = func(_ string, req *http.Request, conn net.Conn) { writeUntilClose(conn, req, "HTTP/1.1", "half") }
			got := call(g, client, "POST", path, "x")
			g.Expect(got.status).To(Equal(502), path)
			g.Expect(w.receivedCount()).To(Equal(runs), path)
		})
	}
}

// Guards against an answer that never has a body and is taken for one that ends with its connection.
func TestAnswerToHeadNeedsNoEnd(t *testing.T) {
	runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
		w.processesEnd = true
		w.handle = func(_ string, req *http.Request, conn net.Conn) {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: x\r\n\r\n", req.Header.Get("Id"))
		}
		got := call(g, client, "HEAD", "/safe/", "")
		g.Expect(got.err).NotTo(HaveOccurred())
		g.Expect(got.status).To(Equal(200))
		g.Expect(w.receivedCount()).To(Equal(1))
	})
}
