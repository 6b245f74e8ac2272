package router_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestWhichAttemptsAreRetried checks, for each kind of first answer, how often the request is
// sent and what its caller gets.
func TestWhichAttemptsAreRetried(t *testing.T) {
	notRun := func(_ string, req *http.Request, conn net.Conn) {
		writeAnswer(conn, 503, "Id: "+req.Header.Get("Id")+"\r\nNot-Run: 1\r\n", "")
	}
	wrongInstance := func(_ string, req *http.Request, conn net.Conn) {
		writeAnswer(conn, 421, "Id: "+req.Header.Get("Id")+"\r\n", "")
	}
	failed := func(_ string, req *http.Request, conn net.Conn) {
		writeAnswer(conn, 500, "Id: "+req.Header.Get("Id")+"\r\nSigned: f\r\n", "sorry")
	}
	refusalWithoutNotRun := func(_ string, req *http.Request, conn net.Conn) {
		writeAnswer(conn, 503, "Id: "+req.Header.Get("Id")+"\r\nSigned: f\r\n", "busy")
	}
	foreign := func(_ string, _ *http.Request, conn net.Conn) {
		writeAnswer(conn, 200, "Id: other\r\nSigned: x\r\n", "not yours")
	}
	unsigned := func(_ string, req *http.Request, conn net.Conn) {
		writeAnswer(conn, 200, "Id: "+req.Header.Get("Id")+"\r\n", "between")
	}
	garbage := func(_ string, _ *http.Request, conn net.Conn) { _, _ = conn.Write([]byte("garbage\r\n\r\n")) }
	for _, c := range []struct {
		name   string
		first  func(string, *http.Request, net.Conn)
		path   string
		method string
		status int
		runs   int
	}{
		{"not run, non-idempotent", notRun, "/once/", "POST", 200, 2},
		{"not run, idempotent", notRun, "/safe/", "GET", 200, 2},
		{"wrong instance", wrongInstance, "/once/", "POST", 200, 2},
		{"failed, non-idempotent", failed, "/once/", "POST", 500, 1},
		{"failed, idempotent", failed, "/safe/", "GET", 200, 2},
		{"refusal without Not-Run", refusalWithoutNotRun, "/once/", "POST", 503, 1},
		{"reset, non-idempotent", resetConnection, "/once/", "POST", 502, 1},
		{"reset, non-idempotent without a body", resetConnection, "/once/", "GET", 502, 1},
		{"reset, idempotent", resetConnection, "/safe/", "GET", 200, 2},
		{"answer to another request, non-idempotent", foreign, "/once/", "POST", 502, 1},
		{"answer to another request, idempotent", foreign, "/safe/", "GET", 200, 2},
		{"unsigned", unsigned, "/once/", "POST", 502, 1},
		{"garbage", garbage, "/once/", "POST", 502, 1},
		{"cut short, non-idempotent", truncateAnswer, "/once/", "POST", 502, 1},
		{"cut short, idempotent", truncateAnswer, "/safe/", "GET", 200, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
				good := w.handle
				w.handle = func(e string, req *http.Request, conn net.Conn) {
					if w.receivedCount() == 1 {
						c.first(e, req, conn)
						return
					}
					good(e, req, conn)
				}
				got := call(g, client, c.method, c.path, "x"[:len(c.method)-3]) // empty for GET, "x" for POST
				g.Expect(got.status).To(Equal(c.status), got.body)
				g.Expect(w.receivedCount()).To(Equal(c.runs))
				g.Expect(got.body).NotTo(ContainSubstring("not yours"))
			})
		})
	}
}

func TestIdempotencyKeyHeaderDoesNotCauseTransportRetries(t *testing.T) {
	runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
		g.Expect(call(g, client, "POST", "/once/", "x").status).To(Equal(200)) // leaves an idle connection
		w.handle = func(_ string, _ *http.Request, conn net.Conn) { _ = conn.Close() }
		for range 3 {
			before := w.receivedCount()
			got := call(g, client, "POST", "/once/", "x", "Idempotency-Key", "i")
			g.Expect(got.status).To(Equal(502))
			g.Expect(w.receivedCount()).To(Equal(before + 1))
		}
	})
}

func TestLastEndpointAnswerIsReturnedWhenRunsAreExhausted(t *testing.T) {
	runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
		w.handle = func(_ string, req *http.Request, conn net.Conn) {
			writeAnswer(conn, 500, "Id: "+req.Header.Get("Id")+"\r\nSigned: f\r\n", "sorry")
		}
		got := call(g, client, "GET", "/safe/", "")
		g.Expect(got.status).To(Equal(500))
		g.Expect(got.body).To(Equal("sorry"))
		g.Expect(got.header.Get("Signed")).To(Equal("f"))
		g.Expect(w.receivedCount()).To(Equal(2))
	})
}

func TestRequestRefusedByAllEndpointsFailsFastWithRetryAfter(t *testing.T) {
	runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
		w.handle = func(_ string, req *http.Request, conn net.Conn) {
			writeAnswer(conn, 503, "Id: "+req.Header.Get("Id")+"\r\nNot-Run: 1\r\n", "")
		}
		began := time.Now()
		got := call(g, client, "POST", "/once/", "x")
		g.Expect(got.status).To(BeElementOf(429, 503))
		g.Expect(got.header.Get("Retry-After")).To(Equal("0.1"))
		g.Expect(time.Since(began)).To(BeNumerically("<", 300*time.Millisecond))
	})
}

func TestUnresponsiveEndpointTimesOutAtDeadline(t *testing.T) {
	runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
		w.handle = func(string, *http.Request, net.Conn) { time.Sleep(time.Minute) }
		began := time.Now()
		got := call(g, client, "POST", "/once/", "x", "Patience", "700ms")
		g.Expect(got.status).To(Equal(504))
		g.Expect(time.Since(began)).To(BeNumerically("~", 750*time.Millisecond, 55*time.Millisecond))
		left, err := time.ParseDuration(w.received()[0].header.Get("Left"))
		g.Expect(err).NotTo(HaveOccurred())
		// The time left is measured by the boot clock, which isn't part of the fake time.
		g.Expect(left).To(BeNumerically("~", 690*time.Millisecond, 10*time.Millisecond))
		time.Sleep(time.Minute)
	})
}

// The log must show how much of its retry budget a router has used; it can't be seen from
// outside otherwise.
func TestLogLineContainsRetryBudgetUsage(t *testing.T) {
	runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
		good := w.handle
		fail := true
		w.handle = func(endpoint string, req *http.Request, conn net.Conn) {
			if fail {
				fail = false
				resetConnection(endpoint, req, conn)
				return
			}
			good(endpoint, req, conn)
		}
		g.Expect(call(g, client, "POST", "/safe/", "x").status).To(Equal(200))
		g.Expect(w.log.String()).To(MatchRegexp(`attempt 1 at e\d: .*, repeat, connection broke, sent after 0s, retries 1 of 20.2 by one of 1 routers, 9.1 left, 1 under way"`))
		g.Expect(w.log.String()).To(MatchRegexp(`attempt 2 at e\d: complete, .*, answered, sent after 0s`))
	})
}

// An attempt that was given up without an answer may arrive later, and counts as one that may.
func TestLogTellsThatAnAbandonedAttemptMayStillArrive(t *testing.T) {
	runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
		w.handle = func(string, *http.Request, net.Conn) { time.Sleep(time.Minute) }
		g.Expect(call(g, client, "POST", "/once/", "x", "Patience", "700ms").status).To(Equal(504))
		g.Expect(w.log.String()).To(MatchRegexp(`attempt 1 at e\d: .*, may still arrive, sent after 0s`))
		time.Sleep(time.Minute)
	})
}
